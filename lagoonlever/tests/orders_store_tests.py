"""What operators are told of their changes of wanted states, under lost and late answers."""

from __future__ import annotations

from collections.abc import Iterator

import attrs
import hypothesis.strategies as st
import pytest
import trio
from hypothesis import given, settings

from lagoonlever.decisions.orders.orders import WantedState
from lagoonlever.decisions.orders.wanted import (
    WantedConflict,
    WantedEdit,
    WantedEngines,
    WantedNotStored,
    WantedOutcome,
    WantedStored,
    WantedUndetermined,
    apply_edits,
)
from lagoonlever.entry.orders import store as orders_store
from lagoonlever.entry.orders.store import WANTED_KEY, WantedStore
from lagoonlever.exceptions import PlatformAnswerLost, PlatformError, PlatformUnavailable
from lagoonlever.store.port import Conflict, KeyRead, KeyValue, Swapped, SwapResult
from lagoonlever.tests.base import at

ENGINES = ("a", "b")
FATES = ("taken", "taken", "lost after it took effect", "late", "down")


@attrs.define
class Write:
    change: int
    expected_revision: int
    value: bytes


@attrs.define
class Line:
    """One key of the platform; each write has its fate, and a late one lands at the next read."""

    fates: Iterator[str]
    change: int = 0
    revision: int = 1
    value: bytes | None = None
    key_revision: int = 0
    late: list[Write] = attrs.field(factory=list)
    applied: set[int] = attrs.field(factory=set)
    unheard: set[int] = attrs.field(factory=set)
    """The changes of which an answer was lost."""

    async def get(self, key: str, *, stale_ok: bool = False) -> KeyRead:
        assert key == WANTED_KEY
        read = KeyRead(revision=at(self.revision), entry=self.entry())
        while self.late:
            self.apply(self.late.pop())
        return read

    async def compare_and_swap(
        self, key: str, *, expected_revision: int, value: bytes | None, lease: int = 0
    ) -> SwapResult:
        write = Write(self.change, expected_revision, value or b"")
        fate = next(self.fates)
        if fate == "down":
            raise PlatformUnavailable("down", step="test", peer="platform")
        if fate == "late":
            self.late.append(write)
        elif not self.apply(write) and fate == "taken":
            return Conflict(revision=at(self.revision), current=self.entry())
        if fate == "taken":
            return Swapped(revision=at(self.revision))
        self.unheard.add(self.change)
        raise PlatformAnswerLost("lost", step="test", peer="platform")

    def apply(self, write: Write) -> bool:
        if write.expected_revision != self.key_revision:
            return False
        self.revision += 1
        self.key_revision, self.value = self.revision, write.value
        self.applied.add(write.change)
        return True

    def entry(self) -> KeyValue | None:
        if self.value is None:
            return None
        return KeyValue(
            key=WANTED_KEY, value=self.value, revision=at(self.key_revision), created_revision=1
        )


@attrs.frozen
class Change:
    """One operator's; who ``looked`` some changes ago may have seen what has gone since."""

    engine: str
    role: str
    looked: int


changes = st.lists(
    st.builds(
        Change,
        engine=st.sampled_from(ENGINES),
        role=st.sampled_from(("both", "prefill", "decode")),
        looked=st.integers(0, 2),
    ),
    min_size=1,
    max_size=6,
)


async def follow(changes: list[Change], fates: Iterator[str]) -> None:
    """Make the changes one after the other, and hold each outcome to what happened."""
    line = Line(fates)
    store = WantedStore(platform=line, read_back_limit_s=0.0)
    seen = [WantedEngines()]
    for number, change in enumerate(changes):
        line.change = number
        before, looked = seen[-1], seen[max(0, len(seen) - 1 - change.looked)]
        edit = WantedEdit(
            engine=change.engine,
            expected=looked.engines.get(change.engine),
            wanted=WantedState(role=change.role),
        )
        outcome = await store.change([edit])
        await store.read()  # lands what is late
        after = (await store.read()).document
        judge(outcome, edit, before=before, after=after, line=line)
        seen.append(after)


def judge(
    outcome: WantedOutcome,
    edit: WantedEdit,
    *,
    before: WantedEngines,
    after: WantedEngines,
    line: Line,
) -> None:
    applied, found = line.change in line.applied, before.engines.get(edit.engine)
    if applied:
        assert found == edit.expected, "another's change was replaced unseen"
        assert after == apply_edits(before, [edit]), "another engine was changed as well"
    match outcome:
        case WantedStored():
            assert after.engines[edit.engine] == edit.wanted, "told stored, and it does not stand"
            assert outcome.made is applied
        case WantedConflict():
            assert not applied and found not in (edit.expected, edit.wanted)
        case WantedNotStored():
            assert not applied, "told that nothing was stored, and it was"
        case WantedUndetermined():
            assert line.change in line.unheard, "not known, though every answer was heard"


@settings(max_examples=150, deadline=None, report_multiple_bugs=False)
@given(changes=changes, data=st.data())
def operators_are_told_the_truth(changes: list[Change], data: st.DataObject) -> None:
    fates = iter(lambda: data.draw(st.sampled_from(FATES)), "")
    trio.run(follow, changes, fates)


def test_operators_are_told_the_truth() -> None:
    operators_are_told_the_truth()


def test_without_the_comparison_of_states_a_change_is_lost(monkeypatch: pytest.MonkeyPatch) -> None:
    """Two operators set one engine after the same look, and the first one's change vanishes."""
    monkeypatch.setattr(orders_store, "find_conflicts", lambda document, edits: ())
    with pytest.raises(AssertionError, match="replaced unseen"):
        operators_are_told_the_truth()


def test_a_lost_answer_taken_for_a_refusal_is_a_lie(monkeypatch: pytest.MonkeyPatch) -> None:
    """An operator is told that nothing was stored; the engine begins to load all the same."""
    monkeypatch.setattr(orders_store, "PlatformAnswerLost", ZeroDivisionError)
    monkeypatch.setattr(orders_store, "PlatformUnavailable", PlatformError)
    with pytest.raises(AssertionError, match="and it was"):
        operators_are_told_the_truth()
