"""How often a part that ends engines, and may be sound, is tried again."""

from __future__ import annotations

import pytest
import trio

from lagoonlever.decisions.engines.crash_suspects import CrashSuspects
from lagoonlever.decisions.engines.part_blocks import TRIAL_KEPT_S, TURN_S, OpenTrial, PartTrials
from lagoonlever.decisions.engines.suspects import Suspects
from lagoonlever.decisions.engines.target_crashes import WEIGHT_QUEUED, Crash
from lagoonlever.tests.deadly_parts_tests import LATER, MOST_ENDED, PART, ask_all
from lagoonlever.tests.gateway_site import GatewaySite, run_site

VMS = ("vm-0", "vm-1", "vm-2")
DAY_S = 600
PART_ID = "part:engines/m/bad"
TRIAL = OpenTrial(parts=frozenset({PART_ID}), crash_count=5, over_s=0.0)
STABLE_S = 3.0


@pytest.mark.parametrize("answers_known", [False, True])
@pytest.mark.parametrize("asked_by", [2, 3, 1_000])
def test_a_part_that_may_be_sound_ends_three_more_engines_at_most(
    answers_known: bool, asked_by: int
) -> None:
    """Each short block ended with one more engine, one each five seconds, without end."""
    suspects = CrashSuspects(answers_known=answers_known)
    ends: list[float] = []
    for second in range(DAY_S):
        asked = Suspects(request=f"r-{second % asked_by}", parts=(PART_ID,))
        if suspects.find_any_block(asked, float(second)) is not None:
            continue
        ends.append(float(second))
        process, crash = f"p-{len(ends)}", Crash(at=float(second), requests=(asked.request,))
        suspects.record_crash(asked.request, process, Crash(at=float(second)))
        suspects.record_crash(PART_ID, process, crash)
    assert sum(at > ends[:MOST_ENDED][-1] + STABLE_S for at in ends[MOST_ENDED:]) <= LATER


def _waits(trials: dict[str, PartTrials], now: float, *, over_s: float) -> dict[str, float]:
    trial = OpenTrial(parts=TRIAL.parts, crash_count=TRIAL.crash_count, over_s=over_s)
    return {vm: trials[vm].wait_s(trial, f"r-{vm}", now, own=vm, vms=VMS) for vm in VMS}


def test_vms_have_turns_to_try_a_part() -> None:
    """All that waited for the end of a block reached an engine at the same moment."""
    trials = {vm: PartTrials() for vm in VMS}
    waits = _waits(trials, 10.0, over_s=0.0)
    assert sorted(waits.values()) == [0.0, TURN_S, 2 * TURN_S]
    assert set(_waits(trials, 12.0, over_s=2 * TURN_S).values()) == {0.0}


def test_nobody_else_tries_while_one_does() -> None:
    trials = {vm: PartTrials() for vm in VMS}
    assert trials["vm-0"].begin(TRIAL.key, "r-vm-0")
    for vm in VMS[1:]:
        trials[vm].record_elsewhere(TRIAL.key, 10.0, vm="vm-0", own=vm)
    waits = _waits(trials, 10.0, over_s=60.0)
    assert waits["vm-0"] == 0.0
    assert waits["vm-1"] == waits["vm-2"] == TRIAL_KEPT_S
    assert trials["vm-0"].wait_s(TRIAL, "another", 10.0, own="vm-0", vms=VMS) > 0.0


def test_a_trial_that_shows_nothing_ends() -> None:
    trials = {vm: PartTrials() for vm in VMS}
    trials["vm-0"].begin(TRIAL.key, "r-vm-0")
    trials["vm-0"].record_end("r-vm-0")
    trials["vm-1"].record_elsewhere(TRIAL.key, 10.0, vm="vm-0", own="vm-1")
    trials["vm-1"].expire(10.0 + TRIAL_KEPT_S)
    waits = _waits(trials, 10.0 + TRIAL_KEPT_S, over_s=60.0)
    assert waits["vm-0"] == waits["vm-1"] == 0.0


def test_of_two_vms_that_try_at_once_one_gives_way() -> None:
    trials = {vm: PartTrials() for vm in VMS}
    for vm in VMS:
        trials[vm].begin(TRIAL.key, f"r-{vm}")
    gave_way = [
        vm
        for vm in VMS
        if any(
            trials[vm].record_elsewhere(TRIAL.key, 10.0, vm=other, own=vm)
            for other in VMS
            if other != vm
        )
    ]
    assert len(gave_way) == len(VMS) - 1


def test_a_vm_that_has_just_started_tries_no_part() -> None:
    """After a loss of all VMs each took itself for the only one, and each tried."""
    trial = OpenTrial(parts=TRIAL.parts, crash_count=5, over_s=60.0)
    waits = [PartTrials().wait_s(trial, "r", 10.0, own=vm, vms=(), up_s=0.5) for vm in VMS]
    assert min(waits) >= 1.0
    assert PartTrials().wait_s(trial, "r", 10.0, own="vm-0", vms=(), up_s=30.0) == 0.0


def test_copies_of_a_request_that_may_end_engines_go_on_one_at_a_time() -> None:
    """Retries that wait at engines count as soon as they reach one."""
    suspects = CrashSuspects()
    asked = Suspects(request="r")
    for number in range(3):
        crash = Crash(at=float(number), weight=WEIGHT_QUEUED)
        suspects.record_crash("r", f"p-{number}", crash)
    assert suspects.find_any_block(asked, 3.0) is None
    trial = suspects.find_open_trial(asked, 3.0)
    assert trial is not None and trial.is_request
    trials = PartTrials()
    assert trials.wait_s(trial, "first copy", 3.0, own="vm-0", vms=VMS) == 0.0
    trials.begin(trial.key, "first copy")
    assert trials.wait_s(trial, "second copy", 3.0, own="vm-0", vms=VMS) > 0.0
    trials.record_end("first copy")
    assert trials.wait_s(trial, "second copy", 4.0, own="vm-0", vms=VMS) == 0.0
    suspects.record_answer("r", 4.0, is_own=True)
    assert suspects.find_open_trial(asked, 4.0) is None


def test_a_request_does_not_wait_for_a_vm_that_is_gone() -> None:
    """Its caller came back to another VM, which refused it for the trial of the dead one."""
    trial = OpenTrial(parts=frozenset({"r"}), crash_count=3, over_s=0.0, is_request=True)
    trials = PartTrials()
    trials.record_elsewhere(trial.key, 10.0, vm="vm-0", own="vm-1")
    assert trials.wait_s(trial, "again", 10.5, own="vm-1", vms=("vm-0", "vm-2")) > 0.0
    assert trials.wait_s(trial, "again", 10.5, own="vm-1", vms=("vm-2",)) == 0.0


def test_one_request_of_all_vms_tries_a_part_as_its_block_ends() -> None:
    """No answer is known; dozens of requests with the part come in the second that a block ends."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        site.deadly.add(PART)
        for engine in site.engines.values():
            engine.prefill_tokens_per_s = 2_000.0
        await ask_all(site, 8, shared=(PART,), spacing_s=0.3, prompt_tokens=200)
        ended = len(site.deaths)
        assert ended <= MOST_ENDED + 1
        await trio.sleep(2.0)
        before = _arrivals(site)
        await ask_all(site, 60, shared=(PART,), spacing_s=0.1, prompt_tokens=1_000)
        assert _arrivals(site) - before <= 2
        assert len(site.deaths) - ended <= 2

    run_site(story, engines=30, vms=3)


def _arrivals(site: GatewaySite) -> int:
    return sum(len(engine.seen) for engine in site.engines.values())
