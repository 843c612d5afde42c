"""The plain policies: random, round robin, least loaded; measures for the project's own."""

from __future__ import annotations

import random

from lagoonlever.decisions.routing.state import RoutingState
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


@policy("random")
class RandomPolicy:
    """Any target, each as likely as the other."""

    def choose(
        self, features: RequestFeatures, view: TargetView, state: RoutingState, rng: random.Random
    ) -> Choice | NoTarget:
        """Give the choice for one dispatch."""
        targets = candidates(features, view, state)
        if not targets:
            return no_target(features, view)
        return chosen(features, rng.choice(targets))


@policy("round_robin")
class RoundRobinPolicy:
    """One target after the other, in order of name."""

    def choose(
        self, features: RequestFeatures, view: TargetView, state: RoutingState, rng: random.Random
    ) -> Choice | NoTarget:
        """Give the choice for one dispatch."""
        targets = candidates(features, view, state)
        if not targets:
            return no_target(features, view)
        targets.sort(key=lambda target: target.name)
        return chosen(features, targets[state.next_turn() % len(targets)])


@policy("least_loaded")
class LeastLoadedPolicy:
    """The target whose last report tells the fewest requests; as good as its reports are new."""

    def choose(
        self, features: RequestFeatures, view: TargetView, state: RoutingState, rng: random.Random
    ) -> Choice | NoTarget:
        """Give the choice for one dispatch."""
        targets = candidates(features, view, state)
        if not targets:
            return no_target(features, view)
        rng.shuffle(targets)
        return chosen(features, min(targets, key=_reported))


@policy("least_in_flight")
class LeastInFlightPolicy:
    """The target that holds the fewest requests of this VM; needs no report."""

    def choose(
        self, features: RequestFeatures, view: TargetView, state: RoutingState, rng: random.Random
    ) -> Choice | NoTarget:
        """Give the choice for one dispatch."""
        targets = candidates(features, view, state)
        if not targets:
            return no_target(features, view)
        rng.shuffle(targets)
        return chosen(features, min(targets, key=lambda target: state.in_flight(target.name)))


def _reported(target: Target) -> float:
    if target.load is None:
        return 0.0
    return (target.load.running + target.load.waiting) / max(1, target.load.slots)
