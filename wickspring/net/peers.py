"""The talk between ingresses: links, rounds and their times. What is said and heeded is decided in `shared/`.

Loaded only where `deploy/peers.toml` has it on. One exchange is a line each way on a link that is kept
while it is of use; few links are kept either way, however many ingresses there are. Whatever a peer says or
fails to say ends at most its link. A talk is made

    each round, with the next member in turn, and carries gossip;
    with the other ingresses of customers that come in here, about once a second, more often while the counter
    does not answer;
    at once with one that may have a right that was refused here.

All of them are bounded in links, bytes and number; a round that finds no bytes left is left out.
"""

from __future__ import annotations

import logging
import socket
from collections.abc import Callable
from pathlib import Path
from random import Random

import msgspec
import trio

from wickspring import __version__
from wickspring import interface as api
from wickspring.config import Instance, parse_address
from wickspring.connections.backoff import Backoff, jittered
from wickspring.connections.limits import Bucket
from wickspring.logs import kv
from wickspring.net.clock import Clock
from wickspring.peer_state.messages import MOST_LINE, NUMBERS, About, Message, Reach, Reply, Show, Talk, View
from wickspring.peer_state.participant import Participant
from wickspring.peer_state.shares import Shares
from wickspring.tls import Certificates, names
from wickspring.wire import Lines, Link, WireError, connect, welcome

log = logging.getLogger(__name__)

EXCHANGE_S = 0.8  # for one exchange, dial and all
PLACES, KEPT = 24, 8  # links that come in at once; that go out and are kept
IDLE_S = 20.0  # after which a link that came in and says nothing is ended
MATES_S, JUDGE_S, SETTLE_S = 0.1, 0.2, 0.4  # between looks: whom to tell counts, at hearsay, what is over
WANT_S = 0.05  # between talks for rights
ACCOUNT_S = 0.2  # between writes to the account of rights
BURST_S = 8.0  # of the bytes a second that may go out at once
JOINING = 0.2  # of a round, after which the next one comes while members are found
TAKE_OVER_S = 0.05  # between looks whether the process before this one has ended
LEAVE_S = 0.4  # to tell others that this ingress ends

_replies = msgspec.json.Decoder(Reply)
_messages = msgspec.json.Decoder(Message)


class Peers:
    """One ingress among the others."""

    def __init__(
        self,
        instance: Instance,
        shares: Shares,
        clock: Clock,
        dispatch: Callable[[api.Avoid], None],
        listed: Callable[[], dict[api.ServerId, float]],
    ) -> None:
        self.instance, self.config, self.shares = instance, instance.peers, shares
        self.clock, self.dispatch, self.listed = clock, dispatch, listed
        settings, now = instance.settings, clock.now()
        hall = settings.zones[settings.zone] if settings.zone < len(settings.zones) else str(settings.zone)
        about = About(
            hall=self.config.hall or hall,
            slot=settings.own_number,
            slots=max(1, settings.gateways),
            program=__version__,
        )
        self.random = Random(settings.seed)
        self.party = Participant(
            instance.name,
            about,
            shares,
            now,
            round_s=self.config.round_s,
            seed=self.random.getrandbits(32),
            hearsay_share=self.config.hearsay_share,
        )
        self.members, self.troubles = self.party.members, self.party.troubles
        self.keys: Certificates | None = None
        if self.config.tls is not None:
            folder, tls = Path(self.config.folder), self.config.tls
            self.keys = Certificates(folder / tls.ca, folder / tls.cert, folder / tls.key)
        self.given = self.taken = 0  # bytes
        self._began = now
        self._bytes = Bucket(self.config.bytes_s)
        self._bytes.burst = BURST_S * self.config.bytes_s
        self._bytes.level = self._bytes.burst
        self._links: dict[str, Link] = {}  # by address, last used at the end
        self._busy: set[str] = set()  # addresses that an exchange is out to
        self._inside: dict[trio.abc.Stream, None] = {}
        self._seeds = Backoff(
            self.random, max(1, settings.gateways), 50.0, self.config.round_s, 10.0, self.config.round_s
        )
        self._seeds_at = now / 1000.0
        self._listener: trio.SocketListener | None = None

    def _now(self) -> float:
        return self.clock.now() / 1000.0

    # Facts of the ingress.

    def counted(self, answer: api.CountAnswer) -> None:
        """Note an answer of the counter."""
        self.party.counted(self.clock.now(), answer)

    async def wait_to_open(self) -> None:
        """Wait until connections may be opened by own rights: an earlier life's are over."""
        await trio.sleep(max(0.0, self.shares.opens_at() - self.clock.now()) / 1000.0)

    # Beginning and end.

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Listen, and talk for as long as this process serves."""
        if self.shares.overdue:
            task_status.started()  # it serves meanwhile; the process before this one still listens here
            while self.shares.overdue:
                await trio.sleep(TAKE_OVER_S)
            self._listener = await self._listen(patient=True)
        else:
            self._listener = await self._listen(patient=False)
            task_status.started()
        place = self._listener.socket.getsockname()
        address = self.config.advertise or f"{place[0]}:{place[1]}"
        self.party.placed(address)
        log.info("peers", extra=kv(name=self.instance.name, listen=address, seeds=len(self.config.seeds)))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._accept)
            for every, action in (
                (MATES_S, self._mates),
                (JUDGE_S, self._judge),
                (SETTLE_S, self._settle),
            ):
                nursery.start_soon(self._every, every, action, nursery)
            nursery.start_soon(self._rounds, nursery)
            nursery.start_soon(self._wants, nursery)
            if self.config.account:
                nursery.start_soon(self._keep_account, Path(self.config.folder) / self.config.account)

    async def _listen(self, patient: bool) -> trio.SocketListener:
        """Listen where the file says; `patient` waits until who listens there has gone."""
        host, port = parse_address("listen", self.config.listen, any_port=True)
        while True:
            try:
                return (await trio.open_tcp_listeners(port, host=host))[0]
            except OSError as error:
                if not patient:
                    raise
                log.warning("peers_wait", extra=kv(reason=error))
                await trio.sleep(10 * TAKE_OVER_S)

    async def _every(
        self, pause: float, action: Callable[[trio.Nursery], None], nursery: trio.Nursery
    ) -> None:
        while True:
            await trio.sleep(jittered(2.0 * pause, self.random))  # between the pause and twice as long
            self._attempt(action, nursery)

    def _attempt(self, action: Callable[[trio.Nursery], None], nursery: trio.Nursery) -> None:
        try:
            action(nursery)
        except Exception as error:  # no trouble among peers may end the serving
            self.troubles["raised"] += 1
            log.exception("peers_failed", extra=kv(reason=error))

    async def leave(self, succeeded: bool) -> None:
        """Tell some others that this ingress ends on purpose."""
        self.party.leave(self.clock.now(), succeeded)
        with trio.move_on_after(LEAVE_S):
            async with trio.open_nursery() as nursery:
                for name in self.random.sample(
                    self.members.active_members(), min(3, len(self.members.active_members()))
                ):
                    nursery.start_soon(self._talk, name, True)

    # Times.

    async def _rounds(self, nursery: trio.Nursery) -> None:
        """Talk round after round; sooner while there is a member of which was heard just now."""
        while True:
            known = len(self.members.entries)
            self._attempt(self._round, nursery)
            await trio.sleep(jittered(2.0 * JOINING * self.config.round_s, self.random))
            if len(self.members.entries) == known > 1:
                await trio.sleep((1.0 - JOINING) * self.config.round_s)

    def _round(self, nursery: trio.Nursery) -> None:
        now = self._now()
        for name in self.party.tick(self.clock.now()):
            log.warning("peer_gone", extra=kv(name=name, living=self.members.size))
        target = self.members.next_probe_target()
        if self.config.seeds and now >= self._seeds_at and self.party.knocks(target):
            nursery.start_soon(self._knock, self.random.choice(self.config.seeds))
        if target is not None and self._affords():
            nursery.start_soon(self._probe, target, True)

    def _affords(self) -> bool:
        if self._bytes.has(self.clock.now()):
            return True
        self.troubles["no_bytes_left"] += 1
        return False

    def _mates(self, nursery: trio.Nursery) -> None:
        """Talk with those ingresses of customers' sets that have not been talked to for a while."""
        for name in self.party.due_mates(self.clock.now()):
            if self._affords():
                nursery.start_soon(self._probe, name, False)

    async def _wants(self, nursery: trio.Nursery) -> None:
        """Ask ingresses that may have what was refused here, one after another, while it is wanted."""
        while True:
            wished = trio.Event()
            self.shares.wished = wished.set
            await wished.wait()
            while names := self.party.lenders(self.clock.now()):
                free = next((name for name in names if self._address(name) not in self._busy), None)
                if free is not None and self._affords():
                    nursery.start_soon(self._talk, free, False)
                await trio.sleep(WANT_S)
            await trio.sleep(WANT_S)

    def _judge(self, nursery: trio.Nursery) -> None:
        """Tell what fails here, to some at once; heed what fails others."""
        if not self.config.judgements:
            return
        before = set(self.party.avoided)
        avoid = self.party.judge(self.clock.now(), self.listed())
        for server, weight in self.party.avoided.items():
            if server not in before:
                log.info("avoided_by_hearsay", extra=kv(server=server, weight=round(weight, 2)))
        for name in self.party.pressed():
            if self._affords():
                nursery.start_soon(self._talk, name, True)
        if avoid is not None:
            self.dispatch(avoid)

    def _settle(self, _: trio.Nursery) -> None:
        self.shares.settle(self.clock.now())

    async def _keep_account(self, path: Path) -> None:
        self.shares.spent = []
        with path.open("a") as file:
            while True:
                with trio.CancelScope(shield=True):
                    spent, self.shares.spent = self.shares.spent, []
                    file.writelines(f"{at:.3f} {name}\n" for at, name in spent)
                    file.flush()
                await trio.sleep(ACCOUNT_S)

    # Names and addresses.

    def _address(self, name: str) -> str:
        about = self.members.info_of(name)
        return self.config.route.get(name) or (about.address if about is not None else "")

    # Talking.

    async def _probe(self, name: str, gossip: bool) -> None:
        """Talk to a member; have others try where it does not answer."""
        if self._address(name) in self._busy or await self._talk(name, gossip):
            return  # a talk that is out tells by itself
        helpers = self.members.select_helpers(name)
        vouched = False

        async def ask(helper: str) -> None:
            nonlocal vouched
            reply = await self._exchange(helper, Reach(self.party.name, name))
            vouched |= reply is not None and reply.reached

        async with trio.open_nursery() as nursery:
            for helper in helpers:
                nursery.start_soon(ask, helper)
        if vouched:
            self.members.record_indirect_contact(name)
        else:
            self.members.suspect(name)

    async def _talk(self, name: str, gossip: bool) -> bool:
        """Make one talk; False where nothing came back."""
        address = self._address(name)
        if not address or address in self._busy:
            return False
        word = self.party.word(self.clock.now(), name, gossip)
        reply = await self._exchange(name, word)
        if reply is None or reply.talk is None or reply.talk.sender != name:
            self.party.lost(name, word)
            self.troubles["another_listens"] += reply is not None and reply.talk is not None
            return False
        await self._take_in(word, reply, reply.talk, name, address)
        return True

    async def _take_in(self, word: Talk, reply: Reply, talk: Talk, name: str, address: str) -> None:
        """Take an answer in, and send what the other wants to know."""
        self.party.heard(self.clock.now(), talk)
        if reply.wants:
            await self._exchange(name, self.party.follow(word, reply.wants), address)

    async def _knock(self, seed: str) -> None:
        """Talk to whoever listens at an address of the configuration."""
        word = self.party.word(self.clock.now(), "", True)
        reply = await self._exchange("", word, seed)
        if reply is None or reply.talk is None:
            self._seeds_at = self._now() + self._seeds.failed()
            return
        self._seeds_at = self._now() + self._seeds.ended()
        if reply.talk.sender != self.party.name:
            await self._take_in(word, reply, reply.talk, "", seed)

    # Links.

    async def _exchange(self, name: str, message: Message, address: str = "") -> Reply | None:
        """Make one exchange, on the link that is kept or a new one; None where it did not come about."""
        address = address or self._address(name)
        if not address or address in self._busy:
            return None
        self._busy.add(address)
        try:
            with trio.move_on_after(EXCHANGE_S):
                for _ in range(2):  # a kept link may have been closed at the other side: once more
                    link = self._links.pop(address, None)
                    kept = link is not None
                    try:
                        if link is None:
                            link = await self._dial(name, address)
                        reply = await self._ask(link, message)
                        self._links[address] = link
                        await self._let_go()
                        if reply.error:
                            self.troubles["refused"] += 1
                            log.info("peer_refuses", extra=kv(name=name or address, reason=reply.error))
                        return reply
                    except BaseException as error:
                        if link is not None:
                            with trio.CancelScope(shield=True):
                                await link.close()
                        broke = (
                            WireError,
                            OSError,
                            msgspec.DecodeError,
                            trio.BrokenResourceError,
                            trio.ClosedResourceError,
                        )
                        if not isinstance(error, broke):
                            raise
                        if not kept:
                            self.troubles["link_broke"] += 1
                            return None
            self.troubles["no_answer"] += 1
            return None
        finally:
            self._busy.discard(address)

    async def _dial(self, name: str, address: str) -> Link:
        tls = self.keys.client() if self.keys is not None else None
        if tls is not None:
            tls.check_hostname = False  # a seed has no name yet; the name is looked at below
        link = await connect(address, name or address, NUMBERS, tls, name, MOST_LINE)
        self._note(link.lines, 0, 0)
        if tls is not None and name and name not in names(link.lines.stream.getpeercert()):
            await link.close()
            raise WireError(f"{name}: the certificate at {address} does not name it")
        return link

    async def _ask(self, link: Link, message: Message) -> Reply:
        given, taken = link.lines.given, link.lines.taken
        try:
            return await link.ask(message, _replies)
        finally:
            self._note(link.lines, given, taken)

    def _note(self, lines: Lines, given: int, taken: int) -> None:
        """Add to the bytes what has gone either way since then."""
        self.given += lines.given - given
        self.taken += lines.taken - taken
        self._bytes.has(self.clock.now())
        self._bytes.level = max(-self._bytes.burst, self._bytes.level - (lines.given - given))

    async def _let_go(self) -> None:
        while len(self._links) > KEPT:
            link = self._links.pop(next(iter(self._links)))
            await link.close()

    # Listening.

    async def _accept(self) -> None:
        assert self._listener is not None
        async with trio.open_nursery() as nursery:
            await trio.serve_listeners(self._serve, [self._listener], handler_nursery=nursery)

    async def _serve(self, stream: trio.SocketStream) -> None:
        """Serve one link; whatever comes on it ends that link alone."""
        self._inside[stream] = None
        while len(self._inside) > PLACES:  # who has held a place for longest goes
            oldest = next(iter(self._inside))
            del self._inside[oldest]
            await trio.aclose_forcefully(oldest)
        try:
            await self._answer_all(stream)
        except msgspec.DecodeError:
            self.troubles["bad_words"] += 1
        except (WireError, OSError, trio.BrokenResourceError, trio.ClosedResourceError, trio.TooSlowError):
            self.troubles["link_ended"] += 1
        except Exception as error:
            self.troubles["raised"] += 1
            log.exception("peer_link_failed", extra=kv(reason=error))
        finally:
            self._inside.pop(stream, None)
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)

    async def _answer_all(self, stream: trio.SocketStream) -> None:
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        lines = Lines(stream, MOST_LINE)
        told: tuple[str, ...] | None = None  # names of the certificate
        if self.keys is not None:
            secure = trio.SSLStream(stream, self.keys.server(), server_side=True, https_compatible=True)
            with trio.fail_after(EXCHANGE_S):
                await secure.do_handshake()
            lines, told = Lines(secure, MOST_LINE), names(secure.getpeercert())
        with trio.move_on_after(IDLE_S):
            reply = await welcome(lines, NUMBERS)
            if reply.error:
                self.troubles["another_protocol"] += 1
                log.warning("peer_refused", extra=kv(reason=reply.error))
                return
            self._note(lines, 0, 0)
        bad = 0
        while bad < 3:
            with trio.move_on_after(IDLE_S) as scope:
                given, taken = lines.given, lines.taken
                line = await lines.read()
                try:
                    answer = await self._reply(_messages.decode(line), told)
                except msgspec.DecodeError as error:
                    bad += 1
                    self.troubles["bad_words"] += 1
                    answer = Reply(error=f"cannot be read: {error}")
                await lines.write(answer)
                if answer.view is None:  # what operators look at is no talk
                    self._note(lines, given, taken)
            if scope.cancelled_caught:
                return

    async def _reply(self, message: Message, told: tuple[str, ...] | None) -> Reply:
        if isinstance(message, Show):
            return Reply(view=self.view())
        if told is not None and message.sender not in told:
            return Reply(error=f"the certificate does not name {message.sender!r}")
        if isinstance(message, Reach):
            if self.members.seconds_since_contact(message.name) < self.config.round_s:
                return Reply(reached=True)
            word = self.party.word(self.clock.now(), "", False)
            reply = await self._exchange(message.name, word)
            return Reply(reached=reply is not None and not reply.error)
        return self.party.answer(self.clock.now(), message)

    # Shown to operators.

    def view(self) -> View:
        """Return what this ingress holds and hears."""
        now = self.clock.now()
        return msgspec.structs.replace(
            self.party.view(now),
            bytes_out=self.given,
            bytes_in=self.taken,
            up_s=round((now - self._began) / 1000.0, 3),
        )
