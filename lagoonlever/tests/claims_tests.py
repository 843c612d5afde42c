"""The promises of keys and claims: deaths, freezes, late and lost claims, guards off."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from hypothesis import HealthCheck, settings
from hypothesis.stateful import run_state_machine_as_test as run_machine

from lagoonlever.decisions.claims.key_table import RECORD_BYTES, KeyRecord, KeyTable, StoredAnswer
from lagoonlever.decisions.claims.keys import HomedKey
from lagoonlever.outcomes import NotRun
from lagoonlever.tests.claims_machine import ROOM_KEYS, ClaimsMachine


class ForgetsRefusals(KeyTable):
    """Guard off: a key that was told "not run" is forgotten."""

    def settle(self, record: KeyRecord, answer: StoredAnswer) -> None:
        super().settle(record, answer)
        if isinstance(answer.outcome, NotRun):
            self._records.pop(record.key)
            self._expiries = [entry for entry in self._expiries if entry[2] != record.key]
            self._used_bytes -= RECORD_BYTES + answer.size_bytes


class ForgetsVoidKeys(KeyTable):
    """Guard off: a key that was refused for want of memory is taken later."""

    def _void(self, key: HomedKey) -> bool:
        return self._used_bytes + RECORD_BYTES > self._limit_bytes


class ForgetsRefusalsMachine(ClaimsMachine):
    table_class = ForgetsRefusals


class ForgetsVoidKeysMachine(ClaimsMachine):
    table_class = ForgetsVoidKeys


class ShortLeaseMachine(ClaimsMachine):
    """Guard off: the lease of the claims ends before their keys do."""

    lease_s = 50.0


class OverwritesClaimsMachine(ClaimsMachine):
    """Guard off: a claim is written whether or not the key is held."""

    create_if_absent = False


class TakesOverMachine(ClaimsMachine):
    """Guard off: who can't reach the home runs the request itself."""

    take_over_unreachable = True


QUIET = {"deadline": None, "suppress_health_check": list(HealthCheck), "database": None}


def test_claims_keep_their_promises() -> None:
    """A dealer's bid is sent to two VMs at once, and again after one died, froze or woke.

    Claims are applied late, or their answers are lost; leases end; memory runs out.
    The bid must not run twice, and must not run at all once its caller was told
    "not run", whichever copy was told so.
    """
    run_machine(ClaimsMachine, settings=settings(max_examples=100, stateful_step_count=60, **QUIET))


def drain(machine: ClaimsMachine) -> None:
    """Let the copies go on, each as well as it can, until they are told or stuck."""
    for index in range(8):
        if machine.copies:
            machine.step(index, 7)
    while machine.at_target:
        machine.target_executes()


def refused_copy_and_a_late_one(machine: ClaimsMachine) -> None:
    """Tell the caller "not run", then let a copy arrive that waited at another VM."""
    machine.send(0, "vm1", None)
    machine.step(0, 7)
    machine.step(0, 7)
    machine.step(0, 0)
    drain(machine)
    machine.send(0, "vm1", None)
    drain(machine)


def refused_for_memory_and_a_late_one(machine: ClaimsMachine) -> None:
    """Tell the caller "not run" for want of memory, then let a copy arrive when there is some."""
    for _ in range(ROOM_KEYS + 2):
        machine.mint("vm1")
    for key in range(ROOM_KEYS):
        machine.send(2 + key, "vm1", None)
        drain(machine)
    machine.wait(20.0)
    machine.mint("vm1")
    machine.mint("vm1")
    machine.send(2, "vm1", None)
    drain(machine)
    machine.wait(90.0)
    machine.send(2, "vm1", None)
    drain(machine)


def holder_frozen_beyond_its_lease(machine: ClaimsMachine) -> None:
    """Freeze the holder before its write, ask another VM, wake the holder."""
    machine.send(0, "vm1", None)
    machine.step(0, 7)
    machine.step(0, 7)
    machine.freeze_or_thaw("vm1")
    machine.wait(70.0)
    machine.send(0, "vm2", None)
    for _ in range(4):
        machine.step(len(machine.copies) - 1, 7)
    machine.freeze_or_thaw("vm1")
    drain(machine)


def two_vms_at_once(machine: ClaimsMachine) -> None:
    """Send one bid to two VMs at once."""
    machine.send(0, "vm1", None)
    machine.step(0, 7)
    machine.step(0, 7)
    machine.send(0, "vm2", None)
    machine.step(1, 7)
    drain(machine)


def again_after_the_home_died(machine: ClaimsMachine) -> None:
    """Let the home die with the bid sent, and ask another VM."""
    machine.send(0, "vm1", None)
    for _ in range(3):
        machine.step(0, 7)
    machine.die("vm1")
    drain(machine)
    machine.send(0, "vm2", None)
    drain(machine)


@pytest.mark.parametrize(
    ("story", "guard_off"),
    [
        (refused_copy_and_a_late_one, ForgetsRefusalsMachine),
        (refused_for_memory_and_a_late_one, ForgetsVoidKeysMachine),
        (holder_frozen_beyond_its_lease, ShortLeaseMachine),
        (two_vms_at_once, OverwritesClaimsMachine),
        (again_after_the_home_died, TakesOverMachine),
    ],
)
def test_each_guard_is_needed(
    story: Callable[[ClaimsMachine], None], guard_off: type[ClaimsMachine]
) -> None:
    """Each story runs a bid that must not run once its guard is off, and holds with it."""
    guarded, unguarded = ClaimsMachine(), guard_off()
    story(guarded)
    guarded.promises_hold()
    story(unguarded)
    with pytest.raises(AssertionError):
        unguarded.promises_hold()
