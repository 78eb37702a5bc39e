"""Commands on the communication between ingresses: who is heard, and what each holds of what is shared."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import msgspec
import trio

from wickspring.command_line.errors import CommandError, ExitCode
from wickspring.command_line.tables import format_json, format_rows
from wickspring.peer_state.messages import (
    PROTOCOL_VERSIONS,
    BudgetView,
    MemberView,
    Reply,
    StatusRequest,
    View,
)
from wickspring.settings.address import parse_address
from wickspring.settings.errors import ConfigError
from wickspring.settings.peers_file import load_peers
from wickspring.tls import Certificates
from wickspring.wire import WireError, connect

ANSWER_TIMEOUT_S = 3.0
MEMBER_COLUMNS = ("ingress", "slot", "hall", "is", "talked s ago", "heard s ago", "says fails")
BUDGET_COLUMNS = ("budget", "rights", "own part", "free", "in use", "lent", "borrowed")
HEARD_STATES = frozenset({"alive", "doubted"})
NOTHING = "-"

_replies = msgspec.json.Decoder(Reply)


class PeersCommands:
    """Inspect the communication between ingresses, where deploy/peers.toml enables it."""

    def status(self, where: str, *, json: bool = False, all: bool = False) -> None:
        """Show what the ingress at WHERE holds and hears; WHERE is host:port, or its peers.toml.

        Fails with 1 where it does not answer or hears less than half of the fleet.

        Args:
            where: host:port, or the peers.toml of the ingress.
            json: print all that is known, as JSON.
            all: show budgets of single servers and customers, too.
        """
        address, keys = _find_ingress(where)
        try:
            view = trio.run(ask, address, keys)
        except WireError as error:
            raise CommandError(error) from error
        print(format_json(view) if json else "\n".join(_describe(view, all)))
        heard = sum(member.state in HEARD_STATES for member in view.members)
        if 2 * heard <= view.slots:
            raise CommandError(f"{view.name} hears {heard} of {view.slots}, itself among them")


async def ask(address: str, keys: Certificates | None = None) -> View:
    """Ask one ingress for its view; `WireError` says why there is none."""
    tls = keys.client() if keys is not None else None
    if tls is not None:
        tls.check_hostname = False  # whoever listens there is to be shown, by whatever name
    try:
        with trio.fail_after(ANSWER_TIMEOUT_S):
            link = await connect(address, address, PROTOCOL_VERSIONS, tls)
            try:
                reply = await link.exchange(StatusRequest(), _replies)
            finally:
                await link.close()
    except trio.TooSlowError as error:
        raise WireError(f"{address}: no answer within {ANSWER_TIMEOUT_S:g} s") from error
    except (OSError, trio.BrokenResourceError, msgspec.DecodeError) as error:
        raise WireError(f"{address}: {error.__cause__ or error}") from error
    if reply.view is None:
        raise WireError(f"{address}: {reply.error or 'no view'}")
    return reply.view


def _find_ingress(where: str) -> tuple[str, Certificates | None]:
    """Return the address of an ingress, and the certificates for it where its file names some."""
    try:
        if where.endswith(".toml"):
            return _read_peers_file(Path(where))
        parse_address("WHERE", where)
    except ConfigError as error:
        raise CommandError(error, ExitCode.USAGE) from error
    return where, None


def _read_peers_file(path: Path) -> tuple[str, Certificates | None]:
    file = load_peers(path)
    if not path.exists() or not file.enabled:
        raise ConfigError(f"{path}: enabled is not set: no ingress talks by this file")
    if file.tls is None:
        return file.listen, None
    folder = Path(file.folder)
    return file.listen, Certificates(folder / file.tls.ca, folder / file.tls.cert, folder / file.tls.key)


def _describe(view: View, all_budgets: bool) -> Iterator[str]:
    """Yield what `status` prints of a view, for people."""
    rate = view.bytes_out / view.up_s if view.up_s else 0.0
    yield (
        f"{view.name} (slot {view.slot} of {view.slots}, {view.hall}): {view.customers} customers' windows, "
        f"{rate:.0f} bytes a second out, {view.refused} rights refused"
    )
    yield format_rows(MEMBER_COLUMNS, [_member_row(view, member) for member in view.members])
    shown = [budget for budget in view.budgets if all_budgets or _is_of_interest(budget)]
    if shown:
        yield format_rows(BUDGET_COLUMNS, [_budget_row(budget) for budget in shown])
    hidden = len(view.budgets) - len(shown)
    if hidden:
        yield f"{hidden} more budgets, of which nothing is lent or borrowed (--all)"
    for server, weight in view.avoided.items():
        yield f"avoided by hearsay: {server} (weight {weight:.2f})"
    troubles = ", ".join(f"{name} {times}" for name, times in sorted(view.error_counts.items()))
    yield f"troubles: {troubles or 'none'}"


def _member_row(view: View, member: MemberView) -> list[str]:
    ages = [f"{age:.1f}" if age >= 0 else "never" for age in (member.last_contact_s, member.last_received_s)]
    if member.name == view.name:
        ages = [NOTHING, NOTHING]
    failing = " ".join(member.failing_servers) or NOTHING
    return [member.name, str(member.slot), member.hall, member.state, *ages, failing]


def _budget_row(budget: BudgetView) -> list[str]:
    numbers = (budget.rights, budget.part, budget.free, budget.in_use, budget.lent, budget.borrowed)
    return [budget.name, *map(str, numbers)]


def _is_of_interest(budget: BudgetView) -> bool:
    """Whether a budget is shown without `--all`: one for all together, or one with loans."""
    return " " not in budget.name or bool(budget.lent or budget.borrowed)
