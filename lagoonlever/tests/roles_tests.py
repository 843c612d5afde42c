"""Who reads the store and who gathers, worked out by each VM alone."""

from __future__ import annotations

from lagoonlever.decisions.fleet.peer_table import PeerState
from lagoonlever.decisions.fleet.roles import (
    HUBS_PER_DATA_CENTER,
    MAX_MESH_VMS,
    MIN_READERS,
    assign_roles,
)
from lagoonlever.http.messages import Address
from lagoonlever.identity import Incarnation

PLACES = ("a", "b", "c")


def fleet(count: int, *, wide: int = 0, away: frozenset[int] = frozenset()) -> list[PeerState]:
    return [
        PeerState(
            life=Incarnation(name=f"vm-{number}", started_ms=1, nonce=number),
            data_center=PLACES[number % 3],
            callers=Address(host=f"10.0.0.{number}", port=1),
            bus=Address(host=f"10.0.0.{number}", port=2),
            link_mbps=200.0 if number < wide else 10.0,
            store_away=number in away,
        )
        for number in range(count)
    ]


def readers(states: list[PeerState]) -> set[str]:
    return {
        s.life.name for s in states if assign_roles(s, [o for o in states if o != s]).reads_store
    }


def test_views_that_agree_give_the_same_roles() -> None:
    states = fleet(69)
    assert len(readers(states)) == MIN_READERS
    hubs = {assign_roles(s, [o for o in states if o != s]).hubs for s in states}
    assert len(hubs) == len(PLACES) and all(len(each) == HUBS_PER_DATA_CENTER for each in hubs)


def test_wide_links_go_first() -> None:
    states = fleet(69, wide=6)
    assert readers(states) <= {f"vm-{number}" for number in range(6)}


def test_a_reader_that_loses_the_store_is_replaced_unless_all_have() -> None:
    """A cut of one VM is answered by another reader; an outage by nobody else's calls."""
    states = fleet(30, wide=6)
    lost = sorted(readers(states))[0]
    number = int(lost.removeprefix("vm-"))
    assert lost not in readers(fleet(30, wide=6, away=frozenset({number})))
    everyone = frozenset(range(30))
    assert readers(fleet(30, wide=6, away=everyone)) == readers(states)


def test_an_isolated_vm_reads_and_a_failed_hub_is_not_chosen() -> None:
    states = fleet(30)
    own, others = states[20], [s for s in states if s is not states[20]]
    usual = assign_roles(own, others)
    assert not usual.reads_store
    assert assign_roles(own, others, isolated=True).reads_store
    assert usual.hubs[0] not in assign_roles(own, others, failed=frozenset(usual.hubs[:1])).hubs


def test_a_small_fleet_is_a_mesh() -> None:
    states = fleet(MAX_MESH_VMS + 1)
    assert not assign_roles(states[0], states[1:]).mesh
    assert assign_roles(states[0], states[1:MAX_MESH_VMS]).mesh


def test_readers_that_are_turned_away_together_are_no_outage() -> None:
    """The store refuses a third of the VMs, among them every reader, and serves the others.

    Keys are taken away meanwhile. No other VM tried, so the whole fleet went on with the
    old configuration for eight seconds.
    """
    turned_away: frozenset[int] = frozenset()
    for _ in range(2):
        tried = readers(fleet(69, wide=6, away=turned_away))
        assert tried
        assert not {int(name.removeprefix("vm-")) for name in tried} & turned_away
        turned_away |= {int(name.removeprefix("vm-")) for name in tried}
    assert len(turned_away) > 2 * MIN_READERS
