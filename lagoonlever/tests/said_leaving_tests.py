"""Tests of targets that announce that they leave, while the list says otherwise."""

from __future__ import annotations

import attrs
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lagoonlever.decisions.targets.leave_announcements import FORGET_S
from lagoonlever.decisions.targets.listed_target import ListedTarget, TargetChange
from lagoonlever.decisions.targets.registry import TargetRegistry
from lagoonlever.http.messages import Address
from lagoonlever.revisions import Revision

TARGET = ListedTarget(
    id="t", service="apps", address=Address(host="t.example", port=80), data_center="a"
)


def test_an_announcement_before_the_first_entry_holds_for_its_process_only() -> None:
    """Guards against a new process without work, because its former process announced its leave."""
    listed = TargetRegistry()
    assert listed.record_leave_announcement("t", started_ms=1, now=0.0)
    entry = attrs.evolve(TARGET, started_ms=2)
    change = TargetChange(id="t", target=entry, revision=Revision(number=5))
    listed.apply_change(change, now=1.0, store_back_at=None)
    assert listed.takes_work("t")


class LeavingTarget(RuleBasedStateMachine):
    """A target restarts under its id, announces that it leaves, and is listed and unlisted."""

    def __init__(self) -> None:
        super().__init__()
        self.listed = TargetRegistry()
        self.now = 0.0
        self.number = 1
        self.start = 1
        self.entry: ListedTarget | None = None
        self.announced_at: dict[int, float] = {}

    def _write(self, entry: ListedTarget | None) -> None:
        self.now += 0.5
        self.number += 1
        self.entry = entry
        change = TargetChange(id="t", target=entry, revision=Revision(number=self.number))
        self.listed.apply_change(change, now=self.now, store_back_at=None)

    @rule()
    def list_it(self) -> None:
        self._write(attrs.evolve(TARGET, started_ms=self.start))

    @rule()
    def unlist_it(self) -> None:
        self._write(None)

    @rule()
    def restart(self) -> None:
        self.start += 1
        self._write(attrs.evolve(TARGET, started_ms=self.start))

    @rule(late=st.integers(0, 2))
    def announce_leave(self, late: int) -> None:
        """Announce a leave, perhaps late and of a former process."""
        process = max(1, self.start - late)
        self.listed.record_leave_announcement("t", started_ms=process, now=self.now)
        if process == self.start:
            self.announced_at.setdefault(process, self.now)

    @rule()
    def let_time_pass(self) -> None:
        self.now += 20.0
        self.listed.expire(self.now)
        if self.entry is None and self.now - self.announced_at.get(self.start, self.now) > FORGET_S:
            del self.announced_at[self.start]

    @invariant()
    def only_a_process_without_an_announcement_takes_work(self) -> None:
        expected = self.entry is not None and self.start not in self.announced_at
        assert self.listed.takes_work("t") == expected


TestLeavingTarget = LeavingTarget.TestCase
