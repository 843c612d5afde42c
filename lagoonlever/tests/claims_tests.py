"""Guarantees of keyed requests under crashes, pauses, late claims and lost answers.

Each guard is also switched off once, to show that the checks detect its absence.
"""

from __future__ import annotations

from collections.abc import Callable

import pytest
from hypothesis import HealthCheck, settings
from hypothesis.stateful import run_state_machine_as_test as run_machine

from lagoonlever.decisions.claims.key_table import RECORD_BYTES, KeyRecord, KeyTable, StoredAnswer
from lagoonlever.decisions.claims.keys import HomedKey
from lagoonlever.outcomes import NotRun
from lagoonlever.tests.claims_machine import MAX_KEYS, ClaimsMachine


class ForgetsRefusals(KeyTable):
    """Guard off: the record of a key is removed once its caller was told "not run"."""

    def settle(self, record: KeyRecord, answer: StoredAnswer) -> None:
        super().settle(record, answer)
        if isinstance(answer.outcome, NotRun):
            self._records.pop(record.key)
            self._expiries = [entry for entry in self._expiries if entry[2] != record.key]
            self._used_bytes -= RECORD_BYTES + answer.size_bytes


class ForgetsVoidKeys(KeyTable):
    """Guard off: a key that was refused for lack of memory may be admitted later."""

    def _refuse_for_memory(self, key: HomedKey) -> bool:
        return self._used_bytes + RECORD_BYTES > self._limit_bytes


class ForgetsRefusalsMachine(ClaimsMachine):
    table_class = ForgetsRefusals


class ForgetsVoidKeysMachine(ClaimsMachine):
    table_class = ForgetsVoidKeys


class ShortLeaseMachine(ClaimsMachine):
    """Guard off: the lease of the claims ends before their keys expire."""

    lease_s = 50.0


class OverwritesClaimsMachine(ClaimsMachine):
    """Guard off: a claim overwrites the existing claim of another VM."""

    create_if_absent = False


class TakesOverMachine(ClaimsMachine):
    """Guard off: a VM that cannot reach a key's home runs the request itself."""

    take_over_unreachable = True


QUIET = {"deadline": None, "suppress_health_check": list(HealthCheck), "database": None}


def test_no_request_runs_twice_or_after_not_run() -> None:
    """Guard against a request that runs twice, or that runs after "not run" was returned.

    This comes about when copies of a request are sent to two VMs at once, or again
    after a VM crashed, was paused or continued, while claims are applied late, their
    answers are lost, leases end or memory runs out. It must hold whichever copy got
    the answer "not run".
    """
    run_machine(ClaimsMachine, settings=settings(max_examples=100, stateful_step_count=60, **QUIET))


def drain(machine: ClaimsMachine) -> None:
    """Advance all copies until each is answered or cannot continue."""
    for index in range(8):
        if machine.copies:
            machine.step(index, 7)
    while machine.at_target:
        machine.target_executes()


def late_copy_after_a_refusal(machine: ClaimsMachine) -> None:
    """Answer "not run", then let a delayed copy of the request arrive."""
    machine.send(0, "vm1", None)
    machine.step(0, 7)
    machine.step(0, 7)
    machine.step(0, 0)
    drain(machine)
    machine.send(0, "vm1", None)
    drain(machine)


def late_copy_after_a_refusal_for_memory(machine: ClaimsMachine) -> None:
    """Answer "not run" for lack of memory, then let a copy arrive once memory is free."""
    for _ in range(MAX_KEYS + 2):
        machine.mint("vm1")
    for key in range(MAX_KEYS):
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


def home_paused_beyond_its_lease(machine: ClaimsMachine) -> None:
    """Pause the home before its write, retry at another VM, then let the home continue."""
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


def same_key_at_two_vms(machine: ClaimsMachine) -> None:
    """Send one request to two VMs at the same time."""
    machine.send(0, "vm1", None)
    machine.step(0, 7)
    machine.step(0, 7)
    machine.send(0, "vm2", None)
    machine.step(1, 7)
    drain(machine)


def retry_after_the_home_crashed(machine: ClaimsMachine) -> None:
    """Crash the home after it has written the request, and retry at another VM."""
    machine.send(0, "vm1", None)
    for _ in range(3):
        machine.step(0, 7)
    machine.crash("vm1")
    drain(machine)
    machine.send(0, "vm2", None)
    drain(machine)


@pytest.mark.parametrize(
    ("story", "guard_off"),
    [
        (late_copy_after_a_refusal, ForgetsRefusalsMachine),
        (late_copy_after_a_refusal_for_memory, ForgetsVoidKeysMachine),
        (home_paused_beyond_its_lease, ShortLeaseMachine),
        (same_key_at_two_vms, OverwritesClaimsMachine),
        (retry_after_the_home_crashed, TakesOverMachine),
    ],
)
def test_each_guard_is_needed(
    story: Callable[[ClaimsMachine], None], guard_off: type[ClaimsMachine]
) -> None:
    """Each scenario violates the guarantees if its guard is off, and keeps them otherwise."""
    guarded, unguarded = ClaimsMachine(), guard_off()
    story(guarded)
    guarded.run_guarantees_hold()
    story(unguarded)
    with pytest.raises(AssertionError):
        unguarded.run_guarantees_hold()
