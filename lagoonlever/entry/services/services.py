"""Routes calls under ``/services/<name>/...`` to the application services.

Idempotent calls are looked up with hedges. The others run at most once: under
a key at the key's home, and without a key in one dispatch.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import logbook
import trio

from lagoonlever.decisions.admission.runners import Runners
from lagoonlever.decisions.claims.key_table import KeyTable, StoredAnswer
from lagoonlever.decisions.claims.keys import (
    KEY_HEADER,
    KeyHome,
    parse_homed_key,
)
from lagoonlever.decisions.membership.membership import MemberView
from lagoonlever.decisions.shares.budgets import FULL_RATIO
from lagoonlever.decisions.targets.targets import Target
from lagoonlever.entry.callers.request_metrics import RequestMetrics, unscraped_metrics
from lagoonlever.entry.engines.engines import TargetGuard
from lagoonlever.entry.fleet.claims import Claims
from lagoonlever.entry.services.answers import ComeBack, answer_of, not_run, tell
from lagoonlever.entry.services.call import (
    HOMED_KEY_HEADER,
    ServiceCall,
    remaining_s,
)
from lagoonlever.entry.services.copies import AnswerCopier
from lagoonlever.entry.services.dispatch import Dispatcher
from lagoonlever.entry.services.events import ANSWER_UNKNOWN
from lagoonlever.entry.services.forward import Forwarder
from lagoonlever.entry.services.keyed import KeyedCalls
from lagoonlever.entry.services.keys import KeyRouter
from lagoonlever.entry.services.lookups import LookupCounts, Lookups
from lagoonlever.entry.services.pauses import PauseWatch
from lagoonlever.entry.services.rests import ServiceRests
from lagoonlever.entry.services.settings import ServiceSettings
from lagoonlever.exceptions import RequestRefused
from lagoonlever.history.events_services import DispatchWritten
from lagoonlever.history.recorder import Recorder
from lagoonlever.http.exchange import Exchange
from lagoonlever.http.messages import Request
from lagoonlever.identity import Incarnation
from lagoonlever.outcomes import Reason, Unknown
from lagoonlever.peers.interface import Bus
from lagoonlever.published import Published
from lagoonlever.store.port import Platform
from lagoonlever.timers import TimerService

SERVICES_PATH = "/services/"
PATH_FIELD = "path"
NOBODY = "-"
"""The organisation of callers without a known API key."""

OrganisationOf = Callable[[Request], str | None]

log = logbook.Logger("services")


def _nobody(request: Request) -> str | None:
    return None


class ServiceRouter:
    """The part of the daemon that serves application services."""

    def __init__(
        self,
        *,
        own: Incarnation,
        guard: TargetGuard,
        members: Published[MemberView],
        platform: Platform,
        timers: TimerService,
        settings: ServiceSettings,
        rng: random.Random,
        organisation_of: OrganisationOf = _nobody,
        retry_ratio_of: Callable[[str], float] = lambda organisation: FULL_RATIO,
        recorder: Recorder | None = None,
        bus: Bus | None = None,
        metrics: RequestMetrics | None = None,
    ) -> None:
        self._own = own
        self._metrics = metrics or unscraped_metrics()
        self._guard = guard
        self._timers = timers
        self._settings = settings
        self._organisation_of = organisation_of
        self._recorder = recorder
        self._pauses = PauseWatch(timers=timers)
        self._runners = Runners(
            rng=rng,
            max_outstanding=settings.max_outstanding,
            target_s=settings.lookup_target_s,
        )
        table = KeyTable(
            own=own,
            started_at=timers.now,
            limit_bytes=settings.home_bytes,
            lifetime_s=settings.key_lifetime_s,
        )
        come_back = ComeBack(base_s=settings.retry_after_s, rng=rng)
        rests = ServiceRests(timers=timers)
        self._claims = Claims(platform=platform, table=table, timers=timers, settings=settings)
        self._dispatcher = Dispatcher(
            guard=guard,
            runners=self._runners,
            timers=timers,
            pauses=self._pauses,
            settings=settings,
            come_back=come_back,
            rests=rests,
        )
        self._copier = AnswerCopier(members=members, bus=bus)
        self._keyed = KeyedCalls(
            table=table,
            dispatcher=self._dispatcher,
            timers=timers,
            settings=settings,
            come_back=come_back,
            on_settled=self._copier.send,
            recorder=recorder,
        )
        self._lookups = Lookups(
            guard=guard,
            runners=self._runners,
            timers=timers,
            settings=settings,
            come_back=come_back,
            rests=rests,
            retry_ratio_of=retry_ratio_of,
        )
        self._keys = KeyRouter(
            own=own,
            members=members,
            claims=self._claims,
            keyed=self._keyed,
            forwarder=Forwarder(
                members=members, timers=timers, settings=settings, come_back=come_back
            ),
            copier=self._copier,
            timers=timers,
            settings=settings,
            come_back=come_back,
        )

    @property
    def key_home(self) -> KeyHome:
        """What callers need to mint keys whose home is this VM."""
        return self._claims.key_home

    @property
    def open_keys(self) -> int:
        """The number of keyed requests that are being run here."""
        return self._keyed.open_keys

    @property
    def lookup_counts(self) -> LookupCounts:
        """What lookups have cost so far."""
        return self._lookups.counts

    async def run(self) -> None:
        """Run keyed requests and claims until cancelled."""
        try:
            with self._pauses.watching():
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._keyed.run)
                    nursery.start_soon(self._claims.run)
                    nursery.start_soon(self._copier.run)
                    nursery.start_soon(self._forget_gone_runners)
        finally:
            with trio.CancelScope(shield=True):
                await self._lookups.aclose()

    async def refuse_by_head(self, exchange: Exchange) -> bool:
        """Refuse a call by its head alone, or return False."""
        try:
            self._call(exchange.request)
        except RequestRefused as refused:
            await tell(exchange, self._refused(exchange.request, refused))
            return True
        return False

    async def handle(self, exchange: Exchange) -> None:
        """Answer one call with exactly one outcome."""
        began_at = self._timers.now
        try:
            call = self._call(exchange.request)
            answer = await self._answer(call)
            self._count(call, answer, latency_s=self._timers.now - began_at)
        except RequestRefused as refused:
            answer = self._refused(exchange.request, refused)
        if isinstance(answer.outcome, Unknown):
            ANSWER_UNKNOWN.log(
                log, service=exchange.request.path, reason=answer.outcome.reason.value
            )
        await tell(exchange, answer)

    def _count(self, call: ServiceCall, answer: StoredAnswer, *, latency_s: float) -> None:
        """Count a call where its caller sent it, not again at its key's home."""
        if call.request.headers.get(HOMED_KEY_HEADER) is not None:
            return
        self._metrics.service_ended(
            call.organisation,
            answer.outcome,
            latency_s=latency_s,
            idempotent=call.idempotent,
        )

    def _call(self, request: Request) -> ServiceCall:
        name, _, rest = request.path.removeprefix(SERVICES_PATH).partition("/")
        service = self._settings.service(name)
        if service is None:
            raise RequestRefused(
                status=404, field=PATH_FIELD, message=f"no service is named {name!r}"
            )
        left_s = remaining_s(request.headers)
        arrived_at = self._pauses.arrival_of(self._timers.now)
        return ServiceCall(
            service=service,
            request=request,
            path=f"/{rest}",
            organisation=self._organisation_of(request) or NOBODY,
            deadline=None if left_s is None else arrived_at + left_s,
        )

    def _refused(self, request: Request, refused: RequestRefused) -> StoredAnswer:
        """Return the answer to a copy of a request that is wrong as it stands."""
        message = f"{refused.field}: {refused}" if refused.field else str(refused)
        if self._may_have_run_before(request, refused):
            return answer_of(
                Unknown(reason=Reason.BAD_REQUEST, message=message, status=refused.status)
            )
        return not_run(Reason.BAD_REQUEST, message, status=refused.status)

    def _may_have_run_before(self, request: Request, refused: RequestRefused) -> bool:
        """Check whether an earlier copy under the same key may have run.

        It may have had a right deadline, or come to a VM that knows the service. Not so where
        the key itself is wrong, or this VM is its home and knows no such service.
        """
        key_text = request.headers.get(KEY_HEADER)
        if not key_text or refused.field == KEY_HEADER:
            return False
        key = parse_homed_key(key_text)
        is_home = key is not None and key.home == self._own
        return refused.field != PATH_FIELD or not is_home

    async def _answer(self, call: ServiceCall) -> StoredAnswer:
        if call.idempotent:
            return await self._lookups.call(call)
        if not call.key_text:
            return await self._without_key(call)
        return await self._keys.answer(call)

    async def _without_key(self, call: ServiceCall) -> StoredAnswer:
        def on_write(target: Target) -> bool:
            if self._recorder is not None:
                self._recorder.record(
                    DispatchWritten(
                        at=self._recorder.now,
                        process=self._recorder.process,
                        key="",
                        target=target.name,
                    )
                )
            return True

        return await self._dispatcher.dispatch(call, key_expires_at=None, on_write=on_write)

    async def _forget_gone_runners(self) -> None:
        while True:
            view = await self._guard.view.wait_change()
            self._runners.retain(target.name for target in view.targets)
