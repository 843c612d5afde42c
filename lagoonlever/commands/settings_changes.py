"""``lagoonlever settings set`` and ``edit``: the commands that change the settings tree."""

from __future__ import annotations

import getpass
import uuid
from typing import Annotated

import typer

from lagoonlever.commands import settings_print as printing
from lagoonlever.commands.admin_calls import AddressOption, JsonOption, KeyOption, print_json
from lagoonlever.commands.exit_codes import ExitCode
from lagoonlever.commands.settings_calls import (
    AuthorOption,
    FileArgument,
    NoteOption,
    WaitOption,
    ask_vm,
    fail_with_faults,
    read_file,
    read_tree,
    tell_in_force,
)
from lagoonlever.commands.settings_edits import (
    base_version_of,
    edits_of_assignments,
    without_header,
)
from lagoonlever.entry.admin.messages import FROM_VM, ChangeTold, SettingsShown
from lagoonlever.exceptions import FaultsError
from lagoonlever.tree.change_plan import ChangeRequest
from lagoonlever.tree.changes import apply, diff
from lagoonlever.tree.nodes import TreeView


def set_options(
    path: Annotated[str, typer.Argument(help="A node, such as /motus/desk; added if missing.")],
    assignments: Annotated[
        list[str] | None, typer.Argument(help="option=value ...; a list as a,b,c.")
    ] = None,
    *,
    address: AddressOption,
    key: KeyOption = None,
    unset: Annotated[
        list[str] | None, typer.Option(help="An option that is to be inherited again.")
    ] = None,
    remove: Annotated[bool, typer.Option("--remove", help="Remove the node.")] = False,
    expect: Annotated[
        int | None, typer.Option(help="Fail unless this is still the version.")
    ] = None,
    author: AuthorOption = "",
    note: NoteOption = "",
    wait_s: WaitOption = 5.0,
    json: JsonOption = False,
) -> None:
    """State options of one node; the document's comments stay.

    Tells the version that is stored and the VMs that have it in force. Exits
    with 4 if nothing was stored, and with 5 if that could not be found out.
    """
    shown = _ask_written(address, key)
    if expect is not None and shown.version != expect:
        typer.echo(f"conflict: the version is {shown.version}, not {expect}", err=True)
        raise typer.Exit(ExitCode.NOT_RUN)
    try:
        edits = edits_of_assignments(
            read_tree(shown.text),
            path,
            assignments=tuple(assignments or ()),
            unset=tuple(unset or ()),
            remove=remove,
        )
    except FaultsError as error:
        fail_with_faults(error)
    request = ChangeRequest(
        change_id=_new_change_id(),
        author=author or getpass.getuser(),
        base_version=shown.version,
        edits=edits,
        note=note,
    )
    _change(address, key, request, wait_s=wait_s, json=json)


def edit(
    file: FileArgument,
    *,
    address: AddressOption,
    key: KeyOption = None,
    base: Annotated[
        int | None, typer.Option(help="The version the document was made of, if it does not say.")
    ] = None,
    author: AuthorOption = "",
    note: NoteOption = "",
    wait_s: WaitOption = 5.0,
    json: JsonOption = False,
) -> None:
    """Store an edited document, as printed by `show` and changed in any editor.

    Others' changes of other options since then are kept. Exits as `set` does.
    """
    written = read_file(file)
    version = base if base is not None else base_version_of(written)
    if version is None:
        raise typer.BadParameter("the document names no version; give --base", param_hint="FILE")
    text = without_header(written)
    shown = _ask_written(address, key)
    current = version == shown.version
    before = read_tree(shown.text) if current else _tree_before(address, key, shown, version)
    if not current:
        message = "others changed the settings meanwhile; comments of the file are not stored"
        typer.echo(message, err=True)
    request = ChangeRequest(
        change_id=_new_change_id(),
        author=author or getpass.getuser(),
        base_version=version,
        edits=diff(before, read_tree(text)),
        text=text if current else None,
        note=note,
    )
    _change(address, key, request, wait_s=wait_s, json=json)


def _change(
    address: str, key: str | None, request: ChangeRequest, *, wait_s: float, json: bool
) -> None:
    told = ask_vm(address, key, lambda client: client.change(request, wait_s=wait_s))
    if json:
        print_json(told)
    else:
        _tell_change(told)
    code = printing.EXIT_CODES[told.tag]
    if code is not ExitCode.OK:
        raise typer.Exit(code)


def _tell_change(told: ChangeTold) -> None:
    for line in printing.change_lines(told):
        typer.echo(line, err=told.tag != "stored")
    if told.in_force is not None:
        tell_in_force(told.in_force)


def _ask_written(address: str, key: str | None) -> SettingsShown:
    shown = ask_vm(address, key, lambda client: client.show())
    if shown.source == FROM_VM:
        typer.echo("the platform can't be read, so nothing can be stored now", err=True)
        raise typer.Exit(ExitCode.NOT_RUN)
    return shown


def _tree_before(address: str, key: str | None, shown: SettingsShown, version: int) -> TreeView:
    """Give the tree of an earlier version, by undoing the changes on record since then."""
    told = ask_vm(address, key, lambda client: client.history())
    if version not in (0, *(record.version for record in told.records)):
        typer.echo(f"conflict: version {version} is not on record any more", err=True)
        raise typer.Exit(ExitCode.NOT_RUN)
    tree = read_tree(shown.text)
    later = [record for record in told.records if version < record.version <= shown.version]
    for record in reversed(later):
        tree = apply(tree, [edit.inverted() for edit in record.edits])
    return tree


def _new_change_id() -> str:
    return uuid.uuid4().hex
