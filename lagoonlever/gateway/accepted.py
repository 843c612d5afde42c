"""A request that a gateway has read whole and decided to serve."""

from __future__ import annotations

import functools

import attrs

from lagoonlever.decisions.engines.fingerprints import RequestIdentity
from lagoonlever.decisions.engines.suspects import Suspects, part_suspects
from lagoonlever.decisions.settings.configuration import ServiceRoute
from lagoonlever.gateway.messages import CallerHead
from lagoonlever.http.exchange import Exchange
from lagoonlever.http.messages import Request

EARLY_S = 0.02
"""Before the end of a request's time: the answer still has to travel."""


@attrs.frozen(kw_only=True, eq=False)
class Accepted:
    """A request with its route; times are seconds of the monotonic clock."""

    exchange: Exchange
    caller: CallerHead
    route: ServiceRoute
    service: str
    organisation: str | None
    priority: int
    arrived: float
    deadline: float
    """When its final answer is due, by the caller's deadline and the route's timeout."""
    on_trial: bool = False
    """Its first attempt goes to a version that is on trial, if there still is one."""

    @property
    def request(self) -> Request:
        """The request as it was read."""
        return self.exchange.request

    @property
    def request_id(self) -> str:
        """The id of this attempt of the caller."""
        return self.caller.request_id

    @functools.cached_property
    def fingerprint(self) -> str:
        """What the request has in common with those of its caller's returns, on every VM."""
        work = RequestIdentity(
            host=self.caller.host,
            method=self.request.method,
            target=self.request.target,
            organisation=self.organisation,
            body=self.request.body,
        )
        return work.fingerprint()

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """The ids of the prompt's parts that other requests may have as well."""
        return self.caller.ask.shared_parts if self.caller.ask is not None else ()

    @functools.cached_property
    def suspects(self) -> Suspects:
        """What may end the targets that run the request: it as a whole, or a part it shares."""
        model = self.caller.ask.model if self.caller.ask is not None else ""
        return Suspects(
            request=self.fingerprint,
            parts=part_suspects(service=self.service, model=model, shared=self.shared_parts),
        )

    def left_s(self, now: float) -> float:
        """Return the time that is left; 0 or less when it is over."""
        return self.deadline - now


def deadline_of(*, arrived: float, caller: CallerHead, route: ServiceRoute) -> float:
    """Return when the final answer to a request is due."""
    allowed_s = route.timeout_s
    if caller.deadline_s is not None:
        allowed_s = min(allowed_s, caller.deadline_s)
    return arrived + max(0.0, allowed_s - EARLY_S)
