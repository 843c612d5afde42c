"""Timings of engines in prefill and decode, measured from their runs.

Engines of one installation take a second for the prefill of a prompt, those of another one two, and
within a service some take a third longer than others. Placement needs to know how long an engine is
busy with a prompt, and a stream is refused only if no engine could finish it in time, so neither
may use fixed figures.

Prefills are measured by all VMs, as each announces to the others when a run starts and when it
gives its first event. The time per answer token is measured by the VM that relays the answer, and
sent to the others with the end of the run. The measurements of a single engine are used while they
are recent; otherwise, and for an engine without any, the figures of its service are used.
"""

from __future__ import annotations

from typing import Annotated

import attrs
import msgspec

from lagoonlever.decisions.engines.recent_timings import RecentTimings
from lagoonlever.decisions.engines.robust_estimate import RobustEstimate
from lagoonlever.decisions.settings.mechanisms import MECHANISMS, gives

PRIOR_PROMPT_TOKEN_S = 0.00016
"""Prefill time per token until the first one was measured: some 6,000 tokens a second.

Large models reach about this speed.
"""
PRIOR_TOKEN_S = 0.004
"""Decode time per token until the first answer: 250 tokens a second."""
PRIOR_SLOWDOWN = 7.0
"""How many times as long a token takes in decode beside a prefill, until it was measured."""
PRIOR_ANSWER_TOKENS = 1000.0
"""Length of a usual answer until the first one has ended."""
PRIOR_PREFILL_S = 1.0
"""Time of a usual prefill until the first one."""
MIN_PREFILL_TOKENS = 1000
"""Prefills of fewer tokens are ignored: their time is mostly that of connections and queues."""
SLOW_ENGINE_RATIO = 1.5
"""An engine whose time per token is this many times the usual one of its service counts as slow.

Smaller differences don't influence placement: in simulation, using each engine's own figures for
all engines brought no gain beyond chance (scores of 0.746 and 0.744 over three days each, where
the score of a day varies by 0.02 by chance).
"""
STORED_CHANGE_RATIO = 1.3
"""Stored figures are replaced only by ones that differ by more than this ratio.

Differences up to this ratio are usual between engines of one service.
"""
PositiveFloat = Annotated[float, msgspec.Meta(gt=0.0)]
LOWER_BOUND_SHARE = 0.7
"""Share of the fastest engine's time per token that no engine of the service falls below.

Until the first observation the bound is this share of the prior. It limits which streams are
refused in the first second after all VMs were lost and restarted, when nothing is measured yet and
callers return with two seconds left.
"""


@attrs.frozen(kw_only=True)
class TokenTimes:
    """Seconds per prompt token in prefill, and per answer token in decode."""

    prompt_token_s: float
    token_s: float


@attrs.frozen(kw_only=True)
class StoredTimings:
    """Timings of a service's engines as stored for VMs that start later."""

    prompt_token_s: PositiveFloat
    """Seconds per prompt token in prefill."""
    token_s: PositiveFloat
    """Seconds per answer token in decode."""
    reading_s: PositiveFloat
    """Seconds of a usual prefill."""

    def differs_from(self, other: StoredTimings) -> bool:
        """Check whether any figure differs by more than ``STORED_CHANGE_RATIO``."""
        pairs = zip(attrs.astuple(self), attrs.astuple(other), strict=True)
        return any(
            max(own, others) > STORED_CHANGE_RATIO * min(own, others) for own, others in pairs
        )


@attrs.define(kw_only=True)
class _Estimates:
    """Estimates for one engine, or for a service."""

    prompt_token_s: RobustEstimate
    token_s: RobustEstimate
    slowdown: RobustEstimate


def _prior_estimates() -> _Estimates:
    return _Estimates(
        prompt_token_s=RobustEstimate(value=PRIOR_PROMPT_TOKEN_S),
        token_s=RobustEstimate(value=PRIOR_TOKEN_S),
        slowdown=RobustEstimate(value=PRIOR_SLOWDOWN),
    )


@attrs.define(kw_only=True)
class EngineTimings:
    """Measured times per token, by service and by engine; ``now`` is the monotonic clock."""

    _services: dict[str, _Estimates] = attrs.field(factory=dict)
    _usual_prefills: dict[str, RobustEstimate] = attrs.field(factory=dict)
    """Seconds of a usual prefill, by service."""
    _usual_answers: dict[str, RobustEstimate] = attrs.field(factory=dict)
    """Tokens of a usual answer, by service."""
    _engines: dict[tuple[str, str], _Estimates] = attrs.field(factory=dict)
    """By service and engine."""
    _recent: dict[tuple[str, str], RecentTimings] = attrs.field(factory=dict)
    """By service and engine."""

    @MECHANISMS.register(
        "learnt-reading",
        does="the prefill speed of each engine is measured from its runs",
        without="the prior is used for all engines",
        plain=gives(None),
    )
    def observe_prefill(
        self, service: str, engine: str, *, tokens: int, seconds: float, now: float
    ) -> None:
        """Record a prefill of an engine that had no other prompt meanwhile."""
        if tokens < MIN_PREFILL_TOKENS:
            return
        token_s = seconds / tokens
        self._service(service).prompt_token_s.observe(token_s, now)
        self._engine(service, engine).prompt_token_s.observe(token_s, now)
        self._recent.setdefault((service, engine), RecentTimings()).add_prefill(token_s, now)
        usual = self._usual_prefills.setdefault(service, RobustEstimate(value=PRIOR_PREFILL_S))
        usual.observe(seconds, now)

    @MECHANISMS.register(
        "learnt-token-pace",
        does="the decode speed of each engine is measured from its runs",
        without="the prior is used for all engines",
        plain=gives(None),
    )
    def observe_decode(
        self,
        service: str,
        engine: str,
        *,
        token_s: float,
        slowdown: float | None = None,
        now: float,
    ) -> None:
        """Record the seconds per answer token of a run while no prefill disturbed it.

        ``slowdown`` is how many times as long a token took beside a prefill, where it was
        measured.
        """
        self._service(service).token_s.observe(token_s, now)
        self._engine(service, engine).token_s.observe(token_s, now)
        self._recent.setdefault((service, engine), RecentTimings()).add_decode(token_s, now)
        if slowdown is not None:
            self._service(service).slowdown.observe(slowdown, now)

    def prefill_s(self, service: str, engine: str, tokens: int, now: float) -> float:
        """Return the seconds that an engine takes for the prefill of so many prompt tokens."""
        general = self._service(service).prompt_token_s.value
        known = self._engines.get((service, engine))
        if known is None or not known.prompt_token_s.is_fresh(now):
            return tokens * general
        own = known.prompt_token_s.value
        return tokens * (own if own > SLOW_ENGINE_RATIO * general else general)

    def prompt_token_s(self, service: str) -> float:
        """Return the seconds per prompt token in prefill on the engines of a service."""
        return self._service(service).prompt_token_s.value

    def relative_time(self, service: str, engine: str, now: float) -> float:
        """Return the ratio of an engine's time per token, by its own runs, to its service's.

        It is meant for engines that are known to differ in speed, and is 1 for an engine without
        recent runs.
        """
        recent = self._recent.get((service, engine))
        if recent is None:
            return 1.0
        usual = self._service(service)
        relative = recent.relative_time(
            prefill_s=usual.prompt_token_s.value, decode_s=usual.token_s.value, now=now
        )
        return relative or 1.0

    def stored_timings(self) -> dict[str, StoredTimings]:
        """Return the measured timings of each service, to be written to the store."""
        return {
            service: StoredTimings(
                prompt_token_s=known.prompt_token_s.value,
                token_s=known.token_s.value,
                reading_s=self.usual_prefill_s(service),
            )
            for service, known in self._services.items()
            if not known.prompt_token_s.is_prior and not known.token_s.is_prior
        }

    def restore(self, service: str, stored: StoredTimings, now: float) -> None:
        """Use the stored timings of a service that has not been measured yet.

        It counts as a first observation and is clamped to a range around the prior, as anybody
        may have written it.
        """
        known = self._service(service)
        if not known.prompt_token_s.is_prior or not known.token_s.is_prior:
            return
        known.prompt_token_s.observe(stored.prompt_token_s, now)
        known.token_s.observe(stored.token_s, now)
        usual = self._usual_prefills.setdefault(service, RobustEstimate(value=PRIOR_PREFILL_S))
        usual.observe(stored.reading_s, now)

    def copy_to_successor(self, service: str, former: str, successor: str) -> None:
        """Copy an engine's figures to a new engine at its address, as it is the same machine."""
        known = self._engines.get((service, former))
        if known is not None:
            self._engines.setdefault((service, successor), attrs.evolve(known))
        recent = self._recent.get((service, former))
        if recent is not None:
            self._recent.setdefault((service, successor), recent)

    def observe_answer(self, service: str, *, tokens: int, now: float) -> None:
        """Record the length of a whole answer of a service."""
        usual = self._usual_answers.setdefault(service, RobustEstimate(value=PRIOR_ANSWER_TOKENS))
        usual.observe(float(tokens), now)

    def usual_decode_s(self, service: str) -> float | None:
        """Return the undisturbed decode time of a usual answer, or None until it was measured.

        The length that a request announces is not used: the service's longest answers would be
        refused first.
        """
        answers, known = self._usual_answers.get(service), self._service(service)
        if answers is None or answers.is_prior or known.token_s.is_prior:
            return None
        return answers.value * known.token_s.value

    def slowdown(self, service: str) -> float:
        """Return how many times as long a token takes in decode beside a prefill."""
        return self._service(service).slowdown.value

    def usual_prefill_s(self, service: str) -> float:
        """Return the seconds of a usual prefill of a service."""
        known = self._usual_prefills.get(service)
        return known.value if known is not None else PRIOR_PREFILL_S

    def usual(self, service: str) -> TokenTimes:
        """Return the usual times per token of a service, on engines that nothing disturbs."""
        known = self._service(service)
        return TokenTimes(prompt_token_s=known.prompt_token_s.value, token_s=known.token_s.value)

    def lower_bound(self, service: str) -> TokenTimes:
        """Return times per token that no engine of a service is expected to fall below."""
        known = [each for (key_service, _), each in self._engines.items() if key_service == service]
        general = self._service(service)
        return TokenTimes(
            prompt_token_s=_lower_bound(
                general.prompt_token_s, [each.prompt_token_s for each in known]
            ),
            token_s=_lower_bound(general.token_s, [each.token_s for each in known]),
        )

    def expire(self, now: float) -> None:
        """Remove engines without recent measurements."""
        for key, known in list(self._engines.items()):
            if not known.prompt_token_s.is_fresh(now) and not known.token_s.is_fresh(now):
                del self._engines[key]
        for key, recent in list(self._recent.items()):
            if not recent.is_fresh(now):
                del self._recent[key]

    def _service(self, service: str) -> _Estimates:
        if service not in self._services:
            self._services[service] = _prior_estimates()
        return self._services[service]

    def _engine(self, service: str, engine: str) -> _Estimates:
        """Return an engine's estimates; those of a new engine start with its service's values."""
        key = (service, engine)
        if key not in self._engines:
            general = self._service(service)
            self._engines[key] = _Estimates(
                prompt_token_s=general.prompt_token_s.derive(),
                token_s=general.token_s.derive(),
                slowdown=general.slowdown.derive(),
            )
        return self._engines[key]


def _lower_bound(general: RobustEstimate, engines: list[RobustEstimate]) -> float:
    measured = [each.value for each in engines if not each.is_prior]
    return LOWER_BOUND_SHARE * min([general.value, *measured])
