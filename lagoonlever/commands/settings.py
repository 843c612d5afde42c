"""``lagoonlever settings``: reads and changes the settings tree through any entry VM.

The queries stand here, the commands in ``settings_changes``.
"""

from __future__ import annotations

from typing import Annotated

import typer
from rich.console import Console

from lagoonlever.commands import settings_changes
from lagoonlever.commands import settings_print as printing
from lagoonlever.commands.admin_calls import AddressOption, JsonOption, KeyOption, print_json
from lagoonlever.commands.exit_codes import ExitCode
from lagoonlever.commands.settings_calls import (
    FileArgument,
    WaitOption,
    ask_vm,
    read_file,
    read_tree,
    tell_in_force,
)
from lagoonlever.commands.settings_edits import with_header, without_header
from lagoonlever.entry.admin.messages import FROM_VM
from lagoonlever.exceptions import Fault, FaultsError
from lagoonlever.tree.changes import diff
from lagoonlever.tree.document import parse_text

app = typer.Typer(name="settings", help="Read and change the settings tree.", no_args_is_help=True)
app.command(name="set")(settings_changes.set_options)
app.command()(settings_changes.edit)


@app.command()
def show(*, address: AddressOption, key: KeyOption = None, json: JsonOption = False) -> None:
    """Print the settings as written, comments included, ready to be edited."""
    shown = ask_vm(address, key, lambda client: client.show())
    if json:
        print_json(shown)
        return
    if shown.source == FROM_VM:
        typer.echo("the platform can't be read; this is what the VM has in force", err=True)
    typer.echo(with_header(shown.text, version=shown.version), nl=False)


@app.command()
def get(
    path: Annotated[str, typer.Argument(help="A node, such as /motus/desk.")],
    option: Annotated[str | None, typer.Argument(help="One option; none prints all.")] = None,
    *,
    address: AddressOption,
    key: KeyOption = None,
    json: JsonOption = False,
) -> None:
    """Print what a node has in force, and which node states each value."""
    node = ask_vm(address, key, lambda client: client.node(path))
    if option is None:
        print_json(node) if json else Console().print(printing.node_table(node))
        return
    found = next((each for each in node.options if each.option == option), None)
    if found is None:
        raise typer.BadParameter(f"{option!r} is no option", param_hint="OPTION")
    print_json(found) if json else typer.echo(printing.value_text(found.value))


@app.command(name="diff")
def show_diff(
    file: FileArgument, *, address: AddressOption, key: KeyOption = None, json: JsonOption = False
) -> None:
    """Print what storing a document would change. Exits with 1 if it has faults."""
    text = without_header(read_file(file))
    shown = ask_vm(address, key, lambda client: client.show())
    edits = diff(read_tree(shown.text), read_tree(text))
    if json:
        print_json(edits)
        return
    for line in printing.edit_lines(edits):
        typer.echo(line)


@app.command()
def history(
    *,
    address: AddressOption,
    key: KeyOption = None,
    json: JsonOption = False,
    limit: Annotated[int, typer.Option(help="How many of the last changes.")] = 20,
) -> None:
    """Print the last changes: version, time, author, note, and what each changed."""
    told = ask_vm(address, key, lambda client: client.history())
    records = told.records[-limit:]
    if json:
        print_json(records)
        return
    for record in records:
        for line in printing.record_lines(record):
            typer.echo(line)


@app.command()
def check(file: FileArgument, *, json: JsonOption = False) -> None:
    """Tell every fault of a document, without any VM. Exits with 1 if there is one."""
    faults: tuple[Fault, ...] = ()
    try:
        parse_text(without_header(read_file(file)))
    except FaultsError as error:
        faults = tuple(error.faults)
    if json:
        print_json(faults)
    for fault in () if json else faults:
        typer.echo(f"fault: {fault}", err=True)
    if faults:
        raise typer.Exit(ExitCode.FAULTS)
    if not json:
        typer.echo(f"{file}: in order")


@app.command()
def wait(
    version: Annotated[int, typer.Argument(help="The version, as `set` told it.")],
    *,
    address: AddressOption,
    key: KeyOption = None,
    json: JsonOption = False,
    wait_s: WaitOption = 20.0,
) -> None:
    """Wait until every VM has a version in force. Exits with 1 if one has not."""
    told = ask_vm(address, key, lambda client: client.in_force(version, wait_s=wait_s))
    print_json(told) if json else tell_in_force(told)
    if not told.everywhere:
        raise typer.Exit(ExitCode.FAULTS)
