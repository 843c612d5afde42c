"""The messages of routing: what is asked, what is answered, and the registry of policies."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Protocol, TypeVar

import attrs

from lagoonlever.decisions.routing.state import RoutingState
from lagoonlever.decisions.targets.targets import ModelKey, Target, TargetView

EXPECTED_OUTPUT_TOKENS = 256


@attrs.frozen(kw_only=True)
class ModelQuery:
    """The model that a request asks for; without a version any live one will do."""

    name: str
    adapter: str | None = None
    version: str | None = None

    @classmethod
    def parse(cls, model: str, *, version: str | None = None) -> ModelQuery:
        """Read a request's ``model`` field, ``name`` or ``name:adapter``."""
        name, _, adapter = model.partition(":")
        return cls(name=name, adapter=adapter or None, version=version)

    def key_at(self, target: Target) -> ModelKey | None:
        """Give the model of a target that answers this query, or None."""
        for key in target.models:
            if key.name != self.name or key.adapter != self.adapter:
                continue
            if self.version in (None, key.version):
                return key
        return None


@attrs.frozen(kw_only=True)
class RequestFeatures:
    """What routing sees of one dispatch; ``blocks`` are chained hashes of the prompt.

    ``now`` is the monotonic time of the choice; ``avoid`` names the targets that
    must not be chosen, such as the one that a hedge or a resume runs away from.
    """

    query: ModelQuery
    now: float
    blocks: tuple[int, ...] = ()
    prompt_tokens: int = 0
    output_tokens: int = EXPECTED_OUTPUT_TOKENS
    avoid: frozenset[str] = frozenset()

    def uncached_tokens(self, matched_blocks: int) -> float:
        """Give the tokens to prefill at a target that holds so many leading blocks."""
        if not self.blocks:
            return float(self.prompt_tokens)
        return self.prompt_tokens * (1.0 - matched_blocks / len(self.blocks))


@attrs.frozen(kw_only=True)
class Choice:
    """The target to dispatch to, and the model it serves the request by."""

    target: Target
    model: ModelKey
    matched_blocks: int = 0


@attrs.frozen(kw_only=True)
class NoTarget:
    """No live target serves the request; ``known`` tells whether some target serves its model."""

    known: bool


class Policy(Protocol):
    """Chooses a target; must neither keep state of its own nor read a clock."""

    def choose(
        self,
        features: RequestFeatures,
        view: TargetView,
        state: RoutingState,
        rng: random.Random,
    ) -> Choice | NoTarget:
        """Give the choice for one dispatch; the caller notes it in the state."""


PolicyClass = TypeVar("PolicyClass", bound=Callable[[], Policy])
POLICIES: dict[str, Callable[[], Policy]] = {}
"""The policies by the name that the settings use."""


def policy(name: str) -> Callable[[PolicyClass], PolicyClass]:
    """Register the decorated policy class."""

    def register(cls: PolicyClass) -> PolicyClass:
        if name in POLICIES:
            raise ValueError(f"policy {name!r} is taken")
        POLICIES[name] = cls
        return cls

    return register


def candidates(features: RequestFeatures, view: TargetView, state: RoutingState) -> list[Target]:
    """Give the targets to choose from: this VM's subset, else any, the impaired ones last."""
    serving = [
        target
        for target in view.targets
        if target.takes_work
        and target.name not in features.avoid
        and features.query.key_at(target) is not None
    ]
    used = [target for target in serving if state.in_subset(target.name)] or serving
    return [target for target in used if not target.impaired] or used


def no_target(features: RequestFeatures, view: TargetView) -> NoTarget:
    """Tell whether any target, in any state, serves the model asked for."""
    return NoTarget(known=any(features.query.key_at(target) is not None for target in view.targets))


def chosen(features: RequestFeatures, target: Target, *, matched_blocks: int = 0) -> Choice:
    """Give the choice of a target that came from ``candidates``."""
    model = features.query.key_at(target)
    if model is None:
        raise ValueError(f"{target.name} does not serve {features.query.name}")
    return Choice(target=target, model=model, matched_blocks=matched_blocks)
