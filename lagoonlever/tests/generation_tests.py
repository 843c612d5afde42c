"""The life of a generation: whatever breaks when, the released tokens are one answer's prefix."""

from __future__ import annotations

import attrs
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from lagoonlever.decisions.streams.generation import GenerationLife
from lagoonlever.decisions.streams.generation_messages import (
    BreakCause,
    Decision,
    Dispatch,
    Finish,
    ResumePoint,
)
from lagoonlever.decisions.streams.resume import HeldAnswer, point_of_held
from lagoonlever.fakes.tokens import (
    expected_output,
)
from lagoonlever.outcomes import Done, Failed, NotRun, Reason, Unknown
from lagoonlever.tests.generation_harness import (
    LENGTH,
    PROMPT,
    SEED,
    Harness,
    expected,
    life,
    spec,
)


class KeepsLateTokens(GenerationLife):
    """The guard off: an attempt that was given up is still believed."""

    def chunk(self, *, attempt: int, **values: object) -> list[Decision]:
        return super().chunk(
            attempt=attempt if attempt in self._live else min(self._live), **values
        )


class ForgetsThePrefix(GenerationLife):
    """The guard off: an engine goes on from the prompt alone."""

    def _dispatch(self, **options: object) -> Dispatch:
        return attrs.evolve(super()._dispatch(**options), prefix=())


class TakesAnyVersion(GenerationLife):
    """The guard off: an engine with another version goes on with the answer."""

    def opened(self, *, model_version: str, **values: object) -> list[Decision]:
        return super().opened(model_version="v1", **values)


def thaw_at(offset: int, cls: type[GenerationLife]) -> list[int]:
    """Freeze an engine at an offset, go on elsewhere, and thaw it in the middle of that."""
    harness = Harness(life(cls)).begin()
    frozen = harness.newest()
    harness.step(frozen, offset)
    harness.carry_out(harness.life.declared_dead(attempt=frozen.dispatch.attempt))
    harness.step(harness.newest(), 2)
    harness.step(frozen, 3)
    harness.run_out()
    return harness.released


@pytest.mark.parametrize("offset", range(LENGTH))
def test_a_thawed_engine_adds_nothing(offset: int) -> None:
    """A dealer reads a sentence twice in a lot's summary.

    The engine froze, its stream went on at another engine, then it thawed and its
    late tokens were appended. Tokens count only from a live attempt.
    """
    assert thaw_at(offset, GenerationLife) == list(expected())


def test_without_the_guard_a_thawed_engine_shows() -> None:
    broken = 0
    for offset in range(1, LENGTH - 4):
        try:
            broken += thaw_at(offset, KeepsLateTokens) != list(expected())
        except AssertionError:
            broken += 1
    assert broken


def kill_at(offset: int, cls: type[GenerationLife]) -> list[int]:
    harness = Harness(life(cls)).begin()
    harness.step(harness.newest(), offset)
    attempt = harness.newest().dispatch.attempt
    harness.carry_out(harness.life.broken(attempt=attempt, cause=BreakCause.BROKEN))
    harness.run_out()
    return harness.released


@pytest.mark.parametrize("offset", range(LENGTH))
def test_a_killed_engine_loses_and_repeats_nothing(offset: int) -> None:
    """A district digest lacks a word, or has one twice, where its engine died.

    The engine dies after any token, also within a character of several tokens. The
    next one must go on from exactly the released tokens.
    """
    assert kill_at(offset, GenerationLife) == list(expected())


def test_without_the_prefix_a_killed_engine_shows() -> None:
    outputs = []
    for offset in range(3, 6):
        try:
            outputs.append(kill_at(offset, ForgetsThePrefix))
        except AssertionError:
            outputs.append([])
    assert list(expected()) not in outputs


def version_changes(cls: type[GenerationLife]) -> Harness:
    harness = Harness(life(cls, spec=spec(accepts_restart=True)), versions=["v1", "v2"]).begin()
    harness.step(harness.newest(), 7)
    first = harness.newest().dispatch.attempt
    harness.carry_out(harness.life.broken(attempt=first, cause=BreakCause.BROKEN))
    harness.step(harness.newest())
    return harness


def test_another_model_version_never_goes_on_with_an_answer() -> None:
    """A price changes its meaning in mid-digest.

    The engine died during a rollout and the next one runs the new version. Its
    stream is dropped before its first token; only the same version may go on.
    """
    harness = version_changes(GenerationLife)
    harness.run_out()
    assert harness.released == list(expected())


def test_without_the_version_check_a_mixture_shows() -> None:
    harness = version_changes(TakesAnyVersion)
    harness.run_out()
    assert harness.released != list(expected())


def test_a_new_generation_is_told_where_no_engine_can_go_on() -> None:
    """An analyst reads a digest whose halves contradict each other.

    The last engine of the answer's version died. A new generation is begun, but
    the caller is told that what it holds is void.
    """
    harness = Harness(life(spec=spec(accepts_restart=True))).begin()
    harness.step(harness.newest(), 9)
    for cause in (BreakCause.BROKEN, BreakCause.NO_TARGET, BreakCause.NO_TARGET):
        attempt = harness.newest().dispatch.attempt
        harness.carry_out(harness.life.broken(attempt=attempt, cause=cause))
    assert harness.restarts == 1
    harness.newest().version = "v2"
    harness.newest().__attrs_post_init__()
    harness.run_out()
    seed = harness.newest().dispatch.seed
    assert seed != SEED
    assert harness.released == list(expected(version="v2", seed=seed))


def test_a_caller_that_knows_no_restart_gets_failed_instead() -> None:
    harness = Harness(life()).begin()
    harness.step(harness.newest(), 9)
    for cause in (BreakCause.BROKEN, BreakCause.NO_TARGET, BreakCause.NO_TARGET):
        attempt = harness.newest().dispatch.attempt
        harness.carry_out(harness.life.broken(attempt=attempt, cause=cause))
    assert isinstance(harness.finish, Finish)
    assert isinstance(harness.finish.outcome, Failed)


def test_not_run_is_told_only_while_nothing_was_sent() -> None:
    """A clerk is told "not run" and asks again, and the work is done twice.

    Only a failed connect proves that the engine has nothing; once a request was
    written, the honest word is unknown.
    """
    unsent = life()
    (first,) = unsent.start()
    assert isinstance(first, Dispatch)
    end = unsent.abandon(reason=Reason.DEADLINE, message="late")[-1]
    assert isinstance(end, Finish) and isinstance(end.outcome, NotRun)
    sent = Harness(life()).begin()
    end = sent.life.abandon(reason=Reason.DEADLINE, message="late")[-1]
    assert isinstance(end, Finish) and isinstance(end.outcome, Unknown)


def test_an_engine_that_refused_a_connection_is_not_chosen_again() -> None:
    """A digest fails although a healthy engine stands beside the dead ones.

    The stream's engine froze; the next choice fell on a dead engine that is still
    listed. Its connects failed one after the other until the attempts were used up.
    """
    life_ = life()
    (first,) = life_.start()
    assert isinstance(first, Dispatch)
    life_.placed(attempt=first.attempt, target="dead")
    (second,) = life_.broken(attempt=first.attempt, cause=BreakCause.CONNECT_FAILED)
    assert isinstance(second, Dispatch)
    assert second.avoid == {"dead"}


def test_a_stop_string_across_the_resume_point_still_stops() -> None:
    """A summary runs on past its end marker because the engine died within the marker."""
    whole = expected_output(model_version="v1", prompt=PROMPT, max_tokens=LENGTH, seed=SEED)
    stop = whole.text[8:16]
    cut = whole.text.index(stop)
    for offset in range(1, 12):
        harness = Harness(life(spec=spec(stop=(stop,)))).begin()
        harness.step(harness.newest(), offset)
        if harness.finish is None:
            attempt = harness.newest().dispatch.attempt
            harness.carry_out(harness.life.broken(attempt=attempt, cause=BreakCause.BROKEN))
        harness.run_out()
        assert harness.life.answer is not None
        assert harness.life.answer.text == whole.text[:cut]


class GenerationMachine(RuleBasedStateMachine):
    """Engines step, die, freeze, thaw and refuse in any order; the caller moves between VMs."""

    def __init__(self) -> None:
        super().__init__()
        self.harness = Harness(life(spec=spec(accepts_restart=True)), versions=["v1", "v1", "v2"])
        self.harness.begin()

    def _going_on(self) -> bool:
        return self.harness.finish is None

    @precondition(_going_on)
    @rule(pick=st.integers(0, 7), times=st.integers(1, 4))
    def some_engine_sends(self, pick: int, times: int) -> None:
        streams = list(self.harness.streams.values())
        self.harness.step(streams[pick % len(streams)], times)

    @precondition(_going_on)
    @rule(times=st.integers(1, 6))
    def newest_engine_sends(self, times: int) -> None:
        self.harness.step(self.harness.newest(), times)

    @precondition(_going_on)
    @rule(cause=st.sampled_from(BreakCause))
    def an_attempt_breaks(self, cause: BreakCause) -> None:
        attempt = self.harness.life.live_attempts[0]
        self.harness.carry_out(self.harness.life.broken(attempt=attempt, cause=cause))

    @precondition(_going_on)
    @rule(dead=st.booleans())
    def an_engine_freezes(self, dead: bool) -> None:
        attempt = self.harness.life.live_attempts[0]
        decide = self.harness.life.declared_dead if dead else self.harness.life.suspected
        self.harness.carry_out(decide(attempt=attempt))

    @precondition(_going_on)
    @rule()
    def the_vm_dies_and_the_caller_returns(self) -> None:
        answer = self.harness.life.answer
        if answer is None or not answer.pieces:
            return
        last = answer.pieces[-1]
        held = HeldAnswer(
            model_version=answer.model_version,
            prompt_token_ids=PROMPT,
            token_ids=answer.token_ids,
        )
        point = point_of_held(self.harness.life.spec, held, last.event_id)
        assert isinstance(point, ResumePoint)
        old = self.harness
        self.harness = Harness(life(spec=old.life.spec, resume_point=point), versions=["v1", "v2"])
        self.harness.released = old.released
        self.harness.restarts = old.restarts
        self.harness.begin()

    @precondition(lambda self: self.harness.finish is not None)
    @rule()
    def the_next_request_begins(self) -> None:
        self.__init__()

    @invariant()
    def released_is_a_prefix_of_one_answer(self) -> None:
        life_ = self.harness.life
        if life_.answer is None:
            assert not self.harness.released
            return
        whole = expected(version=life_.answer.model_version, seed=life_.seed)
        assert tuple(self.harness.released) == whole[: len(self.harness.released)]

    @invariant()
    def done_means_whole(self) -> None:
        finish = self.harness.finish
        if finish is not None and isinstance(finish.outcome, Done):
            assert len(self.harness.released) == LENGTH


TestGenerationMachine = GenerationMachine.TestCase
TestGenerationMachine.settings = settings(max_examples=100, stateful_step_count=40, deadline=None)
