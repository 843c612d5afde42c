"""The runs behind the membership benchmark: a steady fleet, deaths, cuts, loss and pauses."""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Callable
from random import Random

import attrs

from lagoonlever.bench.membership_network import Network, Node, node_address, node_name
from lagoonlever.bench.report import column
from lagoonlever.decisions.membership.membership import MemberState
from lagoonlever.decisions.membership.table import MemberTable, new_record
from lagoonlever.peers.frames import encode_header
from lagoonlever.peers.messages import PEER
from lagoonlever.peers.messages_membership import Gossip, MemberUpdate, Status
from lagoonlever.peers.traffic import MESSAGE_OVERHEAD_BYTES

STEP_S = 0.1
JOIN_S = 30.0
JOIN_S_PER_NODE = 0.4
"""After all nodes start at once, so long does news of the start ride on their messages."""
SETTLE_LIMIT_S = 120.0


@attrs.frozen(kw_only=True)
class SteadyCost:
    """What a node spends while nothing fails; bytes of ZeroMQ messages, without TCP and IP."""

    way: str = column("way")
    nodes: int = column("nodes", digits=0)
    sent_bytes_s: float = column("sent B/s a node", digits=0)
    received_bytes_s: float = column("received B/s a node", digits=0)
    messages_s: float = column("messages/s a node", digits=2)
    cpu_percent: float = column("% of a core a node", digits=3)


@attrs.frozen(kw_only=True)
class Spread:
    """How long until news is known, in seconds."""

    nodes: int = column("nodes", digits=0)
    deaths: int = column("deaths", digits=0)
    suspected_p50_s: float = column("suspected p50 s", digits=1)
    dead_p50_s: float = column("dead p50 s", digits=1)
    dead_p99_s: float = column("dead p99 s", digits=1)
    all_p50_s: float = column("dead at all p50 s", digits=1)
    leaving_s: float = column("leaving at all p50 s", digits=1)


@attrs.frozen(kw_only=True)
class CutResult:
    """A cut between a third of the nodes and the others, for a minute."""

    nodes: int = column("nodes", digits=0)
    settled_s: float | None = column("cut known to both sides s", digits=1)
    healed_s: float | None = column("whole again after heal s", digits=1)
    peak_bytes_s: float = column("peak sent B/s a node, over 1 s", digits=0)
    minute_bytes_s: float = column("sent B/s a node, over the 60 s after heal", digits=0)


@attrs.frozen(kw_only=True)
class FalseDeaths:
    """Verdicts on nodes that live, as one observer sees them, an hour of one node."""

    condition: str = column("condition")
    node_hours: float = column("node hours", digits=2)
    suspicions: float = column("false suspicions an hour a node", digits=1)
    deaths: float = column("false deaths an hour a node", digits=2)
    sent_bytes_s: float = column("sent B/s a node", digits=0)


def started(nodes: int, seed: int) -> Network:
    """Give a fleet that has found itself."""
    network = Network(random=Random(seed))
    for index in range(nodes):
        network.start(index)
    network.run(max(JOIN_S, JOIN_S_PER_NODE * nodes))
    return network


def steady(nodes: int, *, duration_s: float, seed: int) -> SteadyCost:
    """Measure a fleet in which nothing fails."""
    network = started(nodes, seed)
    running = list(network.nodes.values())
    for node in running:
        node.sent_bytes = node.received_bytes = node.sent_messages = 0
        node.busy_s = 0.0
    network.run(duration_s)
    node_seconds = nodes * duration_s
    return SteadyCost(
        way="probes on the overlay",
        nodes=nodes,
        sent_bytes_s=sum(node.sent_bytes for node in running) / node_seconds,
        received_bytes_s=sum(node.received_bytes for node in running) / node_seconds,
        messages_s=sum(node.sent_messages for node in running) / node_seconds,
        cpu_percent=100 * sum(node.busy_s for node in running) / node_seconds,
    )


def full_heartbeat(nodes: int, *, rounds: int, seed: int) -> SteadyCost:
    """Measure the baseline: each node tells every other once a second that it lives."""
    network = Network(random=Random(seed))
    table = MemberTable()
    sender = network.start(0)
    news = sender.protocol.own_update(0.0)
    table.put(new_record(news, 0.0))
    size = 0
    begun = time.process_time()
    for turn in range(rounds):
        for _ in range(nodes - 1):
            size = _beat(sender, news, table, float(turn))
    busy_s = time.process_time() - begun
    per_second = nodes - 1
    return SteadyCost(
        way="full heartbeat",
        nodes=nodes,
        sent_bytes_s=size * per_second,
        received_bytes_s=size * per_second,
        messages_s=per_second,
        cpu_percent=100 * busy_s / rounds,
    )


def _beat(sender: Node, news: MemberUpdate, table: MemberTable, now: float) -> int:
    """Encode, decode and take in one heartbeat, as a sender and a receiver would."""
    data = PEER.encode(Gossip(news=(news,)))
    head = encode_header(sender=sender.incarnation, expected=sender.incarnation, now=now, ttl_s=1.0)
    message = PEER.decode(data)
    assert isinstance(message, Gossip)
    record = table.find(message.news[0].incarnation)
    if record is not None:
        record.merge(message.news[0], now)
    return len(data) + len(head) + MESSAGE_OVERHEAD_BYTES


def deaths(nodes: int, *, kills: int, seed: int) -> Spread:
    """Kill one node after another, and let one leave after another."""
    network = started(nodes, seed)
    random = Random(seed)
    suspected: list[float] = []
    dead: list[float] = []
    at_all: list[float] = []
    leaving: list[float] = []
    for _ in range(kills):
        victim = random.choice(sorted(network.nodes))
        network.kill(victim)
        times = _until_state(network, victim, MemberState.DEAD, suspected)
        dead.extend(times)
        at_all.append(max(times))
        _return(network, victim)
        leaver = random.choice(sorted(network.nodes))
        network.nodes[leaver].protocol.leave(network.now)
        leaving.append(max(_until_state(network, leaver, MemberState.LEAVING, [])))
        network.stop(leaver)
        _return(network, leaver)
    return Spread(
        nodes=nodes,
        deaths=kills,
        suspected_p50_s=quantile(suspected, 0.5),
        dead_p50_s=quantile(dead, 0.5),
        dead_p99_s=quantile(dead, 0.99),
        all_p50_s=quantile(at_all, 0.5),
        leaving_s=quantile(leaving, 0.5),
    )


def _return(network: Network, index: int) -> None:
    network.start(index)
    network.run(_return_wait_s(network))


def _return_wait_s(network: Network) -> float:
    """Give a time to wait that keeps kills from falling into step with the probes."""
    return 15.0 + round(network.now * 7.3 % 1.0, 1)


def _until_state(
    network: Network, index: int, wanted: MemberState, suspected: list[float]
) -> list[float]:
    """Give for each other node the seconds until it sees the wanted state."""
    begun = network.now
    waiting = {node.index: node for node in network.nodes.values() if node.index != index}
    unsuspecting = set(waiting)
    times: list[float] = []
    while waiting and network.now - begun < SETTLE_LIMIT_S:
        network.run(STEP_S)
        for other, node in list(waiting.items()):
            if not node.protocol.changed:
                continue
            member = node.protocol.take_view(network.now).find_by_name(node_name(index))
            state = member.state if member else wanted
            if state is not MemberState.ALIVE and other in unsuspecting:
                unsuspecting.discard(other)
                suspected.append(network.now - begun)
            if state is wanted:
                times.append(network.now - begun)
                del waiting[other]
    return times + [SETTLE_LIMIT_S] * len(waiting)


def cut(nodes: int, *, seed: int) -> CutResult:
    """Cut a third off for a minute, and heal."""
    network = started(nodes, seed)
    side = set(range(0, nodes, 3))
    network.cut_off(side)
    settled_s = _until(network, lambda: _sees_sides(network, side))
    network.run(max(0.0, 60.0 - (settled_s or 60.0)))
    network.heal()
    for node in network.nodes.values():
        node.sent_bytes = 0
    begun = network.now
    peak = 0.0
    before = 0
    healed_s: float | None = None
    while network.now - begun < 60.0:
        network.run(1.0)
        total = sum(node.sent_bytes for node in network.nodes.values())
        peak = max(peak, (total - before) / nodes)
        before = total
        if healed_s is None and _sees_sides(network, set()):
            healed_s = network.now - begun
    return CutResult(
        nodes=nodes,
        settled_s=settled_s,
        healed_s=healed_s,
        peak_bytes_s=peak,
        minute_bytes_s=before / nodes / 60.0,
    )


def _sees_sides(network: Network, side: set[int]) -> bool:
    for node in network.nodes.values():
        same = side if node.index in side else set(network.nodes) - side
        alive = {member.name for member in node.protocol.take_view(network.now).alive}
        if alive != {node_name(index) for index in same}:
            return False
    return True


def _until(network: Network, reached: Callable[[], bool]) -> float | None:
    begun = network.now
    while network.now - begun < SETTLE_LIMIT_S:
        network.run(STEP_S * 5)
        if reached():
            return network.now - begun
    return None


def false_deaths(
    condition: str,
    *,
    nodes: int,
    duration_s: float,
    seed: int,
    loss: float = 0.0,
    pause_s: float = 0.0,
) -> FalseDeaths:
    """Count the verdicts on living nodes under loss, or while nodes are paused now and then."""
    network = started(nodes, seed)
    network.loss = loss
    random = Random(seed)
    suspicions = 0
    false_dead = 0
    states: dict[tuple[int, str], MemberState] = {}
    for node in network.nodes.values():
        node.sent_bytes = 0
    begun = network.now
    while network.now - begun < duration_s:
        if pause_s and random.random() < STEP_S:
            network.pause(random.randrange(nodes), pause_s)
        network.run(STEP_S)
        for node in network.nodes.values():
            if node.paused_until is not None or not node.protocol.changed:
                continue
            for member in node.protocol.take_view(network.now).members:
                former = states.get((node.index, member.name))
                states[node.index, member.name] = member.state
                if former is member.state:
                    continue
                suspicions += member.state is MemberState.SUSPECT
                false_dead += member.state is MemberState.DEAD
    hours = nodes * duration_s / 3600
    return FalseDeaths(
        condition=condition,
        node_hours=hours,
        suspicions=suspicions / nodes / hours,
        deaths=false_dead / nodes / hours,
        sent_bytes_s=sum(n.sent_bytes for n in network.nodes.values()) / nodes / duration_s,
    )


def table_megabytes(nodes: int) -> float:
    """Measure the memory of the table of one node, with its view, in MB."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    table = MemberTable()
    for index in range(nodes):
        table.put(new_record(_news(index), 0.0))
    view = tuple(record.member(0.0, default_load=0.0) for record in table)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(view) == nodes
    return (after - before) / 1e6


def _news(index: int) -> MemberUpdate:
    address = node_address(index)
    return MemberUpdate(
        name=node_name(index),
        started_ms=1_800_000_000_000 + index,
        nonce=index,
        data_center=f"dc-{index % 3}",
        http=str(address),
        peers=str(address),
        status=Status.ALIVE,
        version=0,
        leaving=False,
        load_percent=0,
        load_age_s=0,
    )


def quantile(values: list[float], share: float) -> float:
    """Give a quantile of some values by the nearest rank."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, round(share * (len(ordered) - 1)))]
