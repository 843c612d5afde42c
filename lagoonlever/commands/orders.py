"""``lagoonlever orders``: what is wanted of each engine, and how far it is."""

from __future__ import annotations

import getpass
from typing import Annotated

import typer
from rich.console import Console

from lagoonlever.commands import orders_print as printing
from lagoonlever.commands.admin_calls import (
    AddressOption,
    JsonOption,
    KeyOption,
    ask,
    print_json,
)
from lagoonlever.commands.exit_codes import ExitCode
from lagoonlever.commands.orders_client import OrdersClient
from lagoonlever.commands.orders_edits import WantedOptions, edits_of_options, parse_models
from lagoonlever.commands.settings_calls import fail_with_faults
from lagoonlever.commands.settings_print import EXIT_CODES
from lagoonlever.entry.admin.orders_messages import OrdersChangeAsked, OrdersShown
from lagoonlever.exceptions import FaultsError

app = typer.Typer(
    name="orders", help="Read and change the orders to engines.", no_args_is_help=True
)


@app.command()
def show(*, address: AddressOption, key: KeyOption = None, json: JsonOption = False) -> None:
    """Show for each engine what is wanted, what it reports now, and who gives the orders."""
    shown = ask(OrdersClient, address, key, lambda client: client.show())
    print_json(shown) if json else Console().print(printing.orders_table(shown))


@app.command(name="set")
def set_wanted(
    engines: Annotated[list[str] | None, typer.Argument(help="Engines by name.")] = None,
    *,
    address: AddressOption,
    key: KeyOption = None,
    every: Annotated[bool, typer.Option("--all", help="All engines that the VM knows.")] = False,
    model: Annotated[
        list[str] | None,
        typer.Option(help="NAME@VERSION[:ADAPTER]; all of them together replace the former."),
    ] = None,
    role: Annotated[str | None, typer.Option(help="The role, such as both.")] = None,
    drain: Annotated[
        bool | None, typer.Option("--drain/--no-drain", help="Whether it is to take nothing new.")
    ] = None,
    release: Annotated[
        bool, typer.Option("--release", help="Leave the engines alone from now on.")
    ] = False,
    expect: Annotated[
        int | None, typer.Option(help="Fail unless this is still the revision.")
    ] = None,
    author: Annotated[str, typer.Option(help="Who, for the log; by default the user.")] = "",
    json: JsonOption = False,
) -> None:
    """Change what is wanted of engines; what no option names stays as it is.

    Tells the revision that is stored; the orders follow. Exits with 4 if nothing
    was stored, and with 5 if that could not be found out.
    """
    if bool(engines) == every:
        raise typer.BadParameter("name engines, or give --all", param_hint="ENGINES")
    options = _options(model, role=role, drain=drain, release=release)
    shown = ask(OrdersClient, address, key, lambda client: client.show())
    if expect is not None and shown.revision != expect:
        typer.echo(f"conflict: the revision is {shown.revision}, not {expect}", err=True)
        raise typer.Exit(ExitCode.NOT_RUN)
    asked = _asked(shown, tuple(engines or ()), options, author=author or getpass.getuser())
    told = ask(OrdersClient, address, key, lambda client: client.change(asked))
    if json:
        print_json(told)
    for line in () if json else printing.change_lines(told):
        typer.echo(line, err=told.tag != "stored")
    code = EXIT_CODES[told.tag]
    if code is not ExitCode.OK:
        raise typer.Exit(code)


def _options(
    model: list[str] | None, *, role: str | None, drain: bool | None, release: bool
) -> WantedOptions:
    try:
        models = parse_models(model or ())
    except FaultsError as error:
        fail_with_faults(error)
    options = WantedOptions(models=models, role=role, draining=drain, release=release)
    if options.empty:
        raise typer.BadParameter("give --model, --role, --drain, --no-drain or --release")
    if release and options != WantedOptions(release=True):
        raise typer.BadParameter("goes with no other change", param_hint="--release")
    return options


def _asked(
    shown: OrdersShown, engines: tuple[str, ...], options: WantedOptions, *, author: str
) -> OrdersChangeAsked:
    names = engines or tuple(each.engine for each in shown.engines)
    try:
        return OrdersChangeAsked(author=author, edits=edits_of_options(shown, names, options))
    except FaultsError as error:
        fail_with_faults(error)
