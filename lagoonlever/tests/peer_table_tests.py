"""Which gateways callers are sent to, and which peers' states hubs repeat."""

from __future__ import annotations

import math

import attrs
import pytest

from lagoonlever.decisions.fleet.peer_table import (
    DISCOVERY_S,
    FORGET_AFTER_S,
    INITIAL_FLEET_SIZE,
    MAX_REPEATED_STATES,
    REPEAT_ROUNDS,
    SILENCE_TIMEOUT_S,
    PeerState,
    PeerTable,
    repeats_in_round,
)
from lagoonlever.http.messages import Address
from lagoonlever.identity import Incarnation

OWN = Incarnation(name="vm-0", started_ms=1, nonce=0)


def state(name: str = "vm-1", *, started_ms: int = 1, **changes: object) -> PeerState:
    default = PeerState(
        life=Incarnation(name=name, started_ms=started_ms, nonce=7),
        data_center="a",
        callers=Address(host="10.0.0.1", port=80),
        bus=Address(host="10.0.0.1", port=81),
    )
    return attrs.evolve(default, **changes)


def names(table: PeerTable, now: float) -> list[str]:
    return [each.life.name for each in table.accepting_callers(now)]


def test_a_vm_that_falls_silent_is_left_out_and_comes_back() -> None:
    table = PeerTable(own=OWN)
    table.record_state(state(), 0.0)
    assert names(table, 0.5) == ["vm-1"]
    assert names(table, SILENCE_TIMEOUT_S + 0.1) == []
    table.record_state(state(), 5.0)
    assert names(table, 5.1) == ["vm-1"]


def test_a_registered_vm_that_is_never_heard_is_left_out() -> None:
    """A VM loses power, and its entry in the register remains until the lease expires."""
    table = PeerTable(own=OWN)
    table.record_registration(state(), 0.0)
    assert names(table, 0.1) == ["vm-1"]
    assert names(table, SILENCE_TIMEOUT_S + 0.1) == []


def test_a_vm_that_announces_that_it_leaves_is_left_out() -> None:
    table = PeerTable(own=OWN)
    table.record_state(state(), 0.0)
    table.record_state(state(leaving=True), 0.1)
    assert names(table, 0.2) == []


def test_a_vm_is_known_to_leave_since_its_first_word_of_it() -> None:
    """Guards against callers who are told to wait for a VM from its last word on."""
    table = PeerTable(own=OWN)
    table.record_state(state(), 1.0)
    assert table.leaving_since(1.1) == ()
    table.record_state(state(leaving=True), 2.0)
    table.record_state(state(leaving=True), 2.5)
    assert table.leaving_since(2.6) == (2.0,)
    table.record_state(state(started_ms=2), 3.0)
    assert table.leaving_since(3.1) == ()
    table.record_state(state(started_ms=2, leaving=True), 4.0)
    assert table.leaving_since(10.0) == ()


def test_a_new_incarnation_replaces_the_former_one_and_not_the_other_way() -> None:
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


def test_a_vm_that_was_silent_for_long_is_removed() -> None:
    table = PeerTable(own=OWN)
    table.record_state(state(), 0.0)
    table.expire(FORGET_AFTER_S + 1.0)
    assert table.states == ()


def test_a_vm_whose_clock_was_set_back_is_accepted_once_its_former_incarnation_is_silent() -> None:
    """A VM's wall clock is set back by seconds, and the VM is killed and started again.

    By the wall clock its new incarnation began before the former one. If it is ignored until
    the former one is removed, it gets no callers and no changes for half a minute.
    """
    table = PeerTable(own=OWN)
    table.record_state(state(started_ms=5_000), 0.0)
    assert not table.record_state(state(started_ms=4_000), 0.5)
    assert table.record_state(state(started_ms=4_000), SILENCE_TIMEOUT_S + 0.1)
    assert [each.life.started_ms for each in table.accepting_callers(SILENCE_TIMEOUT_S + 0.1)] == [
        4_000
    ]


def test_a_vm_that_has_just_started_does_not_take_its_known_peers_for_the_whole_fleet() -> None:
    """69 VMs lose power and start together; each knows of no peer for some moments.

    If each takes the whole fleet's budget of retries for its own, the application runners
    get 69 times as many retries as they may.
    """
    table = PeerTable(own=OWN)
    table.started_at = 10.0
    assert table.max_fleet_size(10.5) == INITIAL_FLEET_SIZE
    table.record_state(state(), 10.6)
    assert table.max_fleet_size(10.0 + DISCOVERY_S) == 2


@pytest.mark.parametrize("count", [1, 23, 100, 400])
def test_a_digest_repeats_few_states_and_each_of_them_in_time(count: int) -> None:
    """A hub of a hundred VMs repeats ten states three times a second, to each of them.

    At 300 VMs such digests took 45 KB a second of each VM's link. But every state must still be
    repeated, since the announcement of a change may have been lost.
    """
    rounds = max(REPEAT_ROUNDS, math.ceil(count / MAX_REPEATED_STATES))
    repeated = [
        [
            number
            for number in range(count)
            if repeats_in_round(number, speakers=count, in_round=each)
        ]
        for each in range(rounds)
    ]
    assert max(len(states) for states in repeated) <= max(
        MAX_REPEATED_STATES, math.ceil(count / rounds)
    )
    assert sorted(number for states in repeated for number in states) == list(range(count))
