"""Baseline policies (random, round robin, least loaded, least in flight) to compare others with."""

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
    """Policy that selects a target uniformly at random."""

    def choose(
        self, features: RequestFeatures, view: TargetView, state: RoutingState, rng: random.Random
    ) -> Choice | NoTarget:
        """Return the choice for one dispatch."""
        targets = candidates(features, view, state)
        if not targets:
            return no_target(features, view)
        return chosen(features, rng.choice(targets))


@policy("round_robin")
class RoundRobinPolicy:
    """Policy that cycles through the targets in order of name."""

    def choose(
        self, features: RequestFeatures, view: TargetView, state: RoutingState, rng: random.Random
    ) -> Choice | NoTarget:
        """Return the choice for one dispatch."""
        targets = candidates(features, view, state)
        if not targets:
            return no_target(features, view)
        targets.sort(key=lambda target: target.name)
        return chosen(features, targets[state.next_turn() % len(targets)])


@policy("least_loaded")
class LeastLoadedPolicy:
    """Policy that selects the lowest reported load per slot; outdated reports mislead it."""

    def choose(
        self, features: RequestFeatures, view: TargetView, state: RoutingState, rng: random.Random
    ) -> Choice | NoTarget:
        """Return the choice for one dispatch."""
        targets = candidates(features, view, state)
        if not targets:
            return no_target(features, view)
        rng.shuffle(targets)
        return chosen(features, min(targets, key=_reported_load_per_slot))


@policy("least_in_flight")
class LeastInFlightPolicy:
    """Policy that selects the target with the fewest requests of this VM; needs no load reports."""

    def choose(
        self, features: RequestFeatures, view: TargetView, state: RoutingState, rng: random.Random
    ) -> Choice | NoTarget:
        """Return the choice for one dispatch."""
        targets = candidates(features, view, state)
        if not targets:
            return no_target(features, view)
        rng.shuffle(targets)
        return chosen(features, min(targets, key=lambda target: state.in_flight(target.name)))


def _reported_load_per_slot(target: Target) -> float:
    if target.load is None:
        return 0.0
    return (target.load.running + target.load.waiting) / max(1, target.load.slots)
