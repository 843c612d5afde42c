"""Which gateways callers are sent to."""

from __future__ import annotations

import math

import attrs
import pytest

from lagoonlever.decisions.fleet.peer_table import (
    DISCOVERY_S,
    FLEET_AT_START,
    FORGET_S,
    NEWS_ROUNDS,
    REPEATED_MOST,
    SILENCE_TIMEOUT_S,
    PeerState,
    PeerTable,
    repeats_in_round,
)
from lagoonlever.http.messages import Address
from lagoonlever.identity import Incarnation

OWN = Incarnation(name="vm-0", started_ms=1, nonce=0)


def state(name: str = "vm-1", *, started_ms: int = 1, **more: object) -> PeerState:
    made = PeerState(
        life=Incarnation(name=name, started_ms=started_ms, nonce=7),
        data_center="a",
        callers=Address(host="10.0.0.1", port=80),
        bus=Address(host="10.0.0.1", port=81),
    )
    return attrs.evolve(made, **more)


def names(table: PeerTable, now: float) -> list[str]:
    return [each.life.name for each in table.accepting_callers(now)]


def test_a_vm_that_falls_silent_is_left_out_and_comes_back() -> None:
    table = PeerTable(own=OWN)
    table.record_state(state(), 0.0)
    assert names(table, 0.5) == ["vm-1"]
    assert names(table, SILENCE_TIMEOUT_S + 0.1) == []
    table.record_state(state(), 5.0)
    assert names(table, 5.1) == ["vm-1"]


def test_a_registered_vm_that_says_nothing_is_left_out() -> None:
    """A VM lost power; its entry in the register outlives it by the life of a lease."""
    table = PeerTable(own=OWN)
    table.record_registration(state(), 0.0)
    assert names(table, 0.1) == ["vm-1"]
    assert names(table, SILENCE_TIMEOUT_S + 0.1) == []


def test_a_leaving_vm_is_left_out_at_its_word() -> None:
    table = PeerTable(own=OWN)
    table.record_state(state(), 0.0)
    table.record_state(state(leaving=True), 0.1)
    assert names(table, 0.2) == []


def test_a_new_life_replaces_the_former_one_and_not_the_other_way() -> None:
    table = PeerTable(own=OWN)
    table.record_state(state(started_ms=1), 0.0)
    assert table.record_state(state(started_ms=2), 0.1)
    assert not table.record_state(state(started_ms=1, leaving=True), 0.2)
    table.record_registration(state(started_ms=1), 0.3)
    assert [each.life.started_ms for each in table.accepting_callers(0.3)] == [2]


def test_a_vm_does_not_list_itself() -> None:
    table = PeerTable(own=OWN)
    table.record_state(state("vm-0"), 0.0)
    table.record_registration(state("vm-0"), 0.0)
    assert table.states == ()


def test_a_vm_that_was_silent_for_long_is_forgotten() -> None:
    table = PeerTable(own=OWN)
    table.record_state(state(), 0.0)
    table.expire(FORGET_S + 1.0)
    assert table.states == ()


def test_a_vm_whose_clock_was_set_back_is_believed_once_its_former_life_is_silent() -> None:
    """A VM's clock jumps back by seconds, and the VM is killed and started again.

    By the time of day its new life began before the former one. Ignored for as long as the
    former one was remembered, it got no callers and no changes for half a minute.
    """
    table = PeerTable(own=OWN)
    table.record_state(state(started_ms=5_000), 0.0)
    assert not table.record_state(state(started_ms=4_000), 0.5)
    assert table.record_state(state(started_ms=4_000), SILENCE_TIMEOUT_S + 0.1)
    assert [each.life.started_ms for each in table.accepting_callers(SILENCE_TIMEOUT_S + 0.1)] == [
        4_000
    ]


def test_a_vm_that_has_just_started_does_not_take_those_it_knows_for_all() -> None:
    """69 VMs lose power and start together; each knows of nobody for some moments.

    Each would take the whole fleet's slack of repeats for its own, and the application
    runners would get 69 times what they may.
    """
    table = PeerTable(own=OWN)
    table.started_at = 10.0
    assert table.max_fleet_size(10.5) == FLEET_AT_START
    table.record_state(state(), 10.6)
    assert table.max_fleet_size(10.0 + DISCOVERY_S) == 2


@pytest.mark.parametrize("count", [1, 23, 100, 400])
def test_a_digest_repeats_few_states_and_each_of_them_in_time(count: int) -> None:
    """A hub of a hundred VMs repeated ten states three times a second, to each of them.

    Digests took 45 KB a second of each VM's link at 300 VMs. A state whose first word was
    lost must be told again all the same.
    """
    rounds = max(NEWS_ROUNDS, math.ceil(count / REPEATED_MOST))
    told = [
        [
            number
            for number in range(count)
            if repeats_in_round(number, speakers=count, in_round=each)
        ]
        for each in range(rounds)
    ]
    assert max(len(states) for states in told) <= max(REPEATED_MOST, math.ceil(count / rounds))
    assert sorted(number for states in told for number in states) == list(range(count))
