"""Which VMs read the store and which are hubs, as each VM computes it by itself."""

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

DATA_CENTERS = ("a", "b", "c")


def fleet(
    count: int, *, fast_links: int = 0, without_store: frozenset[int] = frozenset()
) -> list[PeerState]:
    """Return the states of ``count`` VMs; the first ``fast_links`` of them have a fast link."""
    return [
        PeerState(
            life=Incarnation(name=f"vm-{number}", started_ms=1, nonce=number),
            data_center=DATA_CENTERS[number % 3],
            callers=Address(host=f"10.0.0.{number}", port=1),
            bus=Address(host=f"10.0.0.{number}", port=2),
            link_mbps=200.0 if number < fast_links else 10.0,
            store_away=number in without_store,
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
    assert len(hubs) == len(DATA_CENTERS) and all(
        len(each) == HUBS_PER_DATA_CENTER for each in hubs
    )


def test_vms_with_fast_links_become_readers_first() -> None:
    states = fleet(69, fast_links=6)
    assert readers(states) <= {f"vm-{number}" for number in range(6)}


def test_a_reader_that_loses_the_store_is_replaced_unless_all_have() -> None:
    """A reader is cut off from the store, or the store is down for every VM.

    If one VM is cut off, another reader must take its place. In an outage no further VM is to
    call the store.
    """
    states = fleet(30, fast_links=6)
    lost = sorted(readers(states))[0]
    number = int(lost.removeprefix("vm-"))
    assert lost not in readers(fleet(30, fast_links=6, without_store=frozenset({number})))
    everyone = frozenset(range(30))
    assert readers(fleet(30, fast_links=6, without_store=everyone)) == readers(states)


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


def test_readers_that_are_refused_together_are_no_outage() -> None:
    """The store refuses a third of the VMs, among them every reader, and serves the others.

    If this is taken for an outage, no other VM tries to read: keys that are removed meanwhile
    are missed, and the whole fleet used the old configuration for eight seconds.
    """
    refused: frozenset[int] = frozenset()
    for _ in range(2):
        tried = readers(fleet(69, fast_links=6, without_store=refused))
        assert tried
        assert not {int(name.removeprefix("vm-")) for name in tried} & refused
        refused |= {int(name.removeprefix("vm-")) for name in tried}
    assert len(refused) > 2 * MIN_READERS
