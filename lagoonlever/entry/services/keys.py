"""Brings a request with a key to the home of that key, or to a copy of its answer."""

from __future__ import annotations

import attrs
import trio

from lagoonlever.decisions.claims.answer_copies import CopiedAnswer, MismatchedCopy
from lagoonlever.decisions.claims.claim_queue import BindingUnknown, ClaimResult
from lagoonlever.decisions.claims.key_table import StoredAnswer
from lagoonlever.decisions.claims.keys import (
    KEY_HEADER,
    HomedKey,
    PlainKey,
    claim_scope,
    parse_homed_key,
    parse_key,
    request_fingerprint,
)
from lagoonlever.decisions.membership.membership import MemberView
from lagoonlever.entry.fleet.claims import Claims
from lagoonlever.entry.services.answers import ComeBack, unknown
from lagoonlever.entry.services.call import HOMED_KEY_HEADER, ServiceCall
from lagoonlever.entry.services.copies import AnswerCopier
from lagoonlever.entry.services.forward import WELL, Forwarder
from lagoonlever.entry.services.keyed import KeyedCalls, used_for_another
from lagoonlever.entry.services.settings import ServiceSettings
from lagoonlever.exceptions import RequestRefused
from lagoonlever.identity import Incarnation
from lagoonlever.outcomes import Reason, Unknown
from lagoonlever.published import Published
from lagoonlever.timers import TimerService


@attrs.define(kw_only=True)
class KeyRouter:
    """Finds who may answer for a key: this VM, its home, or those that keep copies."""

    _own: Incarnation
    _members: Published[MemberView]
    _claims: Claims
    _keyed: KeyedCalls
    _forwarder: Forwarder
    _copier: AnswerCopier
    _timers: TimerService
    _settings: ServiceSettings
    _come_back: ComeBack

    async def answer(self, call: ServiceCall) -> StoredAnswer:
        """Answer a call with a key, also one that another VM forwarded."""
        homed_text = call.request.headers.get(HOMED_KEY_HEADER)
        if homed_text is not None:
            return await self._forwarded(call, homed_text)
        key = parse_key(call.key_text)
        if isinstance(key, PlainKey):
            return await self._plain(call, key)
        return await self._homed(call, key)

    async def _forwarded(self, call: ServiceCall, homed_text: str) -> StoredAnswer:
        """Answer what another VM forwarded; never forward it on, so that none goes in circles."""
        key = parse_homed_key(homed_text)
        if key is None:
            raise RequestRefused(
                status=400, field=HOMED_KEY_HEADER, message="is no key with a home"
            )
        copy = None if key.home == self._own else self._own_copy(call, key)
        return copy or await self._keyed.call(call, key)

    async def _plain(self, call: ServiceCall, key: PlainKey) -> StoredAnswer:
        """Bind the key to a home first; without a binding nothing runs.

        The answer is "unknown" all the same: an earlier copy of the request may
        have been bound and run through another VM, which can't be looked up now.
        """
        credential = call.request.headers.get("Authorization", "") or ""
        scope = claim_scope(key, service=call.service.name, credential=credential)
        bound: ClaimResult = BindingUnknown()
        with trio.move_on_after(call.left_s(self._timers.now)):
            bound = await self._claims.bind(scope)
        if isinstance(bound, BindingUnknown):
            return unknown(
                Reason.PLATFORM_DOWN,
                "this copy was not run, but whether another one was can't be found out now;"
                f" ask again with the same {KEY_HEADER}: it is never run twice",
                retry_after_s=self._come_back.after_s(),
            )
        return await self._homed(call, bound.home)

    async def _homed(self, call: ServiceCall, key: HomedKey) -> StoredAnswer:
        """Ask the home; where it is not well, look for a copy first, as that is quicker."""
        if key.home == self._own:
            return await self._keyed.call(call, key)
        home = self._members.value.find(key.home)
        well = home is not None and home.state in WELL
        copy = self._own_copy(call, key) if well else await self._copied(call, key)
        if copy is not None:
            return copy
        answer = await self._forwarder.forward(call, key)
        if not (well and _home_unreachable(answer)):
            return answer
        return await self._copied(call, key) or answer

    async def _copied(self, call: ServiceCall, key: HomedKey) -> StoredAnswer | None:
        """Look for a settled answer here and where copies are kept."""
        own = self._own_copy(call, key)
        if own is not None:
            return own
        for member in self._copier.holders(key):
            answer = await self._forwarder.ask(
                call, key, member, timeout_s=self._settings.forward_timeout_s
            )
            if not _home_unreachable(answer):
                return answer
        return None

    def _own_copy(self, call: ServiceCall, key: HomedKey) -> StoredAnswer | None:
        found = self._copier.find(key, fingerprint=request_fingerprint(call.request))
        if isinstance(found, CopiedAnswer):
            return found.answer
        return used_for_another() if isinstance(found, MismatchedCopy) else None


def _home_unreachable(answer: StoredAnswer) -> bool:
    outcome = answer.outcome
    return isinstance(outcome, Unknown) and outcome.reason is Reason.HOME_UNREACHABLE
