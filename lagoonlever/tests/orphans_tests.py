"""Tests of orphaned streams: cancelled once, after the grace time, and not while their VM lives."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test

from lagoonlever.decisions.membership.membership import Member, MemberState, MemberView
from lagoonlever.decisions.streams import orphans
from lagoonlever.decisions.streams.orphans import (
    GRACE_S,
    RECORD_AFTER_S,
    OrphanRegistry,
    StreamRecord,
    StreamReporter,
)
from lagoonlever.http.messages import Address
from lagoonlever.identity import Incarnation

ADDRESS = Address(host="127.0.0.1", port=1)
NAMES = ("a", "b", "c")
STREAMS = ("s1", "s2", "s3")


def incarnation(name: str, started_ms: int = 1) -> Incarnation:
    return Incarnation(name=name, started_ms=started_ms, nonce=1)


def view(states: dict[Incarnation, MemberState]) -> MemberView:
    members = tuple(
        Member(incarnation=each, data_center="d", http=ADDRESS, peers=ADDRESS, state=state)
        for each, state in states.items()
    )
    return MemberView(members=members, own=incarnation("holder"))


class OrphanMachine(RuleBasedStateMachine):
    """Owners die and are replaced, streams move between owners, and the holder pauses."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        self.incarnations = dict.fromkeys(NAMES, 1)
        self.states = {incarnation(name): MemberState.ALIVE for name in NAMES}
        self.lost_since: dict[Incarnation, float] = {}
        self.owners: dict[str, Incarnation] = {}
        self.holder = OrphanRegistry()

    @rule(stream=st.sampled_from(STREAMS), name=st.sampled_from(NAMES))
    def open(self, stream: str, name: str) -> None:
        owner = incarnation(name, self.incarnations[name])
        if self.states[owner] is MemberState.DEAD:
            return
        self.owners[stream] = owner
        record = StreamRecord(stream_id=stream, engine=ADDRESS)
        self.holder.add_record(record, owner=owner, now=self.now)

    @rule(stream=st.sampled_from(STREAMS), name=st.sampled_from(NAMES))
    def close(self, stream: str, name: str) -> None:
        owner = incarnation(name, self.incarnations[name])
        self.holder.remove_records([stream], owner=owner)
        if self.owners.get(stream) == owner:
            del self.owners[stream]

    @rule(name=st.sampled_from(NAMES), state=st.sampled_from(MemberState))
    def change(self, name: str, state: MemberState) -> None:
        owner = incarnation(name, self.incarnations[name])
        self.states[owner] = state
        if state is MemberState.DEAD:
            self.lost_since.setdefault(owner, self.now)
        else:
            self.lost_since.pop(owner, None)
        self.check()

    @rule(name=st.sampled_from(NAMES))
    def replace(self, name: str) -> None:
        """Restart a VM: its previous incarnation is over, whatever its last known state."""
        previous = incarnation(name, self.incarnations[name])
        self.incarnations[name] += 1
        del self.states[previous]
        self.states[incarnation(name, self.incarnations[name])] = MemberState.ALIVE
        self.lost_since.setdefault(previous, self.now)
        self.check()

    @rule(seconds=st.floats(0.5, GRACE_S))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.check()

    @rule(seconds=st.floats(1.0, 100.0))
    def pause(self, seconds: float) -> None:
        """Pause the holder, which meanwhile cannot learn whether owners are alive again."""
        self.now += seconds
        self.holder.discount_pause(seconds)
        self.lost_since = {owner: at + seconds for owner, at in self.lost_since.items()}
        self.check()

    def check(self) -> None:
        due = self.holder.pop_due(view(self.states), self.now)
        for record in due:
            owner = self.owners.pop(record.stream_id)
            assert owner in self.lost_since, "the stream of a live VM was cancelled"
            assert self.now - self.lost_since[owner] >= GRACE_S - 0.001, "cancelled too early"
        for stream, owner in self.owners.items():
            lost_s = self.now - self.lost_since.get(owner, self.now)
            assert lost_s < GRACE_S + 0.001, f"{stream} was not cancelled"
        assert self.holder.records == len(self.owners)


LIMITS = settings(max_examples=150, stateful_step_count=25)


def test_orphans_and_no_other_streams_are_cancelled_in_time() -> None:
    run_state_machine_as_test(OrphanMachine, settings=LIMITS)


def test_without_the_check_of_the_last_owner_a_record_is_lost(monkeypatch) -> None:
    """A previous owner reports the end of its stream, which continues under the next owner."""

    def remove_records(self, stream_ids, *, owner) -> None:
        for stream_id in stream_ids:
            self._records.pop(stream_id, None)

    monkeypatch.setattr(OrphanRegistry, "remove_records", remove_records)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(OrphanMachine, settings=LIMITS)


def test_without_the_grace_time_a_reconnecting_caller_loses_its_stream(monkeypatch) -> None:
    monkeypatch.setattr(orphans, "GRACE_S", 0.0)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(OrphanMachine, settings=LIMITS)


def test_only_long_streams_are_reported_and_each_end_only_once() -> None:
    reporter = StreamReporter()
    open_since = {"short": 10.0, "long": 5.0}
    now = 5.0 + RECORD_AFTER_S
    assert reporter.due_reports(open_since, now) == ["long"]
    reporter.record_report("long", incarnation("holder"))
    assert reporter.due_reports(open_since, now) == []
    assert reporter.pop_ended({"short": 10.0}) == [("long", incarnation("holder"))]
    assert reporter.pop_ended({}) == []
