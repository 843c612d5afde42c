"""What the exchange of sums costs: bytes by slopes, processor time, and ways at 400 routers."""

from __future__ import annotations

import random
import time
import tracemalloc
from collections.abc import Callable, Sequence

import attrs

from lagoonlever.bench.report import column
from lagoonlever.decisions.admission.admission import Admission, AdmissionRequest
from lagoonlever.decisions.shares.exchange import LeafSum, SumsNews
from lagoonlever.decisions.shares.shares import ShareNode, ShareTree, leaf_key
from lagoonlever.decisions.shares.slots import PoolReport
from lagoonlever.identity import Incarnation
from lagoonlever.peers.messages import PEER
from lagoonlever.peers.messages_shares import message_of

ORGANISATIONS = 200
LARGE_ROUTERS = 400
ROUTERS_A_DATA_CENTRE = 100
BUDGET_BYTES_PER_S = 3000.0
"""Control bytes of a node: sent and received together, and shares are not all of it."""
FRAME_BYTES = 60
"""Frames and packet headers of a small message, assumed."""
GRID_SIDE = 20
TREE_CHILDREN = 4
MEMORY_PEERS = (0, 8, 32, 128)
BYTES_A_MEGABYTE = 1_000_000


@attrs.frozen(kw_only=True)
class WayRow:
    """One way to spread the sums over 400 routers."""

    way: str = column("way")
    messages: float = column("messages sent a round", digits=1)
    kilobytes: float = column("kB sent a round", digits=1)
    period_s: float = column("s a round at 3 kB/s", digits=1)
    age_s: float = column("s until all know", digits=1)


@attrs.frozen(kw_only=True)
class CostRow:
    """Processor time of one step with 200 organisations."""

    step: str = column("step, 200 organisations")
    microseconds: float = column("microseconds", digits=0)


@attrs.frozen(kw_only=True)
class MemoryRow:
    """Memory of one pool's admission with the sums of some peers, as traced."""

    peers: int = column("peers heard, 200 organisations", digits=0)
    megabytes: float = column("MB", digits=2)


@attrs.frozen(kw_only=True)
class Slopes:
    """Bytes of a message: fixed, and for each leaf."""

    fixed: float
    leaf: float

    def message(self, leaves: float) -> float:
        """Give the bytes of a message of some leaves with its frames."""
        return FRAME_BYTES + self.fixed + self.leaf * leaves


def measure_slopes() -> Slopes:
    """Encode messages of no and of 200 leaves with sums as after a day."""
    empty = len(PEER.encode(message_of("model", _news(0))))
    full = len(PEER.encode(message_of("model", _news(ORGANISATIONS))))
    return Slopes(fixed=empty, leaf=(full - empty) / ORGANISATIONS)


def ways_at_scale(slopes: Slopes) -> list[WayRow]:
    """Work out what each way to spread the sums costs a node at 400 routers."""
    all_leaves = slopes.message(ORGANISATIONS)
    sliced = slopes.message(ORGANISATIONS / GRID_SIDE)
    grid_messages = 3 * (GRID_SIDE - 1)
    tree_messages = TREE_CHILDREN + 1
    return [
        _way("each to each", LARGE_ROUTERS - 1, all_leaves, steps=1),
        _way("one aggregator a data centre", ROUTERS_A_DATA_CENTRE, all_leaves, steps=3),
        _way("tree of four children", tree_messages, all_leaves, steps=9),
        _way("gossip push-sum to one peer", 1, all_leaves, steps=18),
        _way("grid of 20 by 20, organisations sliced", grid_messages, sliced, steps=3),
    ]


def _way(name: str, messages: float, message_bytes: float, *, steps: int) -> WayRow:
    round_bytes = messages * message_bytes
    # As much comes in as goes out.
    period_s = 2 * round_bytes / BUDGET_BYTES_PER_S
    return WayRow(
        way=name,
        messages=messages,
        kilobytes=round_bytes / 1000,
        period_s=period_s,
        age_s=steps * period_s,
    )


def measure_memory(peers: Sequence[int] = MEMORY_PEERS) -> list[MemoryRow]:
    """Trace the memory of an admission that has heard so many peers, each with every leaf."""
    return [MemoryRow(peers=count, megabytes=_traced_megabytes(count)) for count in peers]


def _traced_megabytes(peers: int) -> float:
    tracemalloc.start()
    admission = _busy_admission()
    for number in range(peers):
        peer = Incarnation(name=f"peer-{number}", started_ms=1, nonce=number)
        _receive(admission, peer, 1.0)
    kept_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return kept_bytes / BYTES_A_MEGABYTE


def _busy_admission() -> Admission:
    nodes = [ShareNode(path="/")]
    paths = [f"/organisation-{number}" for number in range(ORGANISATIONS)]
    nodes.extend(ShareNode(path=path, weight=1.0, parent="/") for path in paths)
    admission = Admission(tree=ShareTree(nodes), limits={}, rng=random.Random(1))
    admission.set_report(PoolReport(slots=ORGANISATIONS, running=0))
    for path in paths * 2:
        admission.submit(_ask(path), 0.0)
    admission.poll(0.0)
    return admission


def measure_costs() -> list[CostRow]:
    """Time the steps of the decision with 200 organisations in demand at this VM and a peer."""
    admission = _busy_admission()
    peer = Incarnation(name="peer", started_ms=1, nonce=1)
    return [
        _timed("quota and ledger brought up to date", lambda now: admission.book.refresh(now)),
        _timed("news of a peer taken in", lambda now: _receive(admission, peer, now)),
        _timed("request queued, started and ended", lambda now: _one_request(admission, now)),
    ]


def _timed(step: str, act: Callable[[float], object]) -> CostRow:
    rounds = 50
    started = time.process_time()
    for number in range(rounds):
        act(1.0 + number)
    spent_s = time.process_time() - started
    return CostRow(step=step, microseconds=spent_s / rounds * 1e6)


def _receive(admission: Admission, peer: Incarnation, now: float) -> None:
    admission.receive(peer, _news(ORGANISATIONS, sequence=round(now)), now)


def _one_request(admission: Admission, now: float) -> None:
    admission.submit(_ask("/organisation-7"), now)
    for decision in admission.poll(now):
        admission.release(decision.ticket, now)


def _ask(path: str) -> AdmissionRequest:
    return AdmissionRequest(
        path=path, pool="model", prompt_tokens=100, max_tokens=100, deadline_s=600.0
    )


def _news(leaves: int, *, sequence: int = 100_000) -> SumsNews:
    rng = random.Random(sequence)
    return SumsNews(
        sequence=sequence,
        full=True,
        leaves=tuple(
            LeafSum(
                key=leaf_key(f"/organisation-{number}"),
                committed=rng.randrange(1_000_000, 100_000_000),
                running=rng.randrange(20),
                waiting=rng.randrange(20),
            )
            for number in range(leaves)
        ),
    )
