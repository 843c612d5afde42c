"""State machine of one generation request: attempts, releases, resumes and the outcome.

It does no input or output: methods take what happened and return the decisions to carry
out. A token is released to the caller only if it comes from an open attempt of the current
generation and its offset is the next one. An attempt that continues an answer on another
engine starts from the prompt plus exactly the released token ids, so that nothing is lost
or repeated.
"""

from __future__ import annotations

import random

import attrs

from lagoonlever.decisions.streams.answer import Answer
from lagoonlever.decisions.streams.generation_messages import (
    NOTHING_TO_CANCEL,
    TARGET_NOT_TO_BLAME,
    CancelAttempt,
    Decision,
    Dispatch,
    FailureCause,
    Finish,
    GenerationLimits,
    GenerationSpec,
    Release,
    Restart,
    ResumePoint,
    generation_seed,
)
from lagoonlever.decisions.streams.packed_tokens import PackedTokens
from lagoonlever.decisions.targets.release import ReleaseBuffer
from lagoonlever.outcomes import Done, Failed, NotRun, Outcome, Reason, Unknown

COMPLETE_FINISH_REASONS = frozenset({"stop", "length"})
"""Finish reasons by which an engine reports a complete answer; any other one is a failure."""

ATTEMPT_RANDOM_BITS = 20
"""Number of low bits of an attempt number that are random.

They keep two VMs that both resume the same request from using the same attempt number.
"""

ATTEMPTS_WITHOUT_BACKOFF = 3
"""Number of first attempts that start without a backoff."""
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0


@attrs.define(kw_only=True)
class _Attempt:
    number: int
    generation: int
    start: int
    """Offset in the answer of the first token that this VM reads from the engine's stream."""
    stream_start: int
    """Offset in the answer at which the engine's stream begins.

    It is less than ``start`` if another VM read the first part of the stream.
    """
    buffer: ReleaseBuffer
    target: str = ""
    received: int = 0
    """Number of tokens received in this attempt, released or still buffered."""
    ended: bool = False
    answered: bool = False
    """Whether the engine's first chunk has arrived."""


class GenerationLifecycle:
    """State machine of one generation request.

    Each method applies one message or event and returns the decisions that follow from it.
    """

    def __init__(
        self,
        *,
        spec: GenerationSpec,
        limits: GenerationLimits,
        rng: random.Random,
        resume_point: ResumePoint | None = None,
        first_generation: int = 1,
        vm: str = "",
    ) -> None:
        self._spec = spec
        self._limits = limits
        self._rng = rng
        self._vm = vm
        self._generation = first_generation
        self._attempt_counter = 0
        self._seed = generation_seed(self._spec, self._generation)
        self._answer: Answer | None = None
        self._prompt_token_ids: PackedTokens | None = None
        self._open_attempts: dict[int, _Attempt] = {}
        self._avoided_targets: set[str] = set()
        self._retried_avoided = False
        self._attempts_started = 0
        self._any_attempt_sent = first_generation > 1
        self._finished: Finish | None = None
        self._resume_point = resume_point
        if resume_point is not None:
            self._restore(resume_point)

    @property
    def spec(self) -> GenerationSpec:
        """The request as the caller sent it."""
        return self._spec

    @property
    def generation(self) -> int:
        """The current generation, from 1."""
        return self._generation

    @property
    def answer(self) -> Answer | None:
        """The released tokens of the current generation; None before an engine's first chunk."""
        return self._answer

    @property
    def finished(self) -> Finish | None:
        """The final decision, or None while the request is still open."""
        return self._finished

    @property
    def seed(self) -> int:
        """The seed of the current generation."""
        return self._seed

    @property
    def prompt_token_ids(self) -> tuple[int, ...] | None:
        """The token ids of the prompt as reported by the generation's first engine, or None."""
        return None if self._prompt_token_ids is None else self._prompt_token_ids.ids

    @property
    def prompt_tokens(self) -> int:
        """The number of the prompt's tokens as reported by that engine; 0 before its report."""
        return 0 if self._prompt_token_ids is None else len(self._prompt_token_ids)

    @property
    def live_attempts(self) -> tuple[int, ...]:
        """The numbers of the open attempts, whose tokens may still be released."""
        return tuple(self._open_attempts)

    @property
    def released_tokens(self) -> int:
        """The number of tokens released in the current generation."""
        return self._answer.offset if self._answer else 0

    def drop_prompt(self) -> None:
        """Hold the digest of the prompt in its place; only once no attempt can follow."""
        self._spec = self._spec.without_prompt()

    def start(self) -> list[Decision]:
        """Start the first attempt, or reattach to the engine's stream at the resume point."""
        if self._has_all_tokens():
            return self._finish(Done(), "length")
        point = self._resume_point
        if point is None:
            return [self._dispatch()]
        first = self._dispatch(resume=True, number=point.attempt)
        self._open_attempts[point.attempt].stream_start = point.attempt_start
        return [
            attrs.evolve(
                first,
                reattach=True,
                reattach_target=point.target,
                reattach_after=self.released_tokens - point.attempt_start,
            )
        ]

    def record_target(self, *, attempt: int, target: str) -> None:
        """Record the engine that was chosen for an attempt; nothing is written to it yet."""
        if attempt in self._open_attempts:
            self._open_attempts[attempt].target = target

    def record_dispatch(self, *, attempt: int) -> None:
        """Record that an attempt is being written: from now on the engine may have run it."""
        if attempt in self._open_attempts:
            self._any_attempt_sent = True

    def on_opened(
        self, *, attempt: int, model_version: str, prompt_token_ids: tuple[int, ...]
    ) -> list[Decision]:
        """Handle an engine's first chunk, which has the model version and the prompt's token ids.

        An attempt of another model version than the answer is dropped: its tokens
        would continue the answer of a different model. The answer has the version of the first
        attempt that opened in this generation, or of the resume point.
        """
        current = self._open_attempts.get(attempt)
        if current is None:
            return []
        current.answered = True
        if self._answer is None:
            self._answer = self._start_answer(model_version)
            self._prompt_token_ids = PackedTokens.of(prompt_token_ids)
        if self._answer.model_version != model_version:
            return self.on_attempt_failed(attempt=attempt, cause=FailureCause.WRONG_VERSION)
        return []

    def on_chunk(
        self,
        *,
        attempt: int,
        token_ids: tuple[int, ...],
        text: str,
        finish_reason: str | None = None,
    ) -> list[Decision]:
        """Handle tokens received in an attempt; tokens of closed attempts are dropped.

        Otherwise, an engine that froze and recovered after its stream had been continued
        elsewhere would have its late tokens appended to those of the other engine.
        """
        current = self._open_attempts.get(attempt)
        answer = self._answer
        if current is None or answer is None or self._finished or current.ended:
            return []
        if current.start + current.received != answer.offset + current.buffer.held_tokens:
            return self.on_attempt_failed(attempt=attempt, cause=FailureCause.OUT_OF_ORDER)
        if finish_reason is not None and finish_reason not in COMPLETE_FINISH_REASONS:
            return self.on_attempt_failed(attempt=attempt, cause=FailureCause.ABORTED)
        current.received += len(token_ids)
        pieces = current.buffer.push(token_ids=token_ids, text=text)
        if finish_reason is not None:
            current.ended = True
            pieces += current.buffer.flush()
        decisions = self._cancel_all_except(attempt) if pieces or current.ended else []
        if pieces:
            released = tuple(
                answer.append(
                    piece,
                    attempt=attempt,
                    attempt_start=current.stream_start,
                    target=current.target,
                )
                for piece in pieces
            )
            decisions.append(Release(pieces=released))
            self._retried_avoided = False
        if current.buffer.stopped:
            return decisions + self._cancel(attempt) + self._finish(Done(), "stop")
        if current.ended:
            return decisions + self._finish(Done(), finish_reason)
        return decisions

    def on_attempt_failed(self, *, attempt: int, cause: FailureCause) -> list[Decision]:
        """Handle an attempt that ended before its answer was complete.

        The engine is avoided from now on unless the cause is no fault of its own. Another
        attempt is started if no attempt is open and the limits allow it.
        """
        current = self._open_attempts.pop(attempt, None)
        if current is None or self._finished:
            return []
        if current.target and cause not in TARGET_NOT_TO_BLAME:
            self._avoided_targets.add(current.target)
        decisions: list[Decision] = []
        if cause not in NOTHING_TO_CANCEL:
            decisions.append(CancelAttempt(attempt=attempt))
        if self._open_attempts:
            return decisions
        if cause is FailureCause.NO_TARGET:
            return decisions + self._handle_no_target()
        if self._attempts_started >= self._limits.attempts:
            return decisions + self._give_up(Reason.ATTEMPTS_EXHAUSTED, "every attempt broke")
        return [*decisions, self._dispatch(resume=True)]

    def on_not_admitted(self, *, attempt: int, answer: NotRun) -> list[Decision]:
        """Handle an attempt that was refused admission because no slot came free in time.

        A request of which nothing was sent ends with ``answer`` at once. A request that is
        being resumed is retried, because its released part would be lost otherwise.
        """
        if self._open_attempts.pop(attempt, None) is None or self._finished or self._open_attempts:
            return []
        if not self._any_attempt_sent:
            return self._finish(answer)
        if self._attempts_started >= self._limits.attempts:
            return self._give_up(answer.reason, answer.message)
        return [self._dispatch(resume=True)]

    def on_engine_suspected(self, *, attempt: int) -> list[Decision]:
        """Start a hedged attempt beside one whose engine is suspected to be dead.

        The first of them to produce tokens is kept and the other one is cancelled.
        """
        current = self._open_attempts.get(attempt)
        if (
            current is None
            or self._finished
            or len(self._open_attempts) > self._limits.resumes_within_hedge
        ):
            return []
        if self._attempts_started >= self._limits.attempts:
            return []
        return [self._dispatch(hedge=True, resume=True, avoid=frozenset({current.target}))]

    def on_engine_dead(self, *, attempt: int) -> list[Decision]:
        """Drop an attempt whose engine is declared dead, and continue on another engine."""
        return self.on_attempt_failed(attempt=attempt, cause=FailureCause.SILENT)

    def abandon(self, *, reason: Reason, message: str) -> list[Decision]:
        """Abandon the request: its caller left, its deadline passed, or another VM took it over."""
        if self._finished:
            return []
        decisions: list[Decision] = [
            CancelAttempt(attempt=number) for number in self._open_attempts
        ]
        self._open_attempts.clear()
        return decisions + self._give_up(reason, message)

    def _restore(self, point: ResumePoint) -> None:
        """Continue from the generation, attempt number and tokens of a resume point."""
        self._generation = point.generation
        self._attempt_counter = point.attempt >> ATTEMPT_RANDOM_BITS
        self._seed = generation_seed(self._spec, point.generation)
        self._prompt_token_ids = PackedTokens.of(point.prompt_token_ids)
        self._answer = self._start_answer(point.model_version)
        self._any_attempt_sent = True
        for piece in point.pieces:
            self._answer.append_released(piece)

    def _start_answer(self, model_version: str) -> Answer:
        """Return an empty answer of the current generation."""
        return Answer(
            request_id=self._spec.request_id,
            generation=self._generation,
            model_version=model_version,
            vm=self._vm,
        )

    def _has_all_tokens(self) -> bool:
        return self.released_tokens >= self._spec.max_tokens

    def _next_attempt_number(self) -> int:
        """Return a number that increases with each attempt and ends in random bits."""
        self._attempt_counter += 1
        drawn = self._rng.getrandbits(ATTEMPT_RANDOM_BITS)
        return (self._attempt_counter << ATTEMPT_RANDOM_BITS) | drawn

    def _dispatch(
        self,
        *,
        hedge: bool = False,
        resume: bool = False,
        avoid: frozenset[str] = frozenset(),
        number: int | None = None,
    ) -> Dispatch:
        """Open an attempt after the released tokens and return the decision to send it.

        ``avoid`` has engines to avoid in addition to those already avoided. ``number`` is set
        only to reattach to a stream that has that attempt number.
        """
        self._attempts_started += 1
        number = self._next_attempt_number() if number is None else number
        prefix = self._answer.token_ids if self._answer else ()
        self._open_attempts[number] = _Attempt(
            number=number,
            generation=self._generation,
            start=len(prefix),
            stream_start=len(prefix),
            buffer=ReleaseBuffer(stop=self._spec.stop),
        )
        return Dispatch(
            attempt=number,
            generation=self._generation,
            prefix=prefix,
            prompt_token_ids=self.prompt_token_ids,
            max_tokens=self._spec.max_tokens - len(prefix),
            seed=self._seed,
            model_version=self._answer.model_version if prefix and self._answer else None,
            avoid=frozenset(self._avoided_targets) | avoid,
            hedge=hedge,
            resume=resume,
            delay_s=self._backoff_s(),
        )

    def _backoff_s(self) -> float:
        """Return the delay before an attempt, which doubles with each one after the first few."""
        delayed_attempts = self._attempts_started - ATTEMPTS_WITHOUT_BACKOFF
        if delayed_attempts <= 0:
            return 0.0
        return min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2.0 ** (delayed_attempts - 1))

    def _cancel(self, attempt: int) -> list[Decision]:
        del self._open_attempts[attempt]
        return [CancelAttempt(attempt=attempt)]

    def _cancel_all_except(self, winner: int) -> list[Decision]:
        """Cancel every other open attempt, once one of a hedged pair has produced tokens."""
        if len(self._open_attempts) < 2:
            return []
        losers = [number for number in self._open_attempts if number != winner]
        for number in losers:
            del self._open_attempts[number]
        return [CancelAttempt(attempt=number) for number in losers]

    def _handle_no_target(self) -> list[Decision]:
        """Handle that no engine can be chosen for the next attempt.

        The avoided engines are tried once more. After that a new generation is started,
        unless tokens are released and the caller does not accept a restart.
        """
        if self._avoided_targets and not self._retried_avoided:
            self._avoided_targets.clear()
            self._retried_avoided = True
            if self._attempts_started < self._limits.attempts:
                return [self._dispatch(resume=True)]
        if self.released_tokens and not self._spec.accepts_restart:
            return self._give_up(Reason.NO_TARGET, "no engine has the answer's model version")
        if self._answer is not None and self._attempts_started < self._limits.attempts:
            return self._restart()
        return self._give_up(Reason.NO_TARGET, "no engine serves the model")

    def _restart(self) -> list[Decision]:
        """Start a new generation, and announce it if the caller has tokens of the present one."""
        had_released = self.released_tokens > 0
        self._generation += 1
        self._seed = generation_seed(self._spec, self._generation)
        self._answer = None
        self._prompt_token_ids = None
        self._avoided_targets.clear()
        self._retried_avoided = False
        decisions: list[Decision] = []
        if had_released:
            decisions.append(Restart(generation=self._generation))
        return [*decisions, self._dispatch()]

    def _give_up(self, reason: Reason, message: str) -> list[Decision]:
        """Finish without an answer.

        The outcome is "not run" only if no attempt was sent, as an engine may have run any
        attempt that was. It is "failed" if tokens were released and otherwise "unknown".
        """
        if not self._any_attempt_sent:
            return self._finish(NotRun(reason=reason, message=message, retry_after_s=1.0))
        if self.released_tokens:
            return self._finish(Failed(reason=reason, message=message))
        return self._finish(Unknown(reason=reason, message=message))

    def _finish(self, outcome: Outcome, finish_reason: str | None = None) -> list[Decision]:
        self._open_attempts.clear()
        self._finished = Finish(outcome=outcome, finish_reason=finish_reason)
        return [self._finished]
