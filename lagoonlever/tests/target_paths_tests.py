"""Tests of what a VM concludes from its connections to targets and from those of other VMs."""

from __future__ import annotations

from lagoonlever.decisions.targets.target_paths import (
    DOWN_KEPT_S,
    DialPlan,
    TargetPaths,
)
from lagoonlever.http.messages import Address

A, B, C = (Address(host="10.0.0.1", port=port) for port in (1, 2, 3))


def reached(*targets: Address, at: float = 0.0) -> TargetPaths:
    paths = TargetPaths()
    for target in targets:
        paths.record_reached(target, at)
    return paths


def cut(paths: TargetPaths, *targets: Address, at: float) -> TargetPaths:
    for target in targets:
        paths.record_unreached(target, at)
        paths.record_cut(target, at)
    return paths


def test_another_vm_is_asked_for_a_target_that_is_not_known_or_was_reached() -> None:
    paths = reached(A)
    assert paths.plan(A, 1.0) is DialPlan.BOTH
    assert paths.plan(B, 1.0) is DialPlan.BOTH


def test_a_target_that_another_vm_reaches_is_reached_by_way_of_others_until_the_path_is_back() -> (
    None
):
    paths = cut(reached(A, B), A, at=1.0)
    assert paths.plan(A, 1.1) is DialPlan.PEERS
    assert paths.plan(B, 1.1) is DialPlan.BOTH
    assert paths.record_reached(A, 4.0) == 3.0
    assert paths.plan(A, 4.1) is DialPlan.BOTH


def test_a_target_that_is_down_for_another_vm_is_not_asked_for_again_at_once() -> None:
    """Each of hundreds of VMs that finds a dead target would otherwise ask for it at each try."""
    paths = reached(A)
    paths.record_unreached(A, 1.0)
    paths.record_down(A, 1.0)
    assert paths.is_down(A, 1.1)
    assert not paths.is_cut(A)
    assert paths.plan(A, 1.1) is DialPlan.OWN
    assert paths.plan(A, 1.1 + DOWN_KEPT_S) is DialPlan.BOTH


def test_a_vm_is_cut_off_once_several_paths_are_cut_and_none_was_open_since() -> None:
    paths = cut(reached(A, B, C), A, at=1.0)
    assert not paths.is_cut_off
    cut(paths, B, at=1.1)
    assert paths.is_cut_off


def test_a_vm_that_reaches_another_target_since_is_not_cut_off() -> None:
    paths = cut(reached(A, B, C), A, B, at=1.0)
    paths.record_reached(C, 1.2)
    assert not paths.is_cut_off
    assert paths.plan(A, 1.3) is DialPlan.PEERS


def test_a_vm_with_one_target_is_cut_off_by_its_one_path() -> None:
    assert cut(reached(A), A, at=1.0).is_cut_off


def test_dead_targets_do_not_make_a_vm_cut_off() -> None:
    paths = reached(A, B, C)
    for target in (A, B, C):
        paths.record_unreached(target, 1.0)
        paths.record_down(target, 1.0)
    assert not paths.is_cut_off
    assert paths.next_probe() is None


def test_one_path_that_is_back_has_the_others_tried_again() -> None:
    paths = cut(reached(A, B, C), A, B, C, at=1.0)
    paths.record_reached(B, 5.0)
    assert not paths.is_cut_off
    assert [paths.plan(target, 5.1) for target in (A, B, C)] == [DialPlan.BOTH] * 3


def test_probes_take_turns_and_prefer_a_path_that_may_show_that_the_vm_is_not_cut_off() -> None:
    paths = cut(reached(A, B, C), A, B, at=1.0)
    assert paths.next_probe() == C
    cut(paths, C, at=1.2)
    assert {paths.next_probe() for _ in range(3)} == {A, B, C}


def test_a_vm_is_believed_about_a_target_only_if_it_has_reached_another_one_since() -> None:
    """VMs lose their paths in one moment, and would confirm to each other that targets are dead."""
    paths = reached(A, B, at=1.0)
    assert paths.is_witness((A, B), since=1.0)
    assert not paths.is_witness((A, B), since=1.01)
    assert not paths.is_witness((C,), since=0.0)


def test_the_control_is_the_target_that_was_reached_last_and_is_not_cut() -> None:
    paths = reached(A, at=1.0)
    paths.record_reached(B, 2.0)
    assert paths.choose_control((A, B, C)) == B
    cut(paths, B, at=3.0)
    assert paths.choose_control((A, B, C)) == A
    assert paths.choose_control(()) is None


def test_targets_that_are_gone_are_forgotten() -> None:
    paths = cut(reached(A, B), A, B, at=1.0)
    paths.retain({C})
    assert not paths.is_cut_off
    assert paths.next_probe() is None


def test_the_control_is_none_that_has_failed_since_it_was_reached() -> None:
    """Engines ended one after the other, and each was taken for the control of the next."""
    paths = TargetPaths()
    paths.record_reached(A, 1.0)
    paths.record_reached(B, 2.0)
    paths.record_unreached(B, 3.0)
    assert paths.choose_control((A, B)) == A
    paths.record_unreached(A, 4.0)
    assert paths.choose_control((A, B)) == B
    assert paths.choose_control((A, B, C)) == C
