"""Tests of the generation state machine.

Whatever fails and when, the released tokens are a prefix of one answer.
"""

from __future__ import annotations

import attrs
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from lagoonlever.decisions.streams.generation import GenerationLifecycle
from lagoonlever.decisions.streams.generation_messages import (
    Decision,
    Dispatch,
    FailureCause,
    Finish,
    ResumePoint,
)
from lagoonlever.decisions.streams.resume import HeldAnswer, resume_point_from_held
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
    lifecycle,
    spec,
)


class AcceptsLateTokens(GenerationLifecycle):
    """Fault: tokens of a closed attempt are accepted as those of an open one."""

    def on_chunk(self, *, attempt: int, **values: object) -> list[Decision]:
        return super().on_chunk(
            attempt=attempt if attempt in self._open_attempts else min(self._open_attempts),
            **values,
        )


class DropsPrefix(GenerationLifecycle):
    """Fault: an engine continues from the prompt without the released tokens."""

    def _dispatch(self, **options: object) -> Dispatch:
        return attrs.evolve(super()._dispatch(**options), prefix=())


class AcceptsAnyVersion(GenerationLifecycle):
    """Fault: an engine with another model version continues the answer."""

    def on_opened(self, *, model_version: str, **values: object) -> list[Decision]:
        return super().on_opened(model_version="v1", **values)


def released_with_freeze_at(offset: int, cls: type[GenerationLifecycle]) -> list[int]:
    """Return the tokens released if an engine freezes at ``offset`` and recovers later.

    It sends its late tokens while another engine continues the answer.
    """
    harness = Harness(lifecycle(cls)).begin()
    frozen = harness.newest()
    harness.step(frozen, offset)
    harness.carry_out(harness.lifecycle.on_engine_dead(attempt=frozen.dispatch.attempt))
    harness.step(harness.newest(), 2)
    harness.step(frozen, 3)
    harness.run_out()
    return harness.released


@pytest.mark.parametrize("offset", range(LENGTH))
def test_an_engine_that_recovers_adds_nothing(offset: int) -> None:
    """A caller receives a sentence twice.

    An engine froze and its stream was continued on another engine. Then it recovered, and its
    late tokens were appended. Only tokens of an open attempt may be released.
    """
    assert released_with_freeze_at(offset, GenerationLifecycle) == list(expected())


def test_accepting_late_tokens_corrupts_the_answer() -> None:
    broken = 0
    for offset in range(1, LENGTH - 4):
        try:
            broken += released_with_freeze_at(offset, AcceptsLateTokens) != list(expected())
        except AssertionError:
            broken += 1
    assert broken


def released_with_crash_at(offset: int, cls: type[GenerationLifecycle]) -> list[int]:
    harness = Harness(lifecycle(cls)).begin()
    harness.step(harness.newest(), offset)
    attempt = harness.newest().dispatch.attempt
    harness.carry_out(
        harness.lifecycle.on_attempt_failed(attempt=attempt, cause=FailureCause.BROKEN)
    )
    harness.run_out()
    return harness.released


@pytest.mark.parametrize("offset", range(LENGTH))
def test_a_crashed_engine_loses_and_repeats_nothing(offset: int) -> None:
    """An answer lacks a word, or has one twice, where its engine crashed.

    The engine crashes after any token, also within a character of several tokens. The next
    engine must continue from exactly the released tokens.
    """
    assert released_with_crash_at(offset, GenerationLifecycle) == list(expected())


def test_continuing_without_the_prefix_corrupts_the_answer() -> None:
    outputs = []
    for offset in range(3, 6):
        try:
            outputs.append(released_with_crash_at(offset, DropsPrefix))
        except AssertionError:
            outputs.append([])
    assert list(expected()) not in outputs


def harness_after_version_change(cls: type[GenerationLifecycle]) -> Harness:
    harness = Harness(
        lifecycle(cls, spec=spec(accepts_restart=True)), versions=["v1", "v2"]
    ).begin()
    harness.step(harness.newest(), 7)
    first = harness.newest().dispatch.attempt
    harness.carry_out(harness.lifecycle.on_attempt_failed(attempt=first, cause=FailureCause.BROKEN))
    harness.step(harness.newest())
    return harness


def test_another_model_version_never_continues_an_answer() -> None:
    """An answer changes its meaning in the middle.

    The engine crashed during a rollout and the next one runs the new version. Its stream must
    be dropped before its first token; only the same version may continue the answer.
    """
    harness = harness_after_version_change(GenerationLifecycle)
    harness.run_out()
    assert harness.released == list(expected())


def test_without_the_version_check_two_versions_are_mixed() -> None:
    harness = harness_after_version_change(AcceptsAnyVersion)
    harness.run_out()
    assert harness.released != list(expected())


def test_a_restart_is_announced_if_no_engine_can_continue() -> None:
    """The two halves of an answer contradict each other.

    The last engine of the answer's model version crashed, and a new generation is started. The
    caller must be told to discard the tokens that it has.
    """
    harness = Harness(lifecycle(spec=spec(accepts_restart=True))).begin()
    harness.step(harness.newest(), 9)
    for cause in (FailureCause.BROKEN, FailureCause.NO_TARGET, FailureCause.NO_TARGET):
        attempt = harness.newest().dispatch.attempt
        harness.carry_out(harness.lifecycle.on_attempt_failed(attempt=attempt, cause=cause))
    assert harness.restarts == 1
    harness.newest().version = "v2"
    harness.newest().__attrs_post_init__()
    harness.run_out()
    seed = harness.newest().dispatch.seed
    assert seed != SEED
    assert harness.released == list(expected(version="v2", seed=seed))


def test_a_caller_that_accepts_no_restart_gets_failed_instead() -> None:
    harness = Harness(lifecycle()).begin()
    harness.step(harness.newest(), 9)
    for cause in (FailureCause.BROKEN, FailureCause.NO_TARGET, FailureCause.NO_TARGET):
        attempt = harness.newest().dispatch.attempt
        harness.carry_out(harness.lifecycle.on_attempt_failed(attempt=attempt, cause=cause))
    assert isinstance(harness.finish, Finish)
    assert isinstance(harness.finish.outcome, Failed)


def test_not_run_is_reported_only_while_nothing_was_sent() -> None:
    """A caller receives "not run" and retries, and the work is done twice.

    Only a failed connect proves that the engine received nothing. Once a request was written,
    the outcome must be "unknown".
    """
    unsent = lifecycle()
    (first,) = unsent.start()
    assert isinstance(first, Dispatch)
    end = unsent.abandon(reason=Reason.DEADLINE, message="late")[-1]
    assert isinstance(end, Finish) and isinstance(end.outcome, NotRun)
    sent = Harness(lifecycle()).begin()
    end = sent.lifecycle.abandon(reason=Reason.DEADLINE, message="late")[-1]
    assert isinstance(end, Finish) and isinstance(end.outcome, Unknown)


def test_an_engine_that_refused_a_connection_is_not_chosen_again() -> None:
    """A request fails although one engine is healthy.

    The stream's engine froze, and the next choice was a dead engine that is still listed.
    Connections to it failed one after the other until the attempts were used up.
    """
    machine = lifecycle()
    (first,) = machine.start()
    assert isinstance(first, Dispatch)
    machine.record_target(attempt=first.attempt, target="dead")
    (second,) = machine.on_attempt_failed(attempt=first.attempt, cause=FailureCause.CONNECT_FAILED)
    assert isinstance(second, Dispatch)
    assert second.avoid == {"dead"}


def test_a_stop_string_across_the_resume_point_still_stops() -> None:
    """An answer continues past its stop string because the engine crashed within that string."""
    whole = expected_output(model_version="v1", prompt=PROMPT, max_tokens=LENGTH, seed=SEED)
    stop = whole.text[8:16]
    cut = whole.text.index(stop)
    for offset in range(1, 12):
        harness = Harness(lifecycle(spec=spec(stop=(stop,)))).begin()
        harness.step(harness.newest(), offset)
        if harness.finish is None:
            attempt = harness.newest().dispatch.attempt
            harness.carry_out(
                harness.lifecycle.on_attempt_failed(attempt=attempt, cause=FailureCause.BROKEN)
            )
        harness.run_out()
        assert harness.lifecycle.answer is not None
        assert harness.lifecycle.answer.text == whole.text[:cut]


class GenerationMachine(RuleBasedStateMachine):
    """Engines send, crash, freeze, recover and refuse in any order; the caller changes VMs."""

    def __init__(self) -> None:
        super().__init__()
        self.harness = Harness(
            lifecycle(spec=spec(accepts_restart=True)), versions=["v1", "v1", "v2"]
        )
        self.harness.begin()

    def _is_open(self) -> bool:
        return self.harness.finish is None

    @precondition(_is_open)
    @rule(pick=st.integers(0, 7), times=st.integers(1, 4))
    def some_engine_sends(self, pick: int, times: int) -> None:
        streams = list(self.harness.streams.values())
        self.harness.step(streams[pick % len(streams)], times)

    @precondition(_is_open)
    @rule(times=st.integers(1, 6))
    def newest_engine_sends(self, times: int) -> None:
        self.harness.step(self.harness.newest(), times)

    @precondition(_is_open)
    @rule(cause=st.sampled_from(FailureCause))
    def an_attempt_fails(self, cause: FailureCause) -> None:
        attempt = self.harness.lifecycle.live_attempts[0]
        self.harness.carry_out(
            self.harness.lifecycle.on_attempt_failed(attempt=attempt, cause=cause)
        )

    @precondition(_is_open)
    @rule(dead=st.booleans())
    def an_engine_freezes(self, dead: bool) -> None:
        attempt = self.harness.lifecycle.live_attempts[0]
        decide = (
            self.harness.lifecycle.on_engine_dead
            if dead
            else self.harness.lifecycle.on_engine_suspected
        )
        self.harness.carry_out(decide(attempt=attempt))

    @precondition(_is_open)
    @rule()
    def the_vm_crashes_and_the_caller_reconnects(self) -> None:
        answer = self.harness.lifecycle.answer
        if answer is None or not answer.pieces:
            return
        last = answer.pieces[-1]
        held = HeldAnswer(
            model_version=answer.model_version,
            prompt_token_ids=PROMPT,
            token_ids=answer.token_ids,
        )
        point = resume_point_from_held(self.harness.lifecycle.spec, held, last.event_id)
        assert isinstance(point, ResumePoint)
        previous = self.harness
        self.harness = Harness(
            lifecycle(spec=previous.lifecycle.spec, resume_point=point), versions=["v1", "v2"]
        )
        self.harness.released = previous.released
        self.harness.restarts = previous.restarts
        self.harness.begin()

    @precondition(lambda self: self.harness.finish is not None)
    @rule()
    def the_next_request_starts(self) -> None:
        self.__init__()

    @invariant()
    def released_is_a_prefix_of_one_answer(self) -> None:
        machine = self.harness.lifecycle
        if machine.answer is None:
            assert not self.harness.released
            return
        whole = expected(version=machine.answer.model_version, seed=machine.seed)
        assert tuple(self.harness.released) == whole[: len(self.harness.released)]

    @invariant()
    def done_means_complete(self) -> None:
        finish = self.harness.finish
        if finish is not None and isinstance(finish.outcome, Done):
            assert len(self.harness.released) == LENGTH


TestGenerationMachine = GenerationMachine.TestCase
TestGenerationMachine.settings = settings(max_examples=100, stateful_step_count=40, deadline=None)
