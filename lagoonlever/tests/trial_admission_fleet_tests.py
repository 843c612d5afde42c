"""Trials of requests and parts in fleets with and without hubs, buses in memory."""

from __future__ import annotations

import functools
from typing import cast

import attrs
import pytest
import trio

from lagoonlever.bench.local_fleet import Fleet, run_fleet, start_many
from lagoonlever.decisions.engines.part_blocks import OpenTrial
from lagoonlever.gateway.accepted import Accepted
from lagoonlever.gateway.hub_spread import HubSpread
from lagoonlever.gateway.trial_admission import TrialAdmission

SETTLED_S = 6.0
TOLD_S = 0.3
"""Within this a message of one VM has reached all others, by way of hubs."""
TRYING = 8
"""VMs that try something, one after the other."""


@attrs.frozen(kw_only=True)
class Asked:
    """What trials need to know of a request."""

    request_id: str
    fingerprint: str = "r"


def asked(request: str) -> Accepted:
    """Return a request of this id."""
    return cast("Accepted", Asked(request_id=request))


@attrs.define(kw_only=True)
class TryingVm:
    """The trials of one VM; ``gave_way`` has an entry for each that gave way to another VM."""

    trials: TrialAdmission
    gave_way: list[str]


async def _start(fleet: Fleet, count: int) -> list[TryingVm]:
    start_many(fleet, count)
    await trio.sleep(SETTLED_S)
    trying = []
    for vm in fleet.vms.values():
        own, gave_way = vm.state.life.name, list[str]()
        spread = HubSpread(bus=vm.bus, beliefs=vm.beliefs, roles=vm.presence.roles, own=own)
        trials = TrialAdmission(
            own=own,
            bus=vm.bus,
            beliefs=vm.beliefs,
            timers=vm.timers,
            spread=spread,
            given_way=functools.partial(gave_way.append, own),
        )
        fleet.nursery.start_soon(vm.run, trials.run)
        trying.append(TryingVm(trials=trials, gave_way=gave_way))
    await trio.sleep(0.2)
    return trying


def request_trial(name: str) -> OpenTrial:
    """Return the trial of a request under which three targets have ended."""
    return OpenTrial(parts=frozenset({name}), crash_count=3, over_s=0.0, is_request=True)


@pytest.mark.parametrize("vms", [9, 195])
def test_a_vm_that_tries_alone_does_not_give_way_to_its_own_word(vms: int) -> None:
    """A hub passes the word back by another hub, and the only trial of the fleet was refused."""

    async def story(fleet: Fleet) -> None:
        trying = await _start(fleet, vms)
        for number in range(TRYING):
            vm, trial = trying[(number * 31) % vms], request_trial(f"r-{number}")
            assert vm.trials.admit(asked("copy"), trial) is None
            await trio.sleep(TOLD_S)
            assert not vm.gave_way, number
            assert vm.trials.admit(asked("copy"), trial) is None
            others = [other for other in trying if other is not vm]
            told = sum(other.trials.admit(asked("late"), trial) is not None for other in others)
            assert told == len(others)

    run_fleet(story)


@pytest.mark.parametrize("vms", [9, 195])
def test_a_caller_that_returns_after_its_trial_waits_for_nothing(vms: int) -> None:
    """The request ended without one more end, and each other VM refused its return for seconds."""

    async def story(fleet: Fleet) -> None:
        trying = await _start(fleet, vms)
        for number in range(TRYING):
            first, second = trying[(number * 31) % vms], trying[(number * 31 + 1) % vms]
            trial = request_trial(f"r-{number}")
            assert first.trials.admit(asked("first attempt"), trial) is None
            await trio.sleep(TOLD_S)
            first.trials.ended(asked("first attempt"), answered=True)
            await trio.sleep(TOLD_S)
            assert second.trials.admit(asked("second attempt"), trial) is None

    run_fleet(story)
