"""How soon every VM refuses a leaving target, and what the news of it cost, at 9 and 400 VMs.

The decision code of all VMs in virtual time; messages arrive in the next step.
"""

from __future__ import annotations

import random

import attrs

from lagoonlever.bench.report import Aim, BenchOptions, BenchResult, Rows, benchmark, column
from lagoonlever.bench.statistics import quantile
from lagoonlever.decisions.membership.listing import list_read_interval_s
from lagoonlever.decisions.membership.membership import Member, MemberState, MemberView
from lagoonlever.decisions.targets.listing import ListEntry, TargetListReading
from lagoonlever.decisions.targets.targets import TargetKind
from lagoonlever.decisions.targets.watch import (
    Send,
    TargetKnowledge,
    TargetLeavingNews,
    TargetListAnswer,
    TargetListAsk,
)
from lagoonlever.entry.targets.targets import ASK_PERIOD_S
from lagoonlever.http.messages import Address
from lagoonlever.identity import Incarnation
from lagoonlever.peers import messages_targets  # noqa: F401 - registers the messages
from lagoonlever.peers.messages import PEER

STEP_S = 0.1
SETTLE_S = 10.0
RUN_S = 20.0
LEAVES = 5
BOUND_S = 3.0
TARGETS = {9: 20, 400: 600}


@attrs.frozen(kw_only=True)
class Scenario:
    """Which share of the VMs can't read the list, and whether all VMs started at once.

    VMs that started at once read at nearly the same times for a long while.
    """

    title: str
    cut_share: float
    together: bool = False


SCENARIOS = (
    Scenario(title="all read the list", cut_share=0.0),
    Scenario(title="all read, started within a second", cut_share=0.0, together=True),
    Scenario(title="a third cut from the platform", cut_share=1 / 3),
    Scenario(title="all but one cut from the platform", cut_share=1.0),
)


@attrs.frozen(kw_only=True)
class NewsRow:
    """What one fleet did in one scenario."""

    vms: int = column("VMs", digits=0)
    scenario: str = column("scenario")
    last_refuses_s: float = column("last VM refuses after s", digits=1)
    age_p99_s: float = column("list age p99 s", digits=1)
    messages_per_s: float = column("messages sent /s a VM", digits=2)
    bytes_per_s: float = column("bytes sent /s a VM", digits=0)
    busiest_bytes_per_s: float = column("busiest VM", digits=0)


@benchmark("target-list", summary="time until all VMs refuse a leaving target, and its messages")
def run(options: BenchOptions) -> BenchResult:
    """Measure the news of leaving targets."""
    fleets = (9,) if options.quick else (9, 400)
    rows = tuple(measure(vms, scenario, options.seed) for vms in fleets for scenario in SCENARIOS)
    aims = tuple(
        Aim(
            text=f"last of {row.vms} VMs refuses, {row.scenario}",
            measured=row.last_refuses_s,
            bound=BOUND_S,
            unit="s",
        )
        for row in rows
    )
    notes = ("virtual time; bytes are the messages', without the transport's own",)
    return BenchResult(
        name="target-list",
        tables=(Rows(title="news of leaving targets", rows=rows),),
        aims=aims,
        notes=notes,
    )


def measure(vms: int, scenario: Scenario, seed: int) -> NewsRow:
    """Let targets leave one after the other in one fleet."""
    fleet = Fleet(vms=vms, scenario=scenario, rng=random.Random(seed))
    fleet.run(SETTLE_S)
    fleet.sent_bytes = [0] * vms
    fleet.sent_messages = 0
    ages: list[float] = []
    slowest_s = 0.0
    for index in range(LEAVES):
        slowest_s = max(slowest_s, fleet.leave(index))
        fleet.run(RUN_S / LEAVES)
        ages += fleet.ages()
    seconds = fleet.now - SETTLE_S
    return NewsRow(
        vms=vms,
        scenario=scenario.title,
        last_refuses_s=slowest_s,
        age_p99_s=quantile(ages, 0.99) or 0.0,
        messages_per_s=fleet.sent_messages / vms / seconds,
        bytes_per_s=sum(fleet.sent_bytes) / vms / seconds,
        busiest_bytes_per_s=max(fleet.sent_bytes) / seconds,
    )


@attrs.define(kw_only=True, eq=False)
class Fleet:
    """VMs, each with its knowledge, its period of reading and its phase of asking."""

    vms: int
    scenario: Scenario
    rng: random.Random
    now: float = 0.0
    sent_messages: int = 0
    sent_bytes: list[int] = attrs.field(init=False)
    _has_read: set[int] = attrs.field(factory=set)
    _listed: list[ListEntry] = attrs.field(init=False)
    _knowledge: list[TargetKnowledge] = attrs.field(init=False)
    _reads_at: list[float] = attrs.field(init=False)
    _asks_at: list[float] = attrs.field(init=False)
    _inboxes: list[list[object]] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.sent_bytes = [0] * self.vms
        self._inboxes = [[] for _ in range(self.vms)]
        self._reads_at = [self.rng.uniform(0, 1) for _ in range(self.vms)]
        self._asks_at = [self.rng.uniform(0, ASK_PERIOD_S) for _ in range(self.vms)]
        self._listed = [
            ListEntry(
                name=f"engine-{index}",
                address=Address(host="10.1.0.1", port=index),
                kind=TargetKind.ENGINE,
            )
            for index in range(TARGETS[self.vms])
        ]
        members = tuple(_member(index) for index in range(self.vms))
        self._knowledge = [
            TargetKnowledge(
                own=member.peers,
                rng=self.rng,
                members=MemberView(members=members, own=member.incarnation),
            )
            for member in members
        ]

    def run(self, seconds: float) -> None:
        """Run for some seconds."""
        for _ in range(round(seconds / STEP_S)):
            self._step()

    def leave(self, index: int) -> float:
        """List a target as leaving; gives the seconds until the last VM refuses it."""
        target = self._listed[index]
        self._listed[index] = attrs.evolve(target, leaving=True)
        listed_at = self.now
        while any(
            knowledge.may_dispatch(target.name, target.address, self.now)
            for knowledge in self._knowledge
        ):
            self._step()
        return self.now - listed_at

    def ages(self) -> list[float]:
        """Give the age of the list at each VM."""
        ages = (knowledge.list_age_s(self.now) for knowledge in self._knowledge)
        return [age for age in ages if age is not None]

    def _step(self) -> None:
        self.now += STEP_S
        inboxes, self._inboxes = self._inboxes, [[] for _ in range(self.vms)]
        for index, knowledge in enumerate(self._knowledge):
            for message in inboxes[index]:
                self._send(index, self._deliver(knowledge, message))
            if self.now >= self._reads_at[index]:
                self._read(index, knowledge)
            if self.now >= self._asks_at[index]:
                self._asks_at[index] = self.now + ASK_PERIOD_S
                self._send(index, knowledge.tick(self.now))

    def _read(self, index: int, knowledge: TargetKnowledge) -> None:
        self._reads_at[index] = self.now + self._until_next_read(index)
        readers = max(1, round(self.vms * (1 - self.scenario.cut_share)))
        if index >= readers and self.now > SETTLE_S / 2:
            return
        reading = TargetListReading(targets=tuple(self._listed), read_at=self.now)
        self._send(index, knowledge.on_list_read(reading))

    def _until_next_read(self, index: int) -> float:
        period_s = list_read_interval_s(self.vms, self.rng)
        first = index not in self._has_read
        self._has_read.add(index)
        if first and not self.scenario.together:
            return self.rng.uniform(0.0, period_s)
        return period_s

    def _deliver(self, knowledge: TargetKnowledge, message: object) -> list[Send]:
        match message:
            case TargetLeavingNews():
                return knowledge.on_leaving_update(message, self.now)
            case TargetListAsk():
                return knowledge.on_list_query(message, self.now)
            case TargetListAnswer():
                return knowledge.on_list_answer(message, self.now)
        return []

    def _send(self, sender: int, sends: list[Send]) -> None:
        for send in sends:
            self.sent_messages += 1
            self.sent_bytes[sender] += len(PEER.encode(send.message))
            self._inboxes[send.to.port].append(send.message)


def _member(index: int) -> Member:
    address = Address(host="10.0.0.1", port=index)
    return Member(
        incarnation=Incarnation(name=f"vm-{index}", started_ms=1, nonce=1),
        data_center="a",
        http=address,
        peers=address,
        state=MemberState.ALIVE,
    )
