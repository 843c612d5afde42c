"""Tests of which VMs requests are led by, and which VMs callers are sent to, in a cut."""

from __future__ import annotations

import random
from collections import Counter

import attrs
import pytest

from lagoonlever.decisions.fleet.offered_vms import offered_vms
from lagoonlever.decisions.fleet.peer_table import PeerState
from lagoonlever.decisions.fleet.tunnel_peers import AVOIDED_S, TunnelPeers, usable_peers
from lagoonlever.http.messages import Address
from lagoonlever.identity import Incarnation


def peer(number: int, **more: object) -> PeerState:
    state = PeerState(
        life=Incarnation(name=f"vm-{number}", started_ms=1, nonce=number),
        data_center="dc-0",
        callers=Address(host="10.0.0.1", port=number),
        bus=Address(host="10.0.0.1", port=1_000 + number),
    )
    return attrs.evolve(state, **more)  # type: ignore[arg-type]


def test_vms_that_are_cut_off_or_leave_or_know_nothing_are_not_used() -> None:
    states = [
        peer(1),
        peer(2, cut_off=True),
        peer(3, leaving=True),
        peer(4, takes_callers=False),
    ]
    assert [state.life.name for state in usable_peers(states)] == ["vm-1"]


def test_a_vm_that_gave_no_tunnel_is_passed_over_for_a_while() -> None:
    peers = TunnelPeers(rng=random.Random(1))
    states = [peer(1), peer(2)]
    peers.record_failure("vm-1", 0.0)
    assert [s.life.name for s in peers.draw(states, 0.1, count=2)] == ["vm-2"]
    assert len(peers.draw(states, AVOIDED_S, count=2)) == 2


def test_vms_that_gave_no_tunnel_are_asked_again_where_no_other_is_left() -> None:
    """The only VM that could help was late once, and callers were refused for a second."""
    peers = TunnelPeers(rng=random.Random(1))
    states = [peer(1), peer(2)]
    peers.record_failure("vm-1", 0.0)
    peers.record_failure("vm-2", 0.1)
    assert [s.life.name for s in peers.draw(states, 0.2, count=2)] == ["vm-1", "vm-2"]
    assert [s.life.name for s in peers.draw(states, 0.2, count=1)] == ["vm-1"]
    assert [s.life.name for s in peers.draw(states[1:], 0.2, count=2)] == ["vm-2"]
    assert [s.life.name for s in peers.draw(states, AVOIDED_S, count=2)] == ["vm-1"]


@pytest.mark.parametrize(("vms", "reaching"), [(9, 3), (75, 25), (195, 60), (300, 100)])
def test_the_vms_that_are_left_share_what_the_others_send(vms: int, reaching: int) -> None:
    """Two thirds of a fleet lose their paths; no VM that is left may carry far more than its part.

    Each VM that is cut off opens ten connections.
    """
    rng = random.Random(vms)
    states = [peer(number) for number in range(reaching)]
    carried: Counter[str] = Counter()
    for _ in range(vms - reaching):
        peers = TunnelPeers(rng=rng)
        for _ in range(10):
            carried[peers.draw(states, 0.0, count=1)[0].life.name] += 1
    mean = (vms - reaching) * 10 / reaching
    assert max(carried.values()) <= 2.5 * mean


def test_a_wide_link_carries_more_than_a_narrow_one() -> None:
    rng = random.Random(3)
    states = [peer(1, link_mbps=100.0), peer(2, link_mbps=5.0)]
    first = Counter(
        TunnelPeers(rng=rng).draw(states, 0.0, count=1)[0].life.name for _ in range(2_000)
    )
    assert 10 < first["vm-1"] / first["vm-2"] < 35


def test_callers_are_sent_past_vms_that_are_cut_off() -> None:
    peers, own = offered_vms(
        [peer(1), peer(2), peer(3, cut_off=True)], own_accepts=True, own_cut_off=True
    )
    assert [state.life.name for state in peers] == ["vm-1", "vm-2"]
    assert not own


def test_callers_are_sent_to_all_vms_where_few_are_left() -> None:
    """Six of nine VMs are cut off; three would have to take the callers of all."""
    states = [peer(number, cut_off=number < 6) for number in range(8)]
    peers, own = offered_vms(states, own_accepts=True, own_cut_off=False)
    assert len(peers) == 8
    assert own


def test_a_vm_that_takes_no_callers_is_never_offered_by_itself() -> None:
    peers, own = offered_vms([peer(1, cut_off=True)], own_accepts=False, own_cut_off=True)
    assert len(peers) == 1
    assert not own
