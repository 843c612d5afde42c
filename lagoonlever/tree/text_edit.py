"""Edits of the written document that leave its comments and its layout alone.

The scanner only finds where members stand; the result is read back by the
ordinary reader and must equal the wanted tree, so a miss costs comments, never
a setting.
"""

from __future__ import annotations

import json
import re
from collections.abc import Iterable

import attrs
import msgspec

from lagoonlever.exceptions import FaultsError
from lagoonlever.tree.changes import NODE, Edit, apply
from lagoonlever.tree.document import canonical, parse_text, render
from lagoonlever.tree.options import OptionValue

_TOKEN = re.compile(
    r"(?P<space>\s+|//[^\n]*|/\*.*?\*/)"
    r"|(?P<string>\"(?:\\.|[^\"\\])*\"|'(?:\\.|[^'\\])*')"
    r"|(?P<mark>[{}\[\],:])"
    r"|(?P<word>[^\s{}\[\],:\"'/]+)",
    re.DOTALL,
)
INDENT = "  "


class _Unreadable(Exception):
    """The scanner met something that it does not know."""


@attrs.frozen(kw_only=True)
class _Token:
    kind: str
    text: str
    start: int
    end: int


@attrs.frozen(kw_only=True)
class _Member:
    """One member of an object: its name, and where member and value stand in the text."""

    name: str
    start: int
    value_start: int
    end: int


@attrs.frozen(kw_only=True)
class _Object:
    start: int
    end: int
    members: tuple[_Member, ...]

    def member(self, name: str) -> _Member | None:
        """Give the member of a name, or None."""
        return next((member for member in self.members if member.name == name), None)


def edit_text(text: str, edits: Iterable[Edit]) -> str:
    """Give the text with a change applied; raises ``FaultsError`` if the result is wrong.

    Where the text cannot be edited in place, a fresh one without comments is given.
    """
    wanted = apply(parse_text(text), edits := tuple(edits))
    edited = text
    try:
        for edit in sorted(edits, key=_parents_first):
            edited = _edit_one(edited, edit)
        if canonical(parse_text(edited)) == canonical(wanted):
            return edited
    except (_Unreadable, FaultsError):
        pass
    return render(wanted)


def _parents_first(edit: Edit) -> tuple[bool, str]:
    return (edit.option != NODE or edit.after is None, edit.path)


def _edit_one(text: str, edit: Edit) -> str:
    node = _scan(text, 0).member(edit.path)
    if edit.option == NODE:
        if edit.after is None:
            return text if node is None else _remove(text, node)
        return text if node else _insert(text, _scan(text, 0), edit.path, "{}", INDENT)
    if edit.after is None:
        option = _scan(text, node.value_start).member(edit.option) if node else None
        return text if option is None else _remove(text, option)
    if node is None:
        text = _insert(text, _scan(text, 0), edit.path, "{}", INDENT)
        return _edit_one(text, edit)
    options = _scan(text, node.value_start)
    stated = options.member(edit.option)
    if stated is None:
        return _insert(text, options, edit.option, _value_text(edit.after), INDENT * 2)
    return text[: stated.value_start] + _value_text(edit.after) + text[stated.end :]


def _value_text(value: OptionValue) -> str:
    return json.dumps(msgspec.to_builtins(value))


def _insert(text: str, into: _Object, name: str, value: str, indent: str) -> str:
    member = f"{json.dumps(name)}: {value}"
    if into.members:
        at = into.members[-1].end
        rest = _without_leading_comma(text, at)
        return f"{text[:at]},\n{indent}{member}{rest}"
    at = into.end - 1
    closing = indent[: -len(INDENT)]
    return f"{text[:at].rstrip(' ')}\n{indent}{member}\n{closing}{text[at:]}"


def _without_leading_comma(text: str, at: int) -> str:
    token = _next_token(text, at)
    if token.text != ",":
        return text[at:]
    return text[at : token.start] + text[token.end :]


def _remove(text: str, member: _Member) -> str:
    token = _next_token(text, member.end)
    end = token.end if token.text == "," else member.end
    return text[: member.start].rstrip(" \t") + text[end:].lstrip(" \t")


def _scan(text: str, at: int) -> _Object:
    opening = _next_token(text, at)
    if opening.text != "{":
        raise _Unreadable
    members: list[_Member] = []
    at = opening.end
    while True:
        name = _next_token(text, at)
        if name.text == ",":
            at = name.end
            continue
        if name.text == "}":
            return _Object(start=opening.start, end=name.end, members=tuple(members))
        member = _scan_member(text, name)
        members.append(member)
        at = member.end


def _scan_member(text: str, name: _Token) -> _Member:
    if name.kind == "mark" or _next_token(text, name.end).text != ":":
        raise _Unreadable
    value = _next_token(text, _next_token(text, name.end).end)
    plain = name.text[1:-1] if name.kind == "string" else name.text
    end = _end_of_value(text, value)
    return _Member(name=plain, start=name.start, value_start=value.start, end=end)


def _end_of_value(text: str, token: _Token) -> int:
    depth = 0
    while True:
        depth += token.text in ("{", "[")
        depth -= token.text in ("}", "]")
        if depth == 0:
            return token.end
        token = _next_token(text, token.end)


def _next_token(text: str, at: int) -> _Token:
    while True:
        match = _TOKEN.match(text, at)
        if match is None or match.lastgroup is None:
            raise _Unreadable
        if match.lastgroup != "space":
            return _Token(
                kind=match.lastgroup, text=match.group(), start=match.start(), end=match.end()
            )
        at = match.end()
