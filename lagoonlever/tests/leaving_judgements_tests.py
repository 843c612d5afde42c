"""Tests that no judgement of a VM leaves a service with targets that leave while ready ones exist.

Whatever is judged of versions, eras, rests or crashes, work goes to a target that is ready, if one
is there. The exceptions are a version that was rolled back, and a target that was known to be gone.
"""

from __future__ import annotations

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonlever.decisions.rollouts.versions import RolloutOrder, RolloutPhase, RolloutState
from lagoonlever.decisions.targets.listed_target import ListedTarget, TargetChange
from lagoonlever.decisions.targets.registry import TargetRegistry
from lagoonlever.http.messages import Address
from lagoonlever.revisions import Revision

ORDER = RolloutOrder(service="apps", version="v2", duration_s=5.0)
LISTED_AT = Revision(era=1, number=5)
VERSIONS = ("v1", "v2", "v3")
LEAVES = ("draining", "its own word", "replaced", "removed")


def target(
    name: str, version: str, *, started_ms: int = 100, draining: bool = False
) -> ListedTarget:
    return ListedTarget(
        id=name,
        service="apps",
        address=Address(host=name, port=80),
        data_center="a",
        version=version,
        started_ms=started_ms,
        draining=draining,
        revision=LISTED_AT,
    )


def listed(versions: dict[str, str], *, state: RolloutState, phase: RolloutPhase) -> TargetRegistry:
    """Return a list of targets by their versions, and an order of v2 in a state and a phase."""
    registry = TargetRegistry(rolls_out=True)
    targets = [target(name, version) for name, version in versions.items()]
    registry.apply_list(targets, revision=LISTED_AT, now=0.0, store_back_at=None)
    registry.apply_order(ORDER)
    known = registry.versions_of("apps")
    known.apply_state(state)
    if not state.is_final:
        known.phase = phase
    return registry


def leave(registry: TargetRegistry, name: str, by: str) -> None:
    """Have a target leave in one of the ways in which a VM learns it."""
    found = registry.find(name)
    assert found is not None
    revision = Revision(era=1, number=11)
    if by == "draining":
        change = TargetChange(id=name, target=attrs.evolve(found, draining=True), revision=revision)
        registry.apply_change(change, now=1.0, store_back_at=None)
    elif by == "removed":
        change = TargetChange(id=name, target=None, revision=revision)
        registry.apply_change(change, now=1.0, store_back_at=None)
    elif by == "replaced":
        registry.mark_replaced(name, 1.0)
    else:
        registry.record_leave_announcement(name, started_ms=found.started_ms, now=1.0)


def serving(registry: TargetRegistry, *, on_trial: bool = False) -> set[str]:
    """Return the targets that get work, by both ways of asking."""
    chosen = {each.id for each in registry.serving("apps", on_trial=on_trial)}
    assert all(registry.takes_work(name) for name in chosen)
    return chosen


@given(
    versions=st.lists(st.sampled_from(VERSIONS), min_size=1, max_size=6),
    leaving=st.dictionaries(st.integers(0, 5), st.sampled_from(LEAVES)),
    restarted=st.sets(st.integers(0, 5)),
    state=st.sampled_from((RolloutState.RUNNING, RolloutState.COMPLETED)),
    phase=st.sampled_from(RolloutPhase),
    on_trial=st.booleans(),
)
def test_versions_leave_no_service_with_leaving_targets_only(
    versions: list[str],
    leaving: dict[int, str],
    restarted: set[int],
    state: RolloutState,
    phase: RolloutPhase,
    on_trial: bool,
) -> None:
    """Guards against a version that is in force, and all of whose targets leave."""
    names = {f"t-{number}": version for number, version in enumerate(versions)}
    registry = listed(names, state=state, phase=phase)
    for name in [f"t-{number}" for number in restarted if f"t-{number}" in names]:
        registry.record_restart(name, 200)
    for number, by in leaving.items():
        if f"t-{number}" in names:
            leave(registry, f"t-{number}", by)
    ready = names.keys() - {f"t-{number}" for number in leaving}
    chosen = serving(registry, on_trial=on_trial)
    assert chosen <= ready
    assert bool(chosen) == bool(ready)


@pytest.mark.parametrize("by", LEAVES)
@pytest.mark.parametrize("phase", [RolloutPhase.TRIAL, RolloutPhase.MOVING])
def test_work_goes_back_to_the_old_version_where_the_new_one_leaves(
    phase: RolloutPhase, by: str
) -> None:
    registry = listed({"old": "v1", "new": "v2"}, state=RolloutState.RUNNING, phase=phase)
    leave(registry, "new", by)
    assert serving(registry) == serving(registry, on_trial=True) == {"old"}


@pytest.mark.parametrize("by", LEAVES)
def test_work_goes_to_any_other_version_where_a_completed_one_leaves(by: str) -> None:
    registry = listed(
        {"old": "v1", "new": "v2"}, state=RolloutState.COMPLETED, phase=RolloutPhase.HELD
    )
    leave(registry, "new", by)
    assert serving(registry) == {"old"}


def test_a_rolled_back_version_gives_way_to_nothing() -> None:
    """A version that was rolled back for its answers must get nothing, whoever else leaves."""
    registry = listed(
        {"old": "v1", "new": "v2", "other": "v3"},
        state=RolloutState.ROLLED_BACK,
        phase=RolloutPhase.HELD,
    )
    leave(registry, "old", "draining")
    assert serving(registry) == {"other"}
    leave(registry, "other", "draining")
    assert serving(registry) == set()


@pytest.mark.parametrize("by", ["draining", "its own word"])
def test_an_older_copy_of_the_store_makes_a_leaving_target_serve_in_no_ready_ones_place(
    by: str,
) -> None:
    registry = listed(
        {"old": "v1", "new": "v2"}, state=RolloutState.COMPLETED, phase=RolloutPhase.HELD
    )
    leave(registry, "new", by)
    for era in (2, 3):
        revision = Revision(era=era, number=5)
        entries = [
            attrs.evolve(target(name, version), revision=revision)
            for name, version in (("old", "v1"), ("new", "v2"))
        ]
        registry.apply_list(entries, revision=revision, now=float(era), store_back_at=float(era))
        assert serving(registry) == {"old"}, era
