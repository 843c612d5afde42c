"""Shares over several VMs: each test brings a failure about, and shows its guard needed."""

from __future__ import annotations

import random

import attrs
import pytest

from lagoonlever.bench.shares_model import SHARES, Organisation
from lagoonlever.bench.shares_run import SharesRun, entitlements, worst_error
from lagoonlever.decisions.shares import book as shares_book
from lagoonlever.decisions.shares.exchange import LeafSum, OwnSums, PeerSums, SumsNews
from lagoonlever.decisions.shares.ledger import ShareLedger
from lagoonlever.decisions.shares.shares import ShareNode, ShareTree, node_of
from lagoonlever.identity import Incarnation

LARGE = Organisation(path="/large", weight=3, long_part=0.0, prompt_tokens=50)
OTHER = Organisation(path="/other", weight=1, long_part=0.0, prompt_tokens=50)
ONE_SIDE = Organisation(
    path="/one-side", weight=2, routers=(8,), long_part=0.0, prompt_tokens=50, backlog=40
)


def flooded(*organisations: Organisation, warm_up_s: float = 30.0) -> SharesRun:
    run = SharesRun(
        kind=SHARES,
        organisations={one.path: one for one in organisations},
        rng=random.Random(7),
    )
    run.flooding = set(run.organisations)
    run.advance(warm_up_s)
    return run


def peer(*, started_ms: int = 1, name: str = "vm-1") -> Incarnation:
    return Incarnation(name=name, started_ms=started_ms, nonce=1)


def news(sequence: int, work: int, *, full: bool = True, running: int = 2) -> SumsNews:
    leaf = LeafSum(key=1, committed=work, running=running, waiting=3)
    return SumsNews(sequence=sequence, full=full, leaves=(leaf,))


def part_after_idling() -> float:
    """Give what an organisation takes of the pool when it comes back after a minute's rest."""
    run = flooded(LARGE, OTHER)
    run.flooding = {LARGE.path}
    run.advance(60.0)
    run.flooding = {LARGE.path, OTHER.path}
    run.advance(3.0)
    work = run.advance(15.0)
    return work[OTHER.path] / sum(work.values())


def test_an_idle_organisation_saves_up_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    """After a quiet lunch, one organisation's flood shuts out all others.

    Order: two share a pool, one rests for a minute, then floods again. It has used
    least of late, so without the guard it is served alone until it has caught up.
    """
    assert part_after_idling() < 0.3
    monkeypatch.setattr(ShareLedger, "_begin_waiting", lambda self, path: None)
    assert part_after_idling() > 0.42


def load_in_a_cut() -> float:
    """Give the largest load on the engines, a slot, while a third of the routers is cut off."""
    run = flooded(LARGE, OTHER)
    run.cut((0, 1, 2))
    loads = []
    for _ in range(30):
        run.advance(1.0)
        loads.append(run.pool.load)
    return max(loads) / run.pool.slots


def test_both_sides_of_a_cut_do_not_take_the_whole_pool(monkeypatch: pytest.MonkeyPatch) -> None:
    """Two data centres lose each other for a minute, and the engines' queues grow long.

    Each side no longer hears of the other's requests. Without the engines' reports it
    would take the slots for free, and send as many requests again.
    """
    assert load_in_a_cut() < 1.25
    monkeypatch.setattr(shares_book, "silent_part", lambda **_: 0.0)
    assert load_in_a_cut() > 1.4


def test_an_organisation_on_one_side_of_a_cut_keeps_its_share() -> None:
    """Callers that use one VM only are hit hardest when that VM is cut off.

    Their VM goes on sharing its slots out as if the others still asked for theirs.
    """
    run = flooded(LARGE, OTHER, ONE_SIDE)
    entitled = entitlements(run.organisations.values())
    run.cut((7, 8))
    run.advance(6.0)
    assert worst_error(run.advance(40.0), entitled) < 0.35
    run.cut(())
    run.advance(10.0)
    assert worst_error(run.advance(40.0), entitled) < 0.15


def test_slots_of_a_dead_router_come_back() -> None:
    """A VM dies with its streams, and part of the pool stays idle for good.

    Its peers hold its part while the engines still show its streams, and no longer.
    """
    run = flooded(LARGE, OTHER)
    run.kill(3)
    run.advance(20.0)
    idle = run.idle_slot_seconds
    run.advance(20.0)
    assert (run.idle_slot_seconds - idle) / (20.0 * run.pool.slots) < 0.05


def test_shares_follow_weights_though_callers_use_different_routers() -> None:
    run = flooded(LARGE, OTHER, ONE_SIDE)
    assert worst_error(run.advance(60.0), entitlements(run.organisations.values())) < 0.1


def test_repeated_late_and_lost_news_charge_each_use_once() -> None:
    peers = PeerSums()
    peers.receive(peer(), news(1, 100), 0.0)
    changes = [
        *peers.receive(peer(), news(2, 150), 1.0),
        *peers.receive(peer(), news(2, 150), 1.1),
        *peers.receive(peer(), news(1, 100), 1.2),
        *peers.receive(peer(), news(5, 400, full=False), 2.0),
    ]
    assert sum(change.work for change in changes) == 300


def test_a_new_life_of_a_vm_replaces_the_old_ones_demand() -> None:
    """A VM restarts, and its peers keep slots for requests that it lost.

    News of the former life that is still on its way must not bring them back.
    """
    peers = PeerSums()
    changes = peers.receive(peer(), news(9, 1000), 0.0)
    changes += peers.receive(peer(started_ms=2), news(1, 0, running=0), 1.0)
    changes += peers.receive(peer(), news(10, 1100), 1.1)
    assert sum(change.running for change in changes) == 0
    assert peers.live_count == 1


def test_a_pause_of_this_vm_is_no_silence_of_its_peers() -> None:
    """A VM wakes from a freeze of a minute and takes its peers for gone."""
    peers = PeerSums()
    peers.receive(peer(), news(1, 0), 0.0)
    peers.excuse(60.0)
    peers.age(60.5, silent_part=0.0)
    assert peers.live_count == 1
    peers.age(66.0, silent_part=0.0)
    assert peers.live_count == 0


def test_news_is_told_again_and_in_full_so_that_a_lost_message_does_no_harm() -> None:
    own = OwnSums()
    leaf = LeafSum(key=1, committed=0, running=0, waiting=1)
    told: list[float] = []
    own.due_news(0.0)
    own.update(leaf, 0.1)
    for step in range(1, 200):
        sums = own.due_news(step * 0.1)
        if sums is not None and sums.leaves:
            told.append(step * 0.1)
    assert told[0] <= 0.4
    assert len([at for at in told if at < 3.0]) >= 2
    assert len([at for at in told if at > 9.0]) >= 1


def test_an_unlimited_sibling_does_not_count_as_waiting_at_its_limit() -> None:
    """A node at its limit of running requests holds back the virtual time of all others."""
    nodes = [
        ShareNode(path="/"),
        ShareNode(path="/a", parent="/"),
        ShareNode(path="/b", parent="/"),
    ]
    ledger = ShareLedger(tree=ShareTree(nodes), max_running={"/a": 1})
    ledger.add_demand("/a", running=1, waiting=5)
    ledger.add_demand("/b", waiting=5)
    ledger.tick(0.0)
    for step in range(1, 100):
        ledger.commit("/b", 10.0)
        ledger.tick(step * 0.1)
    ledger.add_demand("/a", running=-1)
    assert ledger.lag_s("/a") == pytest.approx(0.0, abs=0.2)


def test_a_tree_tells_its_faults() -> None:
    root = ShareNode(path="/")
    for wrong in (
        [],
        [root, attrs.evolve(root, path="/b")],
        [root, ShareNode(path="/a", weight=0)],
    ):
        with pytest.raises(ValueError):
            ShareTree(wrong)


def test_the_roots_own_requests_are_told_under_the_root() -> None:
    """An operator's gauges name an organisation "//." that no settings know."""
    tree = ShareTree(
        [ShareNode(path="/", weight=1.0), ShareNode(path="/a", weight=1.0, parent="/")]
    )
    assert {node_of(path) for path in tree.children("/")} == {"/", "/a"}
    assert node_of(tree.leaf_of("/")) == "/"
    assert node_of("/a") == "/a"
