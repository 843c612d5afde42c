"""The membership protocol under failures, with each guard also turned off.

Where a test takes ``guarded``, it also shows that the failure occurs without the guard.
"""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from lagoonlever.bench.membership_network import Network, Node, node_address, node_name
from lagoonlever.decisions.membership.membership import MemberState
from lagoonlever.decisions.membership.protocol import ListedVm, MembershipProtocol
from lagoonlever.decisions.membership.table import MemberRecord
from lagoonlever.identity import Incarnation
from lagoonlever.peers.messages_membership import Gossip, Status

NODES = 6
SETTLE_S = 120
CHECK_INTERVAL_S = 0.1
GONE_STATES = (MemberState.LEAVING, MemberState.DEAD)


def states(network: Network, observer: int) -> dict[str, MemberState]:
    view = network.nodes[observer].protocol.take_view(network.now)
    return {member.name: member.state for member in view.members}


def fleet(size: int, *, seed: int = 1) -> Network:
    network = Network(random=Random(seed))
    for index in range(size):
        network.start(index)
    network.run(15)
    for index in range(size):
        assert set(states(network, index).values()) == {MemberState.ALIVE}
        assert len(states(network, index)) == size
    return network


@pytest.fixture
def deaths(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """Return a list to which a name is added whenever any VM marks that member as dead."""
    names: list[str] = []
    set_status = MemberRecord.set_status

    def record_death(record: MemberRecord, *, version: int, status: Status, now: float) -> None:
        if status is Status.DEAD:
            names.append(record.incarnation.name)
        set_status(record, version=version, status=status, now=now)

    monkeypatch.setattr(MemberRecord, "set_status", record_death)
    return names


class Failures(RuleBasedStateMachine):
    """Any failures in any order, during which the guarantees of the member views must hold.

    A leaving member never returns to work, a replaced incarnation never comes back, and once the
    failures are over all views agree with the running VMs.
    """

    def __init__(self) -> None:
        super().__init__()
        self.network = Network(random=Random(0))
        self.leaving: set[Incarnation] = set()
        self.was_leaving: dict[tuple[Incarnation, Incarnation], bool] = {}
        self.newest_by_name: dict[tuple[Incarnation, str], Incarnation] = {}

    @initialize(seed=st.integers(0, 2**32), late_s=st.sampled_from([0.0, 8.0]))
    def begin(self, seed: int, late_s: float) -> None:
        self.network = Network(random=Random(seed))
        for index in range(NODES):
            self.network.start(index, seeds=range(NODES))
        self.network.run(5)
        self.network.late_s = late_s

    def node(self, index: int) -> Node | None:
        return self.network.nodes.get(index)

    @rule(index=st.integers(0, NODES - 1))
    def kill(self, index: int) -> None:
        if self.node(index) is not None:
            self.network.kill(index)

    @rule(index=st.integers(0, NODES - 1))
    def start(self, index: int) -> None:
        if self.node(index) is None:
            self.network.start(index, seeds=range(NODES))

    @rule(index=st.integers(0, NODES - 1))
    def restart(self, index: int) -> None:
        if self.node(index) is not None:
            self.network.kill(index)
            self.network.start(index, seeds=range(NODES))

    @rule(index=st.integers(0, NODES - 1), duration_s=st.sampled_from([0.7, 3.0, 40.0]))
    def pause(self, index: int, duration_s: float) -> None:
        if self.node(index) is not None:
            self.network.pause(index, duration_s)

    @rule(index=st.integers(0, NODES - 1))
    def leave(self, index: int) -> None:
        node = self.node(index)
        if node is not None:
            node.protocol.leave(self.network.now)
            self.leaving.add(node.incarnation)

    @rule(index=st.integers(0, NODES - 1))
    def stop(self, index: int) -> None:
        if self.node(index) is not None:
            self.network.stop(index)

    @rule(observer=st.integers(0, NODES - 1), index=st.integers(0, NODES - 1))
    def listed_as_leaving(self, observer: int, index: int) -> None:
        node = self.node(observer)
        listed = self.node(index)
        if node is None or listed is None:
            return
        vm = ListedVm(name=node_name(index), peers=node_address(index), leaving=True)
        node.protocol.set_listed((vm,), self.network.now)
        node.protocol.set_listed((), self.network.now)

    @rule(side=st.sets(st.integers(0, NODES - 1), min_size=1, max_size=NODES - 1))
    def cut(self, side: set[int]) -> None:
        self.network.cut_off(side)

    @rule()
    def heal(self) -> None:
        self.network.heal()

    @rule(
        loss=st.sampled_from([0.0, 0.1, 0.4]),
        duplication=st.sampled_from([0.0, 0.2]),
        late_s=st.sampled_from([0.0, 8.0]),
    )
    def disturb(self, loss: float, duplication: float, late_s: float) -> None:
        self.network.loss = loss
        self.network.duplication = duplication
        self.network.late_s = late_s

    @rule(duration_s=st.sampled_from([0.3, 2.0, 10.0, 40.0]))
    def pass_time(self, duration_s: float) -> None:
        for _ in range(round(duration_s / CHECK_INTERVAL_S)):
            self.network.run(CHECK_INTERVAL_S)
            self.leaving_and_replaced_incarnations_never_come_back()

    @invariant()
    def leaving_and_replaced_incarnations_never_come_back(self) -> None:
        for node in self.network.nodes.values():
            for member in node.protocol.take_view(self.network.now).members:
                key = (node.incarnation, member.incarnation)
                leaving = member.state is MemberState.LEAVING
                assert member.state in GONE_STATES or not self.was_leaving.get(key, False)
                self.was_leaving[key] = leaving or self.was_leaving.get(key, False)
                name_key = (node.incarnation, member.name)
                newest = self.newest_by_name.get(name_key, member.incarnation)
                assert member.incarnation >= newest
                self.newest_by_name[name_key] = member.incarnation

    @precondition(lambda self: self.network.nodes)
    @rule()
    def settle(self) -> None:
        """Check that, without failures, every VM sees exactly the incarnations that run."""
        self.network.heal()
        self.disturb(0.0, 0.0, 0.0)
        self.network.run(SETTLE_S)
        running = {node.incarnation for node in self.network.nodes.values()}
        for node in self.network.nodes.values():
            view = node.protocol.take_view(self.network.now)
            seen = {m.incarnation for m in view.members if m.state is not MemberState.DEAD}
            assert seen == running
            assert MemberState.SUSPECT not in {m.state for m in view.members}
            for member in view.members:
                if member.incarnation in self.leaving & running:
                    assert member.state is MemberState.LEAVING

    def teardown(self) -> None:
        if self.network.nodes:
            self.settle()


TestFailures = Failures.TestCase
TestFailures.settings = settings(
    max_examples=25,
    stateful_step_count=20,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


@pytest.mark.parametrize("guarded", [True, False])
def test_two_sides_of_a_healed_partition_find_each_other(
    guarded: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Half of the VMs stay unused after a network partition has healed.

    The partition lasts until each side takes the other for dead. Dead members are not probed,
    so without contacts to them neither side would ever send a message to the other.
    """
    network = fleet(6)
    if not guarded:
        monkeypatch.setattr(MembershipProtocol, "_strangers", lambda _: [])
    network.cut_off({0, 1, 2})
    network.run(60)
    assert states(network, 0)[node_name(5)] is MemberState.DEAD
    assert states(network, 5)[node_name(0)] is MemberState.DEAD

    network.heal()
    network.run(60)
    everyone = {state for index in range(6) for state in states(network, index).values()}
    assert (everyone == {MemberState.ALIVE}) is guarded


@pytest.mark.parametrize("guarded", [True, False])
def test_a_healed_partition_marks_no_member_as_dead(
    guarded: bool, monkeypatch: pytest.MonkeyPatch, deaths: list[str]
) -> None:
    """The end of a network partition takes out more VMs than the partition did.

    Each side is told by the other that its own members are dead. If these verdicts are adopted
    at once, the member list becomes empty and callers are rejected.
    """
    if not guarded:
        monkeypatch.setattr(MemberRecord, "_status_to_take", lambda _, verdict: verdict.status)
    network = fleet(9)
    network.cut_off({0, 1, 2, 3})
    network.run(60)
    network.heal()
    deaths.clear()
    network.run(60)
    assert (deaths == []) is guarded


@pytest.mark.parametrize("guarded", [True, False])
def test_a_paused_vm_resumes_without_declaring_others_dead(
    guarded: bool, monkeypatch: pytest.MonkeyPatch, deaths: list[str]
) -> None:
    """A VM that was paused for a minute declares a live member dead to the whole fleet.

    It suspected a member when it was paused. When it resumes, the time of the suspicion has
    passed, and the member's answer was lost meanwhile, so it floods a false death.
    """
    if not guarded:
        monkeypatch.setattr(MembershipProtocol, "_distrust", lambda _self, _now: None)
    network = fleet(5)
    network.cut_off({0})
    for _ in range(100):
        network.run(0.1)
        if MemberState.SUSPECT in states(network, 0).values():
            break
    network.heal()
    network.pause(0, 60)
    network.run(70)
    assert (set(deaths) == {node_name(0)}) is guarded


def test_a_replaced_process_that_resumes_learns_that_it_was_replaced() -> None:
    """Two processes act under one VM's name after a replacement.

    A VM is paused, is replaced by a new incarnation of the same name, and resumes. It must learn
    that it was replaced and send nothing more; the new incarnation must not be affected.
    """
    network = fleet(4)
    former = network.nodes[3]
    network.kill(3)
    network.run(10)
    replacement = network.start(3)
    network.run(20)

    resumed = former.protocol
    resumed.tick(network.now, paused_s=30)
    for _ in range(30):
        network.run(0.5)
        resumed.tick(network.now)
        for send in resumed.take_sends():
            target = next(n for n in network.nodes.values() if n.address == send.to)
            target.protocol.receive(send.message, network.now)
            for answer in target.protocol.take_sends():
                resumed.receive(answer.message, network.now)
    assert resumed.silent
    assert resumed.take_view(network.now).superseded
    for index in range(4):
        view = network.nodes[index].protocol.take_view(network.now)
        assert view.find(replacement.incarnation) is not None
        assert view.is_replaced(former.incarnation)


def test_a_listing_marks_only_an_incarnation_that_is_old_enough() -> None:
    """A new VM gets no work because the platform's list still describes its predecessor.

    The list lags: it lists the former incarnation at this address as leaving. Leaving cannot be
    undone, so a mark on the new incarnation would stay for ever.
    """
    network = fleet(3)
    listed = ListedVm(name=node_name(2), peers=node_address(2), leaving=True)
    network.nodes[0].protocol.set_listed((listed,), network.now)
    network.run(2)
    assert states(network, 1)[node_name(2)] is MemberState.ALIVE

    network.run(30)
    network.nodes[0].protocol.set_listed((listed,), network.now)
    network.run(1)
    for index in range(3):
        assert states(network, index)[node_name(2)] is MemberState.LEAVING


def test_leaving_reaches_all_vms_within_three_seconds_despite_loss() -> None:
    network = fleet(27)
    network.loss = 0.1
    network.nodes[5].protocol.leave(network.now)
    network.run(3)
    assert {states(network, i)[node_name(5)] for i in range(27)} == {MemberState.LEAVING}


def test_a_late_update_reverts_nothing() -> None:
    """A VM that left, or an incarnation that was replaced, gets new work again.

    A message that was delayed describes an earlier state. It reaches a VM that has the newer
    state already.
    """
    network = fleet(3)
    observer, other = network.nodes[0].protocol, network.nodes[2]
    late = Gossip(news=(other.protocol.own_update(network.now),))
    other.protocol.leave(network.now)
    network.run(1)
    observer.receive(late, network.now)
    assert states(network, 0)[other.incarnation.name] is MemberState.LEAVING

    network.kill(2)
    replacement = network.start(2)
    network.run(2)
    observer.receive(late, network.now)
    view = observer.take_view(network.now)
    assert view.find(replacement.incarnation) is not None
    assert view.is_replaced(other.incarnation)


def test_an_unknown_load_counts_as_the_mean_of_the_known_loads() -> None:
    network = fleet(4)
    loads = [0.2, 0.4, 0.6, 0.8]
    for index, load in enumerate(loads):
        network.nodes[index].protocol.set_load(load)
    network.run(20)
    view = network.nodes[0].protocol.take_view(network.now)
    assert [round(member.load, 2) for member in view.members] == loads

    later = network.now + 1000
    network.nodes[0].protocol.tick(later)
    view = network.nodes[0].protocol.take_view(later)
    assert {round(member.load, 2) for member in view.members} == {0.2}


def test_a_vm_that_no_helper_answers_raises_its_timeouts() -> None:
    """A VM with a broken link declares all others dead as fast as if they were.

    Its probes fail, and so do those that it asks helpers for. That no helper answers suggests
    that its own link is at fault. A VM whose helpers answer that a member is silent has no such
    reason to raise its timeouts.
    """
    network = fleet(6)
    network.kill(5)
    network.cut_off({0})
    network.run(8)
    assert network.nodes[0].protocol.health_factor > 1
    assert {network.nodes[index].protocol.health_factor for index in range(1, 5)} == {1}

    network.heal()
    network.run(60)
    assert network.nodes[0].protocol.health_factor == 1
