"""The administration API of a VM: reads, checks and changes the settings over HTTP."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import attrs
import logbook
import trio

from lagoonlever.entry.admin import http
from lagoonlever.entry.admin.messages import (
    CHANGE_PATH,
    CHECK_PATH,
    FROM_PLATFORM,
    FROM_VM,
    HISTORY_PATH,
    IN_FORCE_PATH,
    NODE_PATH,
    SETTINGS_PATH,
    ChangeTold,
    CheckAsked,
    CheckTold,
    SettingsShown,
    change_told,
    history_shown,
    node_shown,
)
from lagoonlever.entry.admin.operators import Operators
from lagoonlever.entry.settings import events
from lagoonlever.entry.settings.settings import SettingsPart
from lagoonlever.exceptions import Fault, FaultsError, PlatformError, RequestRefused
from lagoonlever.http.exchange import Exchange
from lagoonlever.http.messages import Request
from lagoonlever.identity import REQUEST_ID
from lagoonlever.tree.change_plan import ChangeRequest, Stored
from lagoonlever.tree.document import parse_text, render
from lagoonlever.tree.nodes import ROOT, UnknownNode

log = logbook.Logger(__name__)

MAX_RECORD_TEXT = 500
MAX_WAIT_S = 25.0
"""Below the time that usual clients wait for an answer."""


@attrs.define(kw_only=True, eq=False)
class SettingsAdmin:
    """Answers every path below ``/admin/settings``."""

    _part: SettingsPart
    _operators: Operators = attrs.field(factory=Operators)

    async def handle(self, exchange: Exchange) -> None:
        """Answer one exchange; raises ``RequestRefused``."""
        request = exchange.request
        self._operators.check(request)
        handler = self._handler(request)
        try:
            await handler(exchange)
        except PlatformError as error:
            raise RequestRefused(
                status=http.UNAVAILABLE, field="platform", message=str(error)
            ) from error

    def _handler(self, request: Request) -> Callable[[Exchange], Awaitable[None]]:
        routes = {
            SETTINGS_PATH: ("GET", self._show),
            NODE_PATH: ("GET", self._node),
            HISTORY_PATH: ("GET", self._history),
            IN_FORCE_PATH: ("GET", self._in_force),
            CHECK_PATH: ("POST", self._check),
            CHANGE_PATH: ("POST", self._change),
        }
        if request.path not in routes:
            raise RequestRefused(
                status=http.NOT_FOUND, field="path", message=f"give one of: {', '.join(routes)}"
            )
        method, handler = routes[request.path]
        if request.method != method:
            raise RequestRefused(
                status=http.METHOD_NOT_ALLOWED, field="method", message=f"use {method}"
            )
        return handler

    async def _show(self, exchange: Exchange) -> None:
        try:
            head = (await self._part.store.read()).head
        except PlatformError:
            # While the platform is down operators still see what is in force here.
            tree = self._part.view.value
            version, text, source = tree.version, render(tree), FROM_VM
        else:
            version, text, source = head.version, head.stored.text, FROM_PLATFORM
        shown = SettingsShown(
            version=version,
            text=text,
            source=source,
            vm_version=self._part.version,
            vm_age_s=self._part.age_s,
        )
        await http.respond(exchange, shown)

    async def _node(self, exchange: Exchange) -> None:
        path = exchange.request.query.get("path", ROOT)
        try:
            shown = node_shown(self._part.view.value, path)
        except UnknownNode as error:
            raise RequestRefused(status=http.NOT_FOUND, field="path", message=str(error)) from error
        await http.respond(exchange, shown)

    async def _history(self, exchange: Exchange) -> None:
        head = (await self._part.store.read()).head
        await http.respond(exchange, history_shown(head))

    async def _check(self, exchange: Exchange) -> None:
        asked = http.read_body(exchange.request, CheckAsked)
        # A text that is more than JSON with comments takes hundreds of
        # milliseconds to read, during which the callers' streams must go on.
        faults = await trio.to_thread.run_sync(_faults_of, asked.text)
        await http.respond(exchange, CheckTold(faults=faults))

    async def _change(self, exchange: Exchange) -> None:
        asked = http.read_body(exchange.request, ChangeRequest)
        _check_change(asked)
        wait_s = http.read_number(exchange.request, "wait_s", default=0.0)
        outcome = await self._part.store.change(asked)
        told = change_told(asked.change_id, outcome)
        _log(asked, told)
        if isinstance(outcome, Stored):
            in_force = await self._part.wait_in_force(
                outcome.version, timeout_s=min(wait_s, MAX_WAIT_S)
            )
            told = attrs.evolve(told, in_force=in_force)
        await http.respond(exchange, told, status=http.STATUS_BY_TAG[told.tag])

    async def _in_force(self, exchange: Exchange) -> None:
        version = int(
            http.read_number(exchange.request, "version", default=self._part.version or 0)
        )
        wait_s = http.read_number(exchange.request, "wait_s", default=0.0)
        told = await self._part.wait_in_force(version, timeout_s=min(wait_s, MAX_WAIT_S))
        await http.respond(exchange, told)


def _faults_of(text: str) -> tuple[Fault, ...]:
    try:
        parse_text(text)
    except FaultsError as error:
        return tuple(error.faults)
    return ()


def _check_change(asked: ChangeRequest) -> None:
    if REQUEST_ID.match(asked.change_id) is None:
        message = "is no id; give 1 to 80 letters, digits, hyphens, dots or underscores"
        raise RequestRefused(status=http.BAD_REQUEST, field="change_id", message=message)
    for name, text in (("author", asked.author), ("note", asked.note)):
        # Records share one value on the platform: a long one would push out others.
        if len(text) > MAX_RECORD_TEXT:
            message = f"has {len(text)} characters; at most {MAX_RECORD_TEXT} are kept"
            raise RequestRefused(status=http.BAD_REQUEST, field=name, message=message)


def _log(asked: ChangeRequest, told: ChangeTold) -> None:
    if told.tag != Stored.tag:
        message = told.message or "; ".join(str(fault) for fault in told.faults)
        events.REFUSED.log(log, change_id=asked.change_id, author=asked.author, message=message)
        return
    keys = ", ".join(edit.key for edit in told.edits) or "nothing but comments"
    events.STORED.log(
        log, change_id=asked.change_id, author=asked.author, version=told.version, keys=keys
    )
