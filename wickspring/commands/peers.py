"""Commands on the talk between ingresses: who is heard, and what each holds of what is shared."""

from __future__ import annotations

from pathlib import Path

import click
import msgspec
import trio

from wickspring import config
from wickspring.commands import fail
from wickspring.peer_state.messages import NUMBERS, Reply, StatusRequest, View
from wickspring.tls import Certificates
from wickspring.wire import WireError, connect

WITHIN_S = 3.0
_replies = msgspec.json.Decoder(Reply)


async def ask(address: str, keys: Certificates | None = None) -> View:
    """Ask one ingress for its view; `WireError` says why there is none."""
    tls = keys.client() if keys is not None else None
    if tls is not None:
        tls.check_hostname = False  # whoever listens there is to be shown, by whatever name
    try:
        with trio.fail_after(WITHIN_S):
            link = await connect(address, address, NUMBERS, tls)
            try:
                reply = await link.ask(StatusRequest(), _replies)
            finally:
                await link.close()
    except trio.TooSlowError as error:
        raise WireError(f"{address}: no answer within {WITHIN_S:g} s") from error
    except (OSError, trio.BrokenResourceError, msgspec.DecodeError) as error:
        raise WireError(f"{address}: {error.__cause__ or error}") from error
    if reply.view is None:
        raise WireError(f"{address}: {reply.error or 'no view'}")
    return reply.view


@click.group()
def peers() -> None:
    """Inspect the communication between ingresses, where deploy/peers.toml enables it."""


@peers.command()
@click.argument("where")
@click.option("--json", "as_json", is_flag=True, help="All that is known, as JSON.")
@click.option("--all", "everything", is_flag=True, help="Budgets of single servers and customers, too.")
def status(where: str, as_json: bool, everything: bool) -> None:
    """Show what the ingress at WHERE holds and hears; WHERE is host:port, or its peers.toml.

    Fails with 1 where it does not answer or hears less than half of the fleet.
    """
    keys: Certificates | None = None
    try:
        if where.endswith(".toml"):
            file = config.load_peers(Path(where))
            if not Path(where).exists() or not file.enabled:
                raise config.ConfigError(f"{where}: enabled is not set: no ingress talks by this file")
            if file.tls is not None:
                folder = Path(file.folder)
                keys = Certificates(folder / file.tls.ca, folder / file.tls.cert, folder / file.tls.key)
            where = file.listen
        else:
            config.parse_address("WHERE", where)
    except config.ConfigError as error:
        raise fail(error, 2) from error
    try:
        view = trio.run(ask, where, keys)
    except WireError as error:
        raise fail(error) from error
    if as_json:
        click.echo(msgspec.json.format(msgspec.json.encode(view), indent=1).decode())
    else:
        _show(view, everything)
    heard = sum(one.state in ("alive", "doubted") for one in view.members)
    if 2 * heard <= view.slots:
        raise fail(f"{view.name} hears {heard} of {view.slots}, itself among them")


def _show(view: View, everything: bool) -> None:
    from rich.console import Console
    from rich.table import Table

    console = Console()
    rate = view.bytes_out / view.up_s if view.up_s else 0.0
    console.print(
        f"{view.name} (slot {view.slot} of {view.slots}, {view.hall}): {view.customers} customers' windows, "
        f"{rate:.0f} bytes a second out, {view.refused} rights refused"
    )
    table = Table("ingress", "slot", "hall", "is", "talked s ago", "heard s ago", "says fails", box=None)
    for one in view.members:
        ages = [f"{age:.1f}" if age >= 0 else "never" for age in (one.last_contact_s, one.last_received_s)]
        if one.name == view.name:
            ages = ["-", "-"]
        table.add_row(
            one.name, str(one.slot), one.hall, one.state, *ages, " ".join(one.failing_servers) or "-"
        )
    console.print(table)
    shown = [one for one in view.budgets if everything or " " not in one.name or one.lent or one.borrowed]
    if shown:
        table = Table("budget", "rights", "own part", "free", "in use", "lent", "borrowed", box=None)
        for row in shown:
            numbers = (row.rights, row.part, row.free, row.in_use, row.lent, row.borrowed)
            table.add_row(row.name, *map(str, numbers))
        console.print(table)
    hidden = len(view.budgets) - len(shown)
    if hidden:
        console.print(f"{hidden} more budgets, of which nothing is lent or borrowed (--all)")
    for server, weight in view.avoided.items():
        console.print(f"avoided by hearsay: {server} (weight {weight:.2f})")
    troubles = ", ".join(f"{name} {times}" for name, times in sorted(view.error_counts.items()))
    console.print(f"troubles: {troubles or 'none'}")
