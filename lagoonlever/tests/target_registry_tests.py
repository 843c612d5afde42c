"""Tests of which listed targets may be given work while the list is late or entries lapse."""

from __future__ import annotations

import attrs
import pytest

from lagoonlever.decisions.targets.listed_target import ListedTarget, TargetChange
from lagoonlever.decisions.targets.registry import REREGISTRATION_S, TargetRegistry
from lagoonlever.http.messages import Address
from lagoonlever.revisions import Revision
from lagoonlever.tests.base import at


def target(name: str, *, draining: bool = False, service: str = "engines") -> ListedTarget:
    return ListedTarget(
        id=name,
        service=service,
        address=Address(host=f"{name}.example", port=80),
        data_center="a",
        draining=draining,
    )


def registry(*names: str) -> TargetRegistry:
    made = TargetRegistry()
    made.apply_list([target(name) for name in names], revision=at(10), now=0.0, store_back_at=None)
    return made


def change(
    listed: TargetRegistry,
    name: str,
    to: ListedTarget | None,
    *,
    revision: Revision,
    now: float,
    store_back_at: float | None,
) -> bool:
    made = TargetChange(id=name, target=to, revision=revision)
    return listed.apply_change(made, now=now, store_back_at=store_back_at)


def test_a_target_that_drains_or_was_replaced_takes_no_work() -> None:
    listed = registry("e1", "e2", "e3")
    change(listed, "e1", target("e1", draining=True), revision=at(11), now=1.0, store_back_at=None)
    listed.mark_replaced("e2", 1.0)
    assert [t.id for t in listed.serving("engines")] == ["e3"]


def test_a_removal_counts_at_once_while_the_store_was_always_there() -> None:
    listed = registry("e1")
    change(listed, "e1", None, revision=at(11), now=1.0, store_back_at=None)
    assert not listed.takes_work("e1")


def test_a_lapse_in_an_outage_is_held_until_the_target_had_time_to_register() -> None:
    """Guards against the removal of a live target whose entry lapsed in an outage of the store.

    The target writes its entry again within two seconds, and stays in use until then.
    """
    listed = registry("e1", "e2")
    listed.apply_list([target("e2")], revision=at(20), now=50.0, store_back_at=50.0)
    assert listed.takes_work("e1")
    change(listed, "e1", target("e1"), revision=at(21), now=51.5, store_back_at=50.0)
    listed.expire(60.0)
    assert listed.takes_work("e1")


def test_a_target_that_is_not_back_in_time_is_gone() -> None:
    listed = registry("e1")
    change(listed, "e1", None, revision=at(20), now=50.1, store_back_at=50.0)
    listed.expire(50.0 + REREGISTRATION_S + 0.01)
    assert not listed.takes_work("e1")


def test_a_vm_that_was_cut_off_alone_does_not_hold_a_leaving_target_for_long() -> None:
    """Guards against work for a runner that left, at a VM that alone was cut off from the store.

    The VM reaches the store again at 50 s, the runner leaves at 51.3 s, and the VM takes the
    removal for a lapse in an outage. If the removal was held for a time that counts from itself,
    the runner got a request 2.14 s after it had left; 2 s are allowed.
    """
    listed = registry("runner")
    change(listed, "runner", None, revision=at(20), now=51.3, store_back_at=50.0)
    listed.expire(52.3)
    assert not listed.takes_work("runner")


def test_a_late_change_does_not_bring_a_removed_target_back() -> None:
    """Guards against a removed target that is used again.

    A peer has sent a newer list, and then the VM's own watch of the store repeats older changes.
    """
    listed = registry("e1")
    listed.apply_list([], revision=at(30), now=1.0, store_back_at=None)
    change(listed, "e1", target("e1"), revision=at(25), now=1.1, store_back_at=None)
    assert not listed.takes_work("e1")


def test_a_held_removal_is_returned_once_it_counts() -> None:
    """Guards against another VM that follows this one's changes and misses a held removal.

    It must be told of the removal once the removal counts, and not before.
    """
    listed = registry("e1")
    assert not change(listed, "e1", None, revision=at(20), now=50.1, store_back_at=50.0)
    assert listed.expire(51.0) == ()
    removals = listed.expire(50.0 + REREGISTRATION_S + 0.01)
    assert [(each.id, each.target) for each in removals] == [("e1", None)]
    other = registry("e1")
    assert other.apply_change(removals[0], now=60.0, store_back_at=None)
    assert not other.takes_work("e1")


def test_changes_in_any_order_give_the_same_list() -> None:
    """Guards against lists that differ as two VMs push the same changes in different orders."""
    changes = [
        TargetChange(id="e1", target=target("e1", draining=True), revision=at(21)),
        TargetChange(id="e1", target=None, revision=at(22)),
        TargetChange(id="e2", target=target("e2"), revision=at(23)),
    ]
    views = []
    for order in ((0, 1, 2), (2, 1, 0), (1, 0, 2)):
        listed = registry("e1")
        for place in order:
            listed.apply_change(changes[place], now=1.0, store_back_at=None)
        views.append([t.id for t in listed.targets])
    assert views == [["e2"]] * 3


def test_an_entry_at_an_address_ends_what_was_listed_there_before() -> None:
    """Guards against requests to the old id of an engine that restarted under a new id.

    The old entry lapses only after three heartbeats. Until then the new process rejects each
    request that is sent to the old id, at the cost of a connection and an attempt.
    """
    listed = registry("old")
    new = attrs.evolve(target("new"), address=target("old").address)
    change(listed, "new", new, revision=at(11), now=1.0, store_back_at=None)
    assert [t.id for t in listed.serving("engines")] == ["new"]


def test_an_older_entry_of_an_address_ends_no_newer_one() -> None:
    """Guards against an older entry of an address that arrives after a newer one."""
    listed = registry()
    new = attrs.evolve(target("new"), address=target("old").address)
    change(listed, "new", new, revision=at(12), now=1.0, store_back_at=None)
    change(listed, "old", target("old"), revision=at(11), now=1.1, store_back_at=None)
    assert [t.id for t in listed.serving("engines")] == ["new"]


def started(name: str, started_ms: int | None, **more: object) -> ListedTarget:
    return attrs.evolve(target(name), started_ms=started_ms, **more)


def test_a_target_that_restarts_under_its_id_is_given_work() -> None:
    """Guards against a restarted target that gets no work for a minute.

    The target crashes, another process answers at its address for a while, and the target restarts
    under its id and reports its new start. It must no longer count as replaced.
    """
    listed = TargetRegistry()
    listed.apply_list([started("e1", 100)], revision=at(10), now=0.0, store_back_at=None)
    listed.mark_replaced("e1", 1.0)
    change(listed, "e1", started("e1", 100), revision=at(11), now=1.1, store_back_at=None)
    assert not listed.takes_work("e1")
    change(listed, "e1", started("e1", 200), revision=at(12), now=2.0, store_back_at=None)
    assert listed.takes_work("e1")


def test_the_start_of_a_target_is_known_while_it_is_away() -> None:
    listed = TargetRegistry()
    listed.apply_list([started("e1", 100)], revision=at(10), now=0.0, store_back_at=None)
    change(listed, "e1", None, revision=at(11), now=1.0, store_back_at=None)
    assert listed.process_start("e1") == 100
    change(listed, "e1", started("e1", 200), revision=at(12), now=2.0, store_back_at=None)
    found = listed.find("e1")
    assert found is not None and found.has_restarted_since(100)


def test_an_entry_of_before_does_not_bring_a_former_process_back() -> None:
    """Guards against an old entry that is read after a target has reported its restart itself."""
    listed = TargetRegistry()
    listed.apply_list([started("e1", 100)], revision=at(10), now=0.0, store_back_at=None)
    assert listed.record_restart("e1", 200)
    change(listed, "e1", started("e1", 100), revision=at(11), now=1.0, store_back_at=None)
    assert listed.process_start("e1") == 200
    change(listed, "e1", started("e1", 200), revision=at(12), now=1.1, store_back_at=None)
    assert listed.process_start("e1") == 200
    change(listed, "e1", started("e1", 150), revision=at(13), now=1.2, store_back_at=None)
    assert listed.process_start("e1") == 150


def of_era(era: int, number: int) -> Revision:
    return Revision(era=era, number=number)


def restarted_before_a_restore() -> TargetRegistry:
    """Return a list with a target that restarted, at 200, just before the store was restored."""
    listed = TargetRegistry()
    listed.apply_list([started("e1", 100)], revision=of_era(1, 10), now=0.0, store_back_at=None)
    change(listed, "e1", started("e1", 200), revision=of_era(1, 30), now=1.0, store_back_at=None)
    return listed


def restore_store(listed: TargetRegistry, started_ms: int, *, number: int = 10) -> None:
    """Apply the list of a restored store, with an entry whose revision has a given number."""
    entry = attrs.evolve(started("e1", started_ms), revision=of_era(2, number))
    listed.apply_list([entry], revision=of_era(2, 40), now=5.0, store_back_at=5.0)


@pytest.mark.parametrize("leaves_by", ["its own word", "its entry"])
def test_an_entry_of_an_older_copy_is_no_new_process_of_a_target_that_leaves(
    leaves_by: str,
) -> None:
    """Guards against work for a leaving target whose former process a restored store lists."""
    listed = restarted_before_a_restore()
    if leaves_by == "its own word":
        assert listed.record_leave_announcement("e1", started_ms=200, now=2.0)
    else:
        leaving = started("e1", 200, draining=True)
        change(listed, "e1", leaving, revision=of_era(1, 31), now=2.0, store_back_at=None)
    restore_store(listed, 100)
    assert listed.process_start("e1") == 200
    assert not listed.takes_work("e1")
    back = started("e1", 200, draining=True)
    change(listed, "e1", back, revision=of_era(2, 41), now=6.0, store_back_at=None)
    assert not listed.takes_work("e1")


def test_an_entry_of_an_older_copy_does_not_bring_a_removed_target_back() -> None:
    """Guards against work for a target that is gone and whose former process a copy lists."""
    listed = restarted_before_a_restore()
    change(listed, "e1", None, revision=of_era(1, 32), now=2.0, store_back_at=None)
    restore_store(listed, 100)
    assert listed.process_start("e1") == 200
    assert not listed.takes_work("e1")


@pytest.mark.parametrize(
    ("revision", "is_new"),
    [
        (of_era(1, 31), True),
        (of_era(2, 31), True),
        (of_era(2, 30), False),
    ],
    ids=["in its era", "written since the return", "maybe of the copy"],
)
def test_a_start_that_goes_backwards_is_a_new_process_unless_it_may_be_of_a_copy(
    revision: Revision, is_new: bool
) -> None:
    """Guards against a target whose clock was set back and that is taken for its former process."""
    listed = restarted_before_a_restore()
    listed.record_leave_announcement("e1", started_ms=200, now=2.0)
    change(listed, "e1", started("e1", 150), revision=revision, now=5.0, store_back_at=None)
    assert listed.process_start("e1") == (150 if is_new else 200)
    assert listed.takes_work("e1") == is_new
    assert listed.record_restart("e1", 150) != is_new
    assert listed.takes_work("e1")


def test_an_announcement_of_a_later_process_counts_before_its_entry() -> None:
    """Guards against a VM that starts as the store is restored and lists a former process only."""
    listed = TargetRegistry()
    restore_store(listed, 100)
    assert listed.record_leave_announcement("e1", started_ms=200, now=6.0)
    assert not listed.takes_work("e1")
    change(listed, "e1", started("e1", 200), revision=of_era(2, 41), now=6.5, store_back_at=None)
    assert not listed.takes_work("e1")
    change(listed, "e1", started("e1", 300), revision=of_era(2, 42), now=7.0, store_back_at=None)
    assert listed.takes_work("e1")


def test_an_announcement_of_a_later_process_stays_if_the_former_one_is_listed_after_it() -> None:
    """Guards against a first list, of an older copy, that undoes an announcement of another VM."""
    listed = TargetRegistry()
    assert listed.record_leave_announcement("e1", started_ms=200, now=4.0)
    restore_store(listed, 100)
    assert not listed.takes_work("e1")


def test_a_target_that_reports_no_start_is_never_another_process() -> None:
    listed = registry("e1")
    change(listed, "e1", started("e1", 100), revision=at(11), now=1.0, store_back_at=None)
    found = listed.find("e1")
    assert found is not None and not found.has_restarted_since(None)
    assert not listed.record_restart("e1", 100)


def test_an_entry_of_another_service_replaces_no_target_at_its_address() -> None:
    """Guards against an engine that counts as replaced and gets no more work.

    Another program writes an entry with a service of its own and the engine's address.
    """
    listed = registry("e1")
    odd = attrs.evolve(target("odd", service="elsewhere"), address=target("e1").address)
    change(listed, "odd", odd, revision=at(11), now=1.0, store_back_at=None)
    assert listed.takes_work("e1")


@pytest.mark.parametrize("was_missing", [True, False])
def test_an_entry_that_ends_a_held_removal_is_passed_on(was_missing: bool) -> None:
    """Guards against other VMs that hold the removal too, are not told, and let it count."""
    listed = registry("e1", "e2")
    copied = [target("e2")] if was_missing else [target("e1"), target("e2")]
    copied = [attrs.evolve(each, revision=of_era(2, 5)) for each in copied]
    listed.apply_list(copied, revision=of_era(2, 8), now=5.0, store_back_at=5.0)
    is_update = change(
        listed, "e1", target("e1"), revision=of_era(2, 9), now=5.5, store_back_at=5.0
    )
    assert is_update or not was_missing
    assert not listed.expire(5.0 + REREGISTRATION_S)
    assert listed.takes_work("e1")


def test_a_second_list_of_a_restored_store_does_not_drop_targets_that_write_again() -> None:
    """A VM reads the list of the new era, and another one pushes the same list a moment later."""
    listed = registry("a", "b")
    for moment in (1.0, 1.0 + REREGISTRATION_S / 2):
        entry = attrs.evolve(target("a"), revision=Revision(era=1, number=5))
        number = 5 + round(moment)
        listed.apply_list(
            [entry], revision=Revision(era=1, number=number), now=moment, store_back_at=None
        )
        assert listed.takes_work("b"), moment
    listed.expire(1.0 + REREGISTRATION_S)
    assert not listed.takes_work("b")


@pytest.mark.parametrize("second", [20, 40], ids=["the same copy", "a newer one"])
@pytest.mark.parametrize("leaves_by", ["draining", "removal"])
def test_a_second_older_copy_does_not_bring_a_leaving_target_back(
    leaves_by: str, second: int
) -> None:
    """Guards against a second return of the store, by whose entry a target counts as ready.

    What was known of the target before both returns is newer than either entry.
    """
    listed = registry("e1")
    draining = target("e1", draining=True) if leaves_by == "draining" else None
    change(listed, "e1", draining, revision=of_era(1, 50), now=1.0, store_back_at=None)
    for era, number, now in ((2, 20, 2.0), (3, second, 3.0)):
        entry = attrs.evolve(target("e1"), revision=of_era(era, number))
        listed.apply_list([entry], revision=of_era(era, 45), now=now, store_back_at=now)
        assert not listed.takes_work("e1"), era
    change(listed, "e1", target("e1"), revision=of_era(3, 46), now=3.5, store_back_at=3.0)
    assert listed.takes_work("e1")


def test_the_leaving_of_a_process_is_known_after_it_is_gone_and_not_of_the_next_one() -> None:
    """Guards against an end that is judged after the entry is gone, or names the next process."""
    listed = TargetRegistry()
    entry = started("e", 7)
    change(
        listed, "e", attrs.evolve(entry, draining=True), revision=at(1), now=0.0, store_back_at=None
    )
    change(listed, "e", None, revision=at(2), now=1.0, store_back_at=None)
    listed.expire(30.0)
    assert listed.leaving.is_leaving("e", 7)
    change(listed, "e", started("e", 9), revision=at(3), now=31.0, store_back_at=None)
    assert listed.leaving.is_leaving("e", 7)
    assert not listed.leaving.is_leaving("e", 9)
    listed.expire(100.0)
    assert not listed.leaving.is_leaving("e", 7)


def test_a_process_that_says_that_it_leaves_is_known_by_its_start() -> None:
    """Guards against an end that is judged once another process has the id."""
    listed = TargetRegistry()
    change(listed, "e", started("e", 7), revision=at(1), now=0.0, store_back_at=None)
    listed.record_leave_announcement("e", started_ms=None, now=1.0)
    listed.record_restart("e", 9)
    assert listed.leaving.is_leaving("e", 7)
    assert not listed.leaving.is_leaving("e", 9)


def test_a_process_that_is_listed_as_ready_again_leaves_no_more() -> None:
    """Guards against ends that count for nothing, long after a leaving was called off."""
    listed = TargetRegistry()
    entry = started("e", 7)
    change(
        listed, "e", attrs.evolve(entry, draining=True), revision=at(1), now=0.0, store_back_at=None
    )
    change(listed, "e", entry, revision=at(2), now=1.0, store_back_at=None)
    assert not listed.leaving.is_leaving("e", 7)


def test_a_process_whose_start_is_learnt_as_it_leaves_is_the_same() -> None:
    """Guards against an entry without a start, and a report that names it."""
    listed = TargetRegistry()
    entry = attrs.evolve(started("e", None), draining=True)
    change(listed, "e", entry, revision=at(1), now=0.0, store_back_at=None)
    listed.record_restart("e", 7)
    assert listed.leaving.is_leaving("e", 7)
    assert listed.leaving.is_leaving("e", None)


@pytest.mark.parametrize("is_gone", [False, True], ids=["listed", "gone"])
def test_the_leaving_of_a_process_is_known_after_the_store_came_back_from_a_copy(
    is_gone: bool,
) -> None:
    """Guards against an engine that drained and ended, and counts by an entry from before that."""
    listed = TargetRegistry()
    entry = started("e", 7)
    draining = started("e", 7, draining=True)
    change(listed, "e", entry, revision=of_era(1, 10), now=0.0, store_back_at=None)
    change(listed, "e", draining, revision=of_era(1, 20), now=1.0, store_back_at=None)
    if is_gone:
        change(listed, "e", None, revision=of_era(1, 30), now=2.0, store_back_at=None)
    change(listed, "e", entry, revision=of_era(2, 11), now=4.0, store_back_at=3.9)
    assert listed.leaving.is_leaving("e", 7)
    assert not listed.takes_work("e")
    change(listed, "e", entry, revision=of_era(2, 40), now=5.0, store_back_at=3.9)
    assert not listed.leaving.is_leaving("e", 7)
