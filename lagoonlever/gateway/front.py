"""Reads a caller's request, finds its route and organisation, and hands it on."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from urllib.parse import urlsplit

import attrs
import logbook
import trio

from lagoonlever.decisions.settings.configuration import Configuration, RouteKind, ServiceRoute
from lagoonlever.exceptions import RequestRefused
from lagoonlever.gateway import events
from lagoonlever.gateway.accepted import Accepted, deadline_of
from lagoonlever.gateway.answers import NO_ROUTE, UNKNOWN_KEY, tell
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.gateway.crash_watch import CrashWatch
from lagoonlever.gateway.last_requests import LastRequests
from lagoonlever.gateway.messages import CallerHead
from lagoonlever.gateway.reporter import Reporter
from lagoonlever.gateway.rollouts import Rollouts
from lagoonlever.http.exchange import CallerGone, Exchange
from lagoonlever.outcomes import NotRun, Reason, Unknown
from lagoonlever.platform.headers import read_caller, request_id_of
from lagoonlever.timers import TimerService

log = logbook.Logger(__name__)

STARTING_S = 0.6
"""A VM that starts knows its configuration within a few store calls, some 15 ms.

Until then requests are held: one that is refused right after a crash of all VMs comes
back only once. A VM that knows nothing after this time meets an outage, and tells so.
"""
STARTING_RETRY_S = 0.3

Serve = Callable[[Accepted], Awaitable[None]]


@attrs.define(kw_only=True, eq=False)
class Front:
    """The handler of callers' requests."""

    _beliefs: Beliefs
    _timers: TimerService
    _reporter: Reporter
    _rng: random.Random
    _crashes: CrashWatch
    _last: LastRequests
    _rollouts: Rollouts
    _serve: dict[RouteKind, Serve]
    _started: float = attrs.field(factory=trio.current_time)

    async def refuse_by_head(self, exchange: Exchange) -> bool:
        """Refuse an exchange whose head shows that it is not served; False for any other one."""
        configuration = self._beliefs.configuration.value
        if configuration is None:
            return False
        try:
            caller = read_caller(exchange.request.headers)
        except RequestRefused as refused:
            await self._refuse(exchange, _bad_request(refused))
            return True
        route = self._route(exchange, configuration, caller)
        if isinstance(route, ServiceRoute):
            return False
        await self._refuse(exchange, route)
        return True

    async def handle(self, exchange: Exchange) -> None:
        """Answer one exchange; one request's fault harms no other."""
        arrived = self._timers.now
        configuration = await self._configuration()
        if configuration is None:
            await self._refuse(exchange, self._starting())
            return
        try:
            caller = read_caller(exchange.request.headers)
        except RequestRefused as refused:
            await self._refuse(exchange, _bad_request(refused))
            return
        accepted = self._accept(exchange, configuration, caller, arrived)
        if isinstance(accepted, NotRun):
            await self._refuse(exchange, accepted)
            return
        await self._crashes.until_recalled()
        answered = False
        try:
            await self._decide_and_serve(accepted)
            # One whose time is over was left at its engine, which may still end under it.
            answered = not exchange.is_caller_gone and accepted.left_s(self._timers.now) > 0
        except (CallerGone, OSError):
            raise
        except Exception:
            await self._end_faulty(accepted)
        finally:
            self._crashes.ended(accepted, answered=answered)

    async def _decide_and_serve(self, accepted: Accepted) -> None:
        """Refuse a request, or have it served; it may begin trials, which its end must end."""
        rejected = self._last.refusal(accepted)
        if rejected is None:
            await self._until_decided(accepted)
            # This VM may have been told to stop meanwhile.
            rejected = self._last.refusal(accepted) or self._crashes.refusal(accepted)
        if rejected is not None:
            await self._refuse(accepted.exchange, rejected, accepted=accepted)
            return
        await self._serve[accepted.route.kind](accepted)

    async def _until_decided(self, accepted: Accepted) -> None:
        try:
            with trio.move_on_at(accepted.deadline):
                await self._crashes.until_decided(accepted)
        except CallerGone:
            self._reporter.left(accepted)
            raise

    async def _end_faulty(self, accepted: Accepted) -> None:
        """Log the fault that has ended a request, and tell its caller, if it has no answer yet."""
        events.REQUEST_FAULT.log(
            log,
            request=accepted.request_id,
            route=accepted.route.name,
            fingerprint=accepted.fingerprint,
            exc_info=True,
        )
        if accepted.exchange.responded:
            raise CallerGone
        message = "a fault within the system; the request may have run"
        await tell(accepted.exchange, Unknown(reason=Reason.INTERNAL, message=message, status=500))

    async def _configuration(self) -> Configuration | None:
        """Return the configuration in force, once the targets are known too."""
        with trio.move_on_at(self._started + STARTING_S):
            await self._beliefs.known.wait()
        return self._beliefs.configuration.value

    def _accept(
        self, exchange: Exchange, configuration: Configuration, caller: CallerHead, arrived: float
    ) -> Accepted | NotRun:
        route = self._route(exchange, configuration, caller)
        if isinstance(route, NotRun):
            return route
        organisation = configuration.organisations.get(caller.api_key or "")
        service = route.choose_service(self._rng)
        chosen = self._rollouts.arrives(service, route.name)
        return Accepted(
            exchange=exchange,
            caller=caller,
            route=route,
            service=service,
            organisation=organisation.name if organisation else None,
            priority=_priority(route, organisation.priority if organisation else None),
            arrived=arrived,
            deadline=deadline_of(arrived=arrived, caller=caller, route=route),
            # A caller that returns has lost enough: it goes where it is sure to be served.
            on_trial=chosen and caller.last_event_id is None,
        )

    def _route(
        self, exchange: Exchange, configuration: Configuration, caller: CallerHead
    ) -> ServiceRoute | NotRun:
        """Return the route of a request that its caller may use, or why there is none."""
        route = configuration.route_of(caller.host, _path_of(exchange.request.target))
        if route is None:
            return NO_ROUTE
        is_known = (caller.api_key or "") in configuration.organisations
        if not is_known and configuration.requires_key and not route.anonymous:
            return UNKNOWN_KEY
        return route

    def _starting(self) -> NotRun:
        return NotRun(
            reason=Reason.STARTING,
            message="this VM knows no configuration yet",
            retry_after_s=STARTING_RETRY_S,
        )

    async def _refuse(
        self, exchange: Exchange, outcome: NotRun, *, accepted: Accepted | None = None
    ) -> None:
        request = exchange.request
        request_id = request_id_of(request.headers)
        self._reporter.refused(request, request_id, outcome, accepted=accepted)
        if exchange.responded:
            raise CallerGone
        await tell(exchange, outcome)


def _bad_request(refused: RequestRefused) -> NotRun:
    return NotRun(
        reason=Reason.BAD_REQUEST, message=f"{refused.field}: {refused}", status=refused.status
    )


def _path_of(target: str) -> str:
    if target.startswith("/"):
        return target.partition("?")[0]
    return urlsplit(target).path


def _priority(route: ServiceRoute, of_organisation: int | None) -> int:
    return route.priority if of_organisation is None else of_organisation
