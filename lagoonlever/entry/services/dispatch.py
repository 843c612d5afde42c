"""Sends a request that may not be repeated: over a fresh connection, written at most once."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import trio

from lagoonlever.decisions.admission.runners import Runners
from lagoonlever.decisions.claims.key_table import StoredAnswer
from lagoonlever.decisions.claims.write_check import (
    ChooseOtherTarget,
    RefreshTargets,
    Refuse,
    Write,
    WriteContext,
    WriteDecision,
    decide_write,
)
from lagoonlever.decisions.targets.targets import Target, TargetState, TargetView
from lagoonlever.entry.engines.engines import TargetGuard
from lagoonlever.entry.services.answers import RETRY_NEW_KEY, ComeBack, not_run, unknown
from lagoonlever.entry.services.call import ServiceCall, service_answer
from lagoonlever.entry.services.exchange import exchange_on
from lagoonlever.entry.services.pauses import PauseWatch
from lagoonlever.entry.services.rests import ServiceRests
from lagoonlever.entry.services.settings import Service, ServiceSettings
from lagoonlever.exceptions import BadResponse, ConnectFailed, ConnectionBroken
from lagoonlever.http.client import ClientConnection
from lagoonlever.outcomes import Reason
from lagoonlever.timers import TICK_S, TimerService

MAX_CONNECTS = 3

OnWrite = Callable[[Target], bool]
"""Called right before the first byte can leave; gives False where it must not leave any more."""


def runners_of(service: Service, view: TargetView) -> tuple[Target, ...]:
    """Give the live runners of a service."""
    return tuple(t for t in view.application() if t.name.startswith(service.targets))


def absence_reason(service: Service, view: TargetView) -> Reason:
    """Tell why no runner of a service was chosen."""
    if runners_of(service, view):
        return Reason.OVERLOADED
    unsure = any(target.state is TargetState.UNSURE for target in view.targets)
    return Reason.ISOLATED if unsure else Reason.NO_TARGET


@attrs.define(kw_only=True)
class Dispatcher:
    """Writes requests to runners, each at most once."""

    _guard: TargetGuard
    _runners: Runners
    _timers: TimerService
    _pauses: PauseWatch
    _settings: ServiceSettings
    _come_back: ComeBack
    _rests: ServiceRests

    async def dispatch(
        self, call: ServiceCall, *, key_expires_at: float | None, on_write: OnWrite
    ) -> StoredAnswer:
        """Send a request, unless ``on_write`` says at the last moment that it must not be.

        A failed connect proves that the runner received nothing, so another one
        is asked. Once ``on_write`` was true no other connection is made.
        """
        tried: set[str] = set()
        while len(tried) < MAX_CONNECTS:
            target = self._choose(call.service, tried)
            if target is None:
                break
            tried.add(target.name)
            answer = await self._try(call, target, key_expires_at, on_write)
            if answer is not None:
                return answer
        return self._no_target(call, tried)

    def _choose(self, service: Service, tried: set[str]) -> Target | None:
        live = {t.name: t for t in runners_of(service, self._guard.view.value)}
        names = self._rests.awake(name for name in live if name not in tried)
        name = self._runners.choose(names, now=self._timers.now, probe=False)
        if name is None:
            name = self._runners.choose(names, now=self._timers.now)
        return live[name] if name else None

    async def _try(
        self, call: ServiceCall, target: Target, key_expires_at: float | None, on_write: OnWrite
    ) -> StoredAnswer | None:
        try:
            connection = await ClientConnection.open(target.address)
        except ConnectFailed:
            self._runners.on_failure(target.name, now=self._timers.now)
            self._guard.connect_failed(target)
            return None
        self._guard.connected(target)
        try:
            decision = await self._check(call, target, key_expires_at)
            if isinstance(decision, ChooseOtherTarget):
                return None
            if isinstance(decision, Refuse):
                return self._refused(decision)
            if not on_write(target):
                return not_run(Reason.CANCELLED, "it was given up before it was sent")
            return await self._write(call, target, connection)
        finally:
            with trio.CancelScope(shield=True):
                await connection.aclose()

    async def _check(
        self, call: ServiceCall, target: Target, key_expires_at: float | None
    ) -> Write | ChooseOtherTarget | Refuse:
        """Check until the decision is final; nothing awaits between it and the write.

        After a pause the view of the targets is old; waiting until the pause is
        no longer recent gives its owner the time to renew it.
        """
        decision = self._decide(call, target, key_expires_at)
        while isinstance(decision, RefreshTargets):
            await trio.sleep(TICK_S)
            decision = self._decide(call, target, key_expires_at)
        return decision

    def _decide(
        self, call: ServiceCall, target: Target, key_expires_at: float | None
    ) -> WriteDecision:
        return decide_write(
            WriteContext(
                now=self._timers.now,
                deadline=call.deadline,
                key_expires_at=key_expires_at,
                target_live=self._takes_work(target),
                paused_s=self._pauses.recent_pause_s,
            )
        )

    def _takes_work(self, target: Target) -> bool:
        return self._rests.is_awake(target.name) and self._guard.check_before_dispatch(target)

    async def _write(
        self, call: ServiceCall, target: Target, connection: ClientConnection
    ) -> StoredAnswer:
        """Write and read; whatever goes wrong from here on is "unknown"."""
        name = target.name
        self._runners.on_sent(name)
        sent_at = self._timers.now
        try:
            with trio.fail_after(self._settings.call_timeout_s):
                response = await exchange_on(
                    connection,
                    method=call.request.method,
                    target=call.target,
                    headers=call.target_headers(),
                    body=call.request.body,
                    step="call service",
                    max_bytes=self._settings.max_answer_bytes,
                )
        except (ConnectionBroken, BadResponse, trio.TooSlowError) as error:
            self._runners.on_loss(name, now=self._timers.now)
            return unknown(
                Reason.CONNECTION_LOST,
                f"the request was sent to {name} and no whole answer came"
                f" ({error or 'timed out'}); it will not be sent again."
                " Look up its effect before sending it under a new key",
            )
        now = self._timers.now
        self._rests.note(name, response)
        self._runners.on_answer(name, now=now, latency_s=now - sent_at)
        return service_answer(response, service=call.service, idempotent=False)

    def _refused(self, refused: Refuse) -> StoredAnswer:
        return not_run(refused.reason, refused.message)

    def _no_target(self, call: ServiceCall, tried: set[str]) -> StoredAnswer:
        after_s = self._come_back.after_s()
        if tried:
            reason, message = Reason.NO_TARGET, "no runner accepted it"
        else:
            reason = absence_reason(call.service, self._guard.view.value)
            message = "no runner can take it now"
        if call.key_text:
            message = f"{message}; {RETRY_NEW_KEY}"
        return not_run(reason, message, retry_after_s=after_s)
