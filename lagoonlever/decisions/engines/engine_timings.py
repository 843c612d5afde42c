"""How fast engines read prompts and make tokens, learnt from what their runs show.

The load pattern: engines of one deployment read a prompt in a second, those of another
one in two, and within a service some take a third longer than others. Placement has to
know how long an engine is busy with a prompt, and a stream is refused only if no engine
could end it in time, so neither can rest on the figures of one customer.

Readings are seen by all VMs, as each tells the others when a run begins and when it gives
its first event. The pace of tokens is seen by the VM that relays them, and told with the
run's end. What one engine shows is believed of it while it is fresh; else, and for an
engine that has shown nothing, its service's figure holds.
"""

from __future__ import annotations

from typing import Annotated

import attrs
import msgspec

from lagoonlever.decisions.engines.learnt_figure import LearntFigure
from lagoonlever.decisions.engines.shown_pace import ShownPace
from lagoonlever.decisions.settings.mechanisms import MECHANISMS, gives

PRIOR_PROMPT_TOKEN_S = 0.00016
"""Until a first reading: some 6,000 tokens a second, about what large models do."""
PRIOR_TOKEN_S = 0.004
"""Until a first answer: 250 tokens a second."""
PRIOR_SLOWDOWN = 7.0
"""How many times as long a token takes beside a prompt that is read, until it was seen."""
PRIOR_ANSWER_TOKENS = 1000.0
PRIOR_READING_S = 1.0
"""Of a usual prompt, until one was read."""
LEAST_READ_TOKENS = 1000
"""A shorter reading is mostly the time of connections and queues."""
APART = 1.5
"""An engine that takes this much longer than its service is known as slow.

Lesser differences make no choice: with all engines by their own figures no gain was seen
(worth 0.746 and 0.744 on three days each way, luck moves a day by 0.02).
"""
KEPT_APART = 1.3
"""Figures that differ by less are not written anew: engines of a service differ as much."""
Positive = Annotated[float, msgspec.Meta(gt=0.0)]
SURELY = 0.7
"""Of what the fastest engine of a service takes: what no engine of it falls below.

Until a first observation it is a part of the prior, and bounds what is refused in the first
second after a loss of all VMs, when callers come back with two seconds left.
"""


@attrs.frozen(kw_only=True)
class TokenTimes:
    """Seconds for each token of a prompt that is read, and for each token that is made."""

    prompt_token_s: float
    token_s: float


@attrs.frozen(kw_only=True)
class StoredTimings:
    """What is kept of a service's engines for VMs that start anew."""

    prompt_token_s: Positive
    token_s: Positive
    reading_s: Positive
    """Of a usual prompt."""

    def differs(self, other: StoredTimings) -> bool:
        """Tell whether another one tells something else, beyond what always varies."""
        pairs = zip(attrs.astuple(self), attrs.astuple(other), strict=True)
        return any(max(mine, its) > KEPT_APART * min(mine, its) for mine, its in pairs)


@attrs.define(kw_only=True)
class _Learnt:
    """Of one engine, or of a service."""

    prompt_token_s: LearntFigure
    token_s: LearntFigure
    slowdown: LearntFigure


def _prior() -> _Learnt:
    return _Learnt(
        prompt_token_s=LearntFigure(value=PRIOR_PROMPT_TOKEN_S),
        token_s=LearntFigure(value=PRIOR_TOKEN_S),
        slowdown=LearntFigure(value=PRIOR_SLOWDOWN),
    )


@attrs.define(kw_only=True)
class EngineTimings:
    """Learnt figures by service and by engine; times are seconds of the monotonic clock."""

    _services: dict[str, _Learnt] = attrs.field(factory=dict)
    _readings: dict[str, LearntFigure] = attrs.field(factory=dict)
    """What a usual prompt takes, by service."""
    _answers: dict[str, LearntFigure] = attrs.field(factory=dict)
    """The tokens of a usual answer, by service."""
    _engines: dict[tuple[str, str], _Learnt] = attrs.field(factory=dict)
    _shown: dict[tuple[str, str], ShownPace] = attrs.field(factory=dict)

    @MECHANISMS.register(
        "learnt-reading",
        does="how fast each engine reads prompts is learnt from its runs",
        without="the prior holds for all",
        plain=gives(None),
    )
    def read(self, service: str, engine: str, *, tokens: int, seconds: float, now: float) -> None:
        """Learn from a prompt that an engine read while it read no other one."""
        if tokens < LEAST_READ_TOKENS:
            return
        token_s = seconds / tokens
        self._service(service).prompt_token_s.observe(token_s, now)
        self._engine(service, engine).prompt_token_s.observe(token_s, now)
        self._shown.setdefault((service, engine), ShownPace()).read(token_s, now)
        usual = self._readings.setdefault(service, LearntFigure(value=PRIOR_READING_S))
        usual.observe(seconds, now)

    @MECHANISMS.register(
        "learnt-token-pace",
        does="how fast each engine makes tokens is learnt from its runs",
        without="the prior holds for all",
        plain=gives(None),
    )
    def made(
        self,
        service: str,
        engine: str,
        *,
        token_s: float,
        slowdown: float | None = None,
        now: float,
    ) -> None:
        """Learn from the tokens that an engine made, undisturbed and beside prompts."""
        self._service(service).token_s.observe(token_s, now)
        self._engine(service, engine).token_s.observe(token_s, now)
        self._shown.setdefault((service, engine), ShownPace()).made(token_s, now)
        if slowdown is not None:
            self._service(service).slowdown.observe(slowdown, now)

    def reading_s(self, service: str, engine: str, tokens: int, now: float) -> float:
        """Give the seconds that an engine takes to read so many tokens of a prompt."""
        general = self._service(service).prompt_token_s.value
        known = self._engines.get((service, engine))
        if known is None or not known.prompt_token_s.is_fresh(now):
            return tokens * general
        own = known.prompt_token_s.value
        return tokens * (own if own > APART * general else general)

    def prompt_token_s(self, service: str) -> float:
        """Give the seconds that the engines of a service take for a token of a prompt."""
        return self._service(service).prompt_token_s.value

    def relative(self, service: str, engine: str, now: float) -> float:
        """Give how many times as long as its service an engine takes, by what it showed itself.

        For engines that are known to be uneven; 1 for one that has shown nothing of late.
        """
        shown = self._shown.get((service, engine))
        if shown is None:
            return 1.0
        usual = self._service(service)
        relative = shown.relative(
            reading_s=usual.prompt_token_s.value, making_s=usual.token_s.value, now=now
        )
        return relative or 1.0

    def kept(self) -> dict[str, StoredTimings]:
        """Give what was seen of each service, to be kept."""
        return {
            service: StoredTimings(
                prompt_token_s=known.prompt_token_s.value,
                token_s=known.token_s.value,
                reading_s=self.usual_reading_s(service),
            )
            for service, known in self._services.items()
            if not known.prompt_token_s.is_prior and not known.token_s.is_prior
        }

    def recall(self, service: str, kept: StoredTimings, now: float) -> None:
        """Take what was kept of a service, where nothing was seen yet.

        Counts as a first observation: held within a bound around the prior, as anybody may
        have written it.
        """
        known = self._service(service)
        if not known.prompt_token_s.is_prior or not known.token_s.is_prior:
            return
        known.prompt_token_s.observe(kept.prompt_token_s, now)
        known.token_s.observe(kept.token_s, now)
        usual = self._readings.setdefault(service, LearntFigure(value=PRIOR_READING_S))
        usual.observe(kept.reading_s, now)

    def inherit(self, service: str, former: str, successor: str) -> None:
        """Take what an engine has shown for another one at its address: the same machine."""
        known = self._engines.get((service, former))
        if known is not None:
            self._engines.setdefault((service, successor), attrs.evolve(known))
        shown = self._shown.get((service, former))
        if shown is not None:
            self._shown.setdefault((service, successor), shown)

    def answered(self, service: str, *, tokens: int, now: float) -> None:
        """Learn how long a whole answer of a service is."""
        usual = self._answers.setdefault(service, LearntFigure(value=PRIOR_ANSWER_TOKENS))
        usual.observe(float(tokens), now)

    def usual_making_s(self, service: str) -> float | None:
        """Give what a usual answer takes of an engine's own time, or None until it was seen.

        Not by what a request announces: its longest answers would be refused first.
        """
        answers, known = self._answers.get(service), self._service(service)
        if answers is None or answers.is_prior or known.token_s.is_prior:
            return None
        return answers.value * known.token_s.value

    def slowdown(self, service: str) -> float:
        """Give how many times as long a token takes beside a prompt that is read."""
        return self._service(service).slowdown.value

    def usual_reading_s(self, service: str) -> float:
        """Give the seconds that a usual prompt of a service takes."""
        known = self._readings.get(service)
        return known.value if known is not None else PRIOR_READING_S

    def fastest(self, service: str) -> TokenTimes:
        """Give a pace that no engine of a service surpasses, as far as can be told."""
        learnt = [each for (of_service, _), each in self._engines.items() if of_service == service]
        general = self._service(service)
        return TokenTimes(
            prompt_token_s=_surely(
                general.prompt_token_s, [each.prompt_token_s for each in learnt]
            ),
            token_s=_surely(general.token_s, [each.token_s for each in learnt]),
        )

    def expire(self, now: float) -> None:
        """Forget engines that have shown nothing for long."""
        for key, known in list(self._engines.items()):
            if not known.prompt_token_s.is_fresh(now) and not known.token_s.is_fresh(now):
                del self._engines[key]
        for key, shown in list(self._shown.items()):
            if not shown.is_fresh(now):
                del self._shown[key]

    def _service(self, service: str) -> _Learnt:
        if service not in self._services:
            self._services[service] = _prior()
        return self._services[service]

    def _engine(self, service: str, engine: str) -> _Learnt:
        """Give an engine's figures; a new one begins with those of its service."""
        key = (service, engine)
        if key not in self._engines:
            general = self._service(service)
            self._engines[key] = _Learnt(
                prompt_token_s=general.prompt_token_s.like_it(),
                token_s=general.token_s.like_it(),
                slowdown=general.slowdown.like_it(),
            )
        return self._engines[key]


def _surely(general: LearntFigure, engines: list[LearntFigure]) -> float:
    seen = [each.value for each in engines if not each.is_prior]
    return SURELY * min([general.value, *seen])
