"""The project's own policy: where the prefix is cached, unless waiting there costs more.

A few candidates are compared by the time that a request would lose at each: the
targets that hold most of its prefix, one that every VM derives alike from the
prefix, the one that holds the fewest requests of this VM, and two drawn at
random. The last three differ from VM to VM, so that VMs which share the same
late reports don't all go to one target.
"""

from __future__ import annotations

import random

import attrs
import xxhash

from lagoonlever.decisions.routing.state import LoadEstimate, RoutingState
from lagoonlever.decisions.routing.types import (
    Choice,
    NoTarget,
    RequestFeatures,
    candidates,
    chosen,
    no_target,
    policy,
)
from lagoonlever.decisions.targets.targets import Target, TargetView

DRAWN = 2
BEST_MATCHES = 2
HOME_BLOCK = 8
"""Prompts that share this many blocks meet at one target before anything is learnt."""
PREFILL_S_PER_TOKEN = 0.0002
"""Time that an engine takes for one token of a prompt; the whole batch waits meanwhile."""
FILL_COST = 0.25
"""Share of a request's time that a full batch is thought to cost before any queue.

It buys room for what late reports don't tell: measured at 0.05 queues grew to
seconds, at 0.4 the prefixes were spread over twice the targets.
"""


@policy("affinity")
@attrs.frozen(kw_only=True)
class AffinityPolicy:
    """Weighs the prefill that a cached prefix spares against the wait."""

    drawn: int = DRAWN
    best_matches: int = BEST_MATCHES
    prefill_s_per_token: float = PREFILL_S_PER_TOKEN
    fill_cost: float = FILL_COST

    def choose(
        self, features: RequestFeatures, view: TargetView, state: RoutingState, rng: random.Random
    ) -> Choice | NoTarget:
        """Give the choice for one dispatch."""
        targets = candidates(features, view, state)
        if not targets:
            return no_target(features, view)
        matches = state.prefixes.matches(features.blocks) if self.best_matches else {}
        estimates = state.estimates(targets, features.now)
        compared = self._compared(features, targets, matches, state, rng)
        best = min(
            compared,
            key=lambda target: self._cost_s(
                features, state, estimates[target.name], matches.get(target.name, 0)
            ),
        )
        return chosen(features, best, matched_blocks=matches.get(best.name, 0))

    def _compared(
        self,
        features: RequestFeatures,
        targets: list[Target],
        matches: dict[str, int],
        state: RoutingState,
        rng: random.Random,
    ) -> list[Target]:
        drawn = rng.sample(targets, min(self.drawn, len(targets)))
        drawn.append(min(targets, key=lambda target: (state.in_flight(target.name), rng.random())))
        if not self.best_matches or not features.blocks:
            return drawn
        holders = [target for target in targets if target.name in matches]
        rng.shuffle(holders)
        holders.sort(key=lambda target: -matches[target.name])
        return [*holders[: self.best_matches], home(features, targets), *drawn]

    def _cost_s(
        self,
        features: RequestFeatures,
        state: RoutingState,
        estimate: LoadEstimate,
        matched_blocks: int,
    ) -> float:
        """Give the seconds lost: waiting for a slot, a fuller batch, and the prefill."""
        wait_s = state.service_s * (estimate.excess + self.fill_cost * estimate.fill)
        return wait_s + features.uncached_tokens(matched_blocks) * self.prefill_s_per_token


def home(features: RequestFeatures, targets: list[Target]) -> Target:
    """Give the target that every VM derives alike from the start of a prompt."""
    start = features.blocks[min(len(features.blocks), HOME_BLOCK) - 1]
    return max(targets, key=lambda target: _weight(target, start))


def _weight(target: Target, start: int) -> int:
    return xxhash.xxh3_64_intdigest(target.name.encode(), seed=start)
