"""A fleet's agent: keeps its instances, coordinates the operations it was given, hears of the others."""

from __future__ import annotations

import logging
import os
import signal
import socket
import time
from collections.abc import Callable
from contextlib import suppress
from functools import partial

import msgspec
import trio

from wickspring import __version__
from wickspring.agent import control, wire
from wickspring.agent.instance_controller import InstanceController
from wickspring.agent.notifications import parse_notification
from wickspring.agent.store import Store, StoreChange, StoreError
from wickspring.agent.tls import who
from wickspring.agent.wire import Answer, Peer
from wickspring.fleet import home
from wickspring.fleet.file import Fleet, FleetInstance, load_fleet
from wickspring.fleet.model import Kind, Operation, Record, Seen, Slot, Want
from wickspring.fleet.rollout import coordinator
from wickspring.fleet.rollout.observation import FleetObservation, Records
from wickspring.fleet.rollout.plan import OperationRequest, plan_operation
from wickspring.fleet.rollout.replies import receive_reply
from wickspring.fleet.rollout.requests import AgentRequest
from wickspring.fleet.views import Content, View
from wickspring.logs import kv
from wickspring.settings.address import parse_address
from wickspring.settings.errors import ConfigError
from wickspring.tls import Certificates
from wickspring.wire import WireError

log = logging.getLogger(__name__)

TURN_S = 0.1  # between looks at the operations coordinated here
ASK_WITHIN_S = 2.0
KEPT_ENDED = 20  # operations that have ended and are still told of
MOST_PATH = 100  # bytes of a local socket's path


class NodeError(Exception):
    """An agent that cannot run; the message says why."""


class Node:
    """One agent."""

    def __init__(self, fleet: Fleet, name: str, now: Callable[[], float] = time.time) -> None:
        self.fleet, self.me, self.now = fleet, fleet.agent(name), now
        self.folder = (fleet.here / self.me.state).resolve()
        self.folder.mkdir(parents=True, exist_ok=True)
        self.notify = self.folder / "notify"
        if len(str(self.notify)) > MOST_PATH:
            raise ConfigError(f"agent {name}: state: the path is too long for a socket: {self.folder}")
        self.store = Store(self.folder / "agent.db")
        self.certificates: Certificates | None = None
        if fleet.file.tls is not None:
            here = fleet.here
            self.certificates = Certificates(
                here / fleet.file.tls.ca, here / self.me.cert, here / self.me.key
            )
        self.home = home.Home(name)
        for record in self.store.records():
            self.home = home.register(self.home, record)
        for key, slot in self.store.slots().items():
            self.home = msgspec.structs.replace(self.home, slots=self.home.slots.insert(key, slot))
        self.operations: dict[str, Operation] = {one.id: one for one in self.store.operations()}
        agents = [one.name for one in fleet.file.agent]
        self.view = View(name, agents, now(), fleet.file.rules, os.getpid())
        self.controllers: dict[str, InstanceController] = {}
        self._nursery: trio.Nursery | None = None
        self._register()

    # Instances.

    def _register(self) -> None:
        """Bring the instances up to what the fleet file says."""
        file = self.fleet.file
        build = file.first_build or file.build[0].name
        own = {one.name: one for one in file.instance if one.agent == self.me.name}
        for name, one in own.items():
            want = Want(file.first_run, build, 1, by="fleet file", at=self.now())
            fresh = Record(name, self.me.hall, self.me.name, dict(one.labels), want)
            self._put(home.register(self.home, fresh))
        for name in [name for name in self.home.records if name not in own]:
            self._put(home.forget(self.home, name))
            if name in self.home.records:
                log.warning("not_in_the_file", extra=kv(name=name, reason="it runs on; drain it first"))
        for name in [name for name in self.controllers if name not in self.home.records]:
            self.controllers.pop(name).scope.cancel()
        kept = self.store.processes()
        for name in self.home.records:
            controller = self.controllers.get(name)
            if controller is None:
                # One that the file names no more is kept as well: what runs must be there to be drained.
                one = own.get(name, FleetInstance(name, self.me.name, config=""))
                controller = self.controllers[name] = InstanceController(
                    self.fleet,
                    one,
                    self.folder,
                    self.store,
                    self.notify,
                    record=partial(self._record, name),
                    report=partial(self._seen, name),
                    now=self.now,
                )
                controller.adopt([process for process in kept if process.name == name])
                if self._nursery is not None:
                    self._nursery.start_soon(controller.run)
            controller.fleet, controller.instance = self.fleet, own.get(name, controller.instance)
            controller.wake()

    def _record(self, name: str) -> Record:
        return self.home.records[name]

    def _seen(self, name: str, seen: Seen) -> None:
        # Not kept: after a restart it is seen anew.
        self.home = home.observe(self.home, name, seen)

    def _put(self, after: home.Home, *events: str) -> None:
        """Keep what has changed, then let it be so; `StoreError` leaves all as it was."""
        before = self.home
        changed = [
            record
            for name, record in after.records.items()
            if (old := before.records.get(name)) is None
            or (old.want, old.claim, old.labels, old.before, old.hall)
            != (record.want, record.claim, record.labels, record.before, record.hall)
        ]
        gone = [name for name in before.records if name not in after.records]
        slots: dict[str, Slot | None] = {
            key: slot for key, slot in after.slots.items() if before.slots.get(key) != slot
        }
        slots |= {key: None for key in before.slots if key not in after.slots}
        if changed or gone or slots or events:
            now = self.now()
            history = [(now, text) for text in events]
            self.store.apply(StoreChange(records=changed, removed_records=gone, slots=slots, events=history))
        self.home = after
        for record in changed:
            if record.name in self.controllers:
                self.controllers[record.name].wake()

    def records(self) -> Records:
        """Return the whole fleet as heard of, and the own instances as they are."""
        records = self.view.records()
        for record in self.home.records.values():
            records = records.insert(record.name, record)
        return records

    # Requests.

    def request(self, request: home.Request) -> home.Reply:
        """Carry out a coordinator's request as home agent and warden."""
        now = self.now()
        around = home.Around(self.records(), self.view.quorum(now), self.view.dead(now))
        after, reply = home.reduce(self.home, now, request, self.fleet.file.rules, around)
        events = []
        if isinstance(request, home.SetWant) and not reply.reason and after is not self.home:
            what = f"run={request.run} build={request.build}" + (" anew" if request.renew else "")
            events.append(
                f"{request.instance}: {what} by {request.by} ({request.operation}), version {reply.version}"
            )
        try:
            self._put(after, *events)
        except StoreError as error:
            log.error("not_kept", extra=kv(reason=error))
            return home.Reply(str(error), wait=True)
        return reply

    async def handle(self, peer: Peer, message: wire.Message) -> Answer:
        """Answer one message."""
        if isinstance(message, wire.Gossip):
            if not peer.agent:
                return Answer(error="only agents gossip")
            return Answer(news=self.view.delta(message.digest))
        if isinstance(message, wire.Push):
            if not peer.agent:
                return Answer(error="only agents gossip")
            self.view.hear(message.news, self.now())
            return Answer()
        if isinstance(message, wire.Home):
            if not peer.agent:
                return Answer(error="only agents ask this")
            return Answer(reply=self.request(message.request))
        if isinstance(message, wire.Show):
            return self._show(message)
        if peer.role != "operate":
            return Answer(error=f"{peer.name} may read, and not operate")
        by = message.by if message.by and not peer.name else peer.name or "local"
        if isinstance(message, wire.Submit):
            return self._submit(message, by)
        return self._cancel(message, by)

    def _show(self, message: wire.Show) -> Answer:
        now = self.now()
        agents = []
        for one in self.fleet.file.agent:
            entry = self.view.entries.get(one.name)
            program = entry.content.program if entry is not None and entry.content is not None else ""
            health = self.view.health(one.name, now).value
            agents.append(
                wire.AgentView(
                    one.name, one.hall, health, program, entry.heartbeat if entry is not None else 0
                )
            )
        history: tuple[wire.HistoryLine, ...] = ()
        if message.history:
            history = tuple(wire.HistoryLine(one.at, one.text) for one in self.store.history(message.history))
        known = {one.id: one for one in self.view.operations()} | self.operations
        operations = sorted(known.values(), key=lambda one: one.at, reverse=True)
        records = tuple(sorted(self.records().values(), key=lambda one: (one.hall, one.name)))
        return Answer(
            agents=tuple(agents),
            records=records,
            operations=tuple(operations),
            history=history,
            quorum=self.view.quorum(now),
        )

    def _submit(self, message: wire.Submit, by: str) -> Answer:
        old = self.operations.get(message.id)
        if old is not None:
            return Answer(operation=old)
        records = self.records()
        unknown = [name for name in message.instances if name not in records]
        if unknown or not message.instances:
            return Answer(error=f"no instance is called {', '.join(unknown)}" if unknown else "no instance")
        if message.kind is Kind.UPGRADE and not message.build:
            return Answer(error="an upgrade needs a build")
        if message.build and self.fleet.build(message.build) is None:
            return Answer(error=f"there is no build {message.build!r}")
        request = OperationRequest(
            message.id,
            message.kind,
            by=by,
            coordinator=self.me.name,
            at=self.now(),
            build=message.build,
            batch=message.batch,
            below_floor=message.below_floor,
        )
        operation = plan_operation(request, [records[name] for name in message.instances])
        names = ", ".join(message.instances)
        try:
            self._keep(operation, f"{operation.id}: {by} asks for {message.kind.value} of {names}")
        except StoreError as error:
            return Answer(error=str(error))
        return Answer(operation=operation)

    def _cancel(self, message: wire.Cancel, by: str) -> Answer:
        operation = self.operations.get(message.id)
        if operation is None:
            return Answer(error=f"{self.me.name} coordinates no operation {message.id}")
        after = coordinator.cancel(operation, self.now(), by)
        try:
            self._keep(after, f"{operation.id}: cancelled by {by}")
        except StoreError as error:
            return Answer(error=str(error))
        return Answer(operation=after)

    def _keep(self, operation: Operation, *events: str) -> None:
        old = self.operations.get(operation.id)
        if old == operation:
            return
        said = list(events)
        if old is not None and old.phase is not operation.phase:
            reason = f": {operation.reason}" if operation.reason else ""
            said.append(f"{operation.id}: {operation.phase.value}{reason}")
        now = self.now()
        self.store.apply(StoreChange(operations=[operation], events=[(now, text) for text in said]))
        self.operations[operation.id] = operation
        for text in said:
            log.info("operation", extra=kv(text=text))

    # Coordinating.

    async def coordinate(self) -> None:
        """Bring the operations given to this agent forward, side by side."""
        busy: set[str] = set()
        async with trio.open_nursery() as nursery:
            while True:
                for operation in list(self.operations.values()):
                    if not operation.phase.ended and operation.id not in busy:
                        busy.add(operation.id)
                        nursery.start_soon(self._turn, operation.id, busy)
                await trio.sleep(TURN_S)

    async def _turn(self, number: str, busy: set[str]) -> None:
        try:
            now, file = self.now(), self.fleet.file
            observation = FleetObservation(
                self.records(), self.fleet.wardens(), file.rules, self.view.dead(now), self.view.quorum(now)
            )
            after, asks = coordinator.advance(self.operations[number], now, observation)
            self._keep(after)  # what was decided is kept before anybody is asked
            async with trio.open_nursery() as nursery:
                for ask in asks:
                    nursery.start_soon(self._ask, number, ask)
        except StoreError as error:
            log.error("not_kept", extra=kv(operation=number, reason=error))
            await trio.sleep(1.0)
        finally:
            busy.discard(number)

    async def _ask(self, number: str, ask: AgentRequest) -> None:
        if ask.agent == self.me.name:
            reply: home.Reply | None = self.request(ask.request)
        else:
            try:
                reply = (await self.exchange(ask.agent, wire.Home(ask.request))).reply
            except WireError:
                return  # asked again at the next turn
        if reply is not None and not (reply.wait and not isinstance(ask.request, home.TakeSlot)):
            with suppress(StoreError):  # heard again when it is asked again
                self._keep(receive_reply(self.operations[number], self.now(), ask.agent, ask.request, reply))

    async def exchange(self, agent: str, message: wire.Message) -> Answer:
        """Ask another agent."""
        try:
            address = self.fleet.agent(agent).address
        except ConfigError as error:  # the fleet file has changed since it was heard of
            raise WireError(str(error)) from error
        tls = self.certificates.client() if self.certificates is not None else None
        answer = await wire.exchange(address, f"agent {agent}", message, tls, agent, ASK_WITHIN_S)
        if answer.error:
            raise WireError(f"agent {agent}: {answer.error}")
        return answer

    # Gossip.

    def content(self, left: bool = False) -> Content:
        """Return what this agent tells of itself."""
        ended = [one for one in self.operations.values() if one.phase.ended][-KEPT_ENDED:]
        under_way = [one for one in self.operations.values() if not one.phase.ended]
        records = tuple(sorted(self.home.records.values(), key=lambda record: record.name))
        return Content(records, (*under_way, *ended), __version__, wire.HIGHEST, left)

    async def gossip(self) -> None:
        """Tell two others of all, round after round."""
        async with trio.open_nursery() as nursery:
            while True:
                self.view.tick(self.content())
                for peer in self.view.peers():
                    nursery.start_soon(self._round, peer)
                await trio.sleep(self.fleet.file.rules.gossip_s)

    async def _round(self, peer: str) -> None:
        try:
            news = (await self.exchange(peer, wire.Gossip(self.view.digest()))).news
            if news is None:
                return
            self.view.hear(news, self.now())
            if news.requested:
                await self.exchange(peer, wire.Push(self.view.requested_entries(news.requested)))
        except WireError:
            return  # its silence is what the view judges it by

    # Sockets.

    async def _listen_notify(self) -> None:
        self.notify.unlink(missing_ok=True)
        with trio.socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as sock:
            await sock.bind(str(self.notify))
            while True:
                data = await sock.recv(4096)
                notification = parse_notification(data)
                for controller in self.controllers.values():
                    controller.receive_report(
                        notification.token, notification.ready, notification.served, notification.failed
                    )

    async def _serve_tcp(self, stream: trio.SocketStream) -> None:
        peer = Peer("agent", agent=True, role="operate")  # without TLS, on loopback alone
        wrapped: trio.SocketStream | trio.SSLStream[trio.SocketStream] = stream
        try:
            if self.certificates is not None:
                secure = trio.SSLStream(
                    stream, self.certificates.server(), server_side=True, https_compatible=True
                )
                with trio.move_on_after(ASK_WITHIN_S) as scope:
                    await secure.do_handshake()
                if scope.cancelled_caught:
                    return
                found = who(self.fleet, secure.getpeercert())
                if found is None:
                    log.warning("stranger", extra=kv(certificate=secure.getpeercert()))
                    return
                peer, wrapped = found, secure
            await wire.serve(wrapped, peer, self.handle)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            log.info("refused", extra=kv(reason=error.__cause__ or error))
        finally:
            await trio.aclose_forcefully(stream)

    async def _serve_local(self, stream: trio.SocketStream) -> None:
        async with stream:
            await wire.serve(stream, Peer("", role="operate"), self.handle)

    async def run(self, started: Callable[[], None] | None = None) -> None:
        """Run until SIGTERM or SIGINT; the instances go on without it. SIGHUP reads the fleet file again."""
        host, port = parse_address("address", self.me.address)
        try:
            listeners = await trio.open_tcp_listeners(port, host=host)
            local = control.open_socket(self.folder / "local")
        except (OSError, control.ControlError) as error:
            raise NodeError(f"agent {self.me.name} cannot listen: {error}") from error
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(self._listen_notify)
                nursery.start_soon(partial(trio.serve_listeners, self._serve_tcp, listeners))
                nursery.start_soon(partial(trio.serve_listeners, self._serve_local, [local]))
                for controller in self.controllers.values():
                    nursery.start_soon(controller.run)
                nursery.start_soon(self.gossip)
                nursery.start_soon(self.coordinate)
                log.info("agent_up", extra=kv(name=self.me.name, instances=len(self.controllers)))
                if started is not None:
                    started()
                async for signum in signals:
                    if signum != signal.SIGHUP:
                        break
                    self.reread()
                self.view.tick(self.content(left=True))
                for peer in self.view.peers(3):
                    with trio.move_on_after(0.5):
                        await self._round(peer)
                log.info("agent_leaves", extra=kv(name=self.me.name, running=len(self.controllers)))
                nursery.cancel_scope.cancel()
        (self.folder / "local").unlink(missing_ok=True)
        self.store.close()

    def reread(self) -> None:
        """Read the fleet file again; one at fault is named, and what was there holds."""
        try:
            fleet = load_fleet(self.fleet.path)
            fleet.agent(self.me.name)
            self.fleet = fleet
            agents = tuple(sorted(one.name for one in fleet.file.agent))
            self.view.agents, self.view.rules = agents, fleet.file.rules
            self._register()
        except (ConfigError, StoreError) as error:
            log.error("reread_failed", extra=kv(reason=error))
            return
        log.info("reread", extra=kv(instances=len(self.controllers)))
