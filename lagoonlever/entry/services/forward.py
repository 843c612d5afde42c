"""Forwards a request to the home of its key, the only VM that may run it."""

from __future__ import annotations

import attrs
import trio

from lagoonlever.decisions.claims.key_table import StoredAnswer
from lagoonlever.decisions.claims.keys import HomedKey
from lagoonlever.decisions.membership.membership import Member, MemberState, MemberView
from lagoonlever.entry.services.answers import ComeBack, unknown
from lagoonlever.entry.services.call import (
    DEADLINE_HEADER,
    HOMED_KEY_HEADER,
    ServiceCall,
    forwarded_answer,
)
from lagoonlever.entry.services.exchange import exchange_on
from lagoonlever.entry.services.settings import ServiceSettings
from lagoonlever.exceptions import BadResponse, ConnectFailed, ConnectionBroken
from lagoonlever.http.client import ClientConnection
from lagoonlever.http.messages import Headers
from lagoonlever.outcomes import Reason
from lagoonlever.published import Published
from lagoonlever.timers import TimerService

WELL = (MemberState.ALIVE, MemberState.LEAVING)
"""Members in other states may still answer, but it is not to be expected."""
PAUSED_HOME_S = 1.0
MARGIN_S = 0.25
"""What a forward waits longer than the home does, so that the home's answer is the one told."""


@attrs.define(kw_only=True)
class Forwarder:
    """Asks the homes of keys, over fresh connections.

    Whatever goes wrong is "unknown", also when the home received nothing: the
    home may have run an earlier copy, or be paused with one and wake.
    """

    _members: Published[MemberView]
    _timers: TimerService
    _settings: ServiceSettings
    _come_back: ComeBack

    async def forward(self, call: ServiceCall, key: HomedKey) -> StoredAnswer:
        """Give the home's answer, or tell that the home can't be asked.

        A home that others hold to be dead may be paused: its sockets accept and
        nothing answers, so it gets little time.
        """
        member = self._members.value.find(key.home)
        if member is None:
            return self._unreachable("the VM that holds this key is not known here")
        well = member.state in WELL
        longest_s = self._settings.call_timeout_s if well else PAUSED_HOME_S
        left_s = min(longest_s, call.left_s(self._timers.now))
        return await self.ask(call, key, member, timeout_s=left_s + MARGIN_S)

    async def ask(
        self, call: ServiceCall, key: HomedKey, member: Member, *, timeout_s: float
    ) -> StoredAnswer:
        """Ask a member for a key's answer: its home, or one that may keep a copy."""
        try:
            connection = await ClientConnection.open(
                member.http, timeout_s=self._settings.forward_timeout_s
            )
        except ConnectFailed:
            return self._unreachable(f"{key.home.name}, which holds this key, can't be reached")
        try:
            return await self._ask(call, key, connection, timeout_s)
        finally:
            with trio.CancelScope(shield=True):
                await connection.aclose()

    async def _ask(
        self, call: ServiceCall, key: HomedKey, connection: ClientConnection, timeout_s: float
    ) -> StoredAnswer:
        try:
            with trio.fail_after(timeout_s):
                response = await exchange_on(
                    connection,
                    method=call.request.method,
                    target=call.full_target,
                    headers=self._headers(call, key),
                    body=call.request.body,
                    step="forward call",
                    max_bytes=self._settings.max_answer_bytes,
                )
        except (ConnectionBroken, BadResponse, trio.TooSlowError):
            return self._unreachable(f"{key.home.name}, which holds this key, gave no answer")
        answer = forwarded_answer(response)
        return answer or self._unreachable("what answers for this key's home is no VM of ours")

    def _headers(self, call: ServiceCall, key: HomedKey) -> Headers:
        headers = call.headers().with_field(HOMED_KEY_HEADER, str(key))
        if call.deadline is None:
            return headers
        return headers.with_field(DEADLINE_HEADER, f"{call.left_s(self._timers.now):.6f}")

    def _unreachable(self, message: str) -> StoredAnswer:
        return unknown(
            Reason.HOME_UNREACHABLE,
            f"{message}; ask again with the same key (it is never run twice),"
            " and look up the request's effect before sending it under a new one",
            retry_after_s=self._come_back.after_s(),
        )
