"""What the life of a generation is asked and answers: its request, causes and decisions."""

from __future__ import annotations

import enum

import attrs
import xxhash

from lagoonlever.decisions.streams.answer import ReleasedPiece
from lagoonlever.outcomes import Outcome

SEED_BITS = 31


@attrs.frozen(kw_only=True)
class GenerationSpec:
    """What the caller asked for; the same on whichever VM it is resumed."""

    request_id: str
    organisation: str
    model: str
    prompt: str | tuple[int, ...]
    max_tokens: int
    seed: int | None = None
    temperature: float = 1.0
    stop: tuple[str, ...] = ()
    sampling_json: str = "{}"
    """Further sampling options, passed to the engine as the caller gave them."""
    deadline_s: float | None = None
    accepts_restart: bool = False
    """The caller can tell a new generation from the one it holds part of."""


def seed_of(spec: GenerationSpec, generation: int) -> int:
    """Give the seed of a generation: the caller's for the first, else one any VM derives alike."""
    if spec.seed is not None and generation == 1:
        return spec.seed
    name = f"{spec.organisation}|{spec.request_id}|{generation}"
    return xxhash.xxh3_64_intdigest(name.encode()) >> (64 - SEED_BITS)


class BreakCause(enum.Enum):
    """Why an attempt ended without its answer's end."""

    CONNECT_FAILED = "connect-failed"
    NO_TARGET = "no-target"
    REFUSED = "refused"
    BROKEN = "broken"
    SILENT = "silent"
    WRONG_VERSION = "wrong-version"
    OUT_OF_ORDER = "out-of-order"
    ABORTED = "aborted"
    """The engine ended the stream without the answer's end, as after a cancel."""
    NOT_THERE = "not-there"
    """The engine no longer has the stream that should be taken up; it may take new work."""
    CALLED_BACK = "called-back"
    """This VM left the engine, which is not to blame: the stream is not wanted there any more."""


NOTHING_SENT = frozenset({BreakCause.CONNECT_FAILED, BreakCause.NO_TARGET})
"""Causes that prove that the engine received nothing."""

TARGET_NOT_TO_BLAME = frozenset(
    {BreakCause.NO_TARGET, BreakCause.NOT_THERE, BreakCause.CALLED_BACK}
)

NOTHING_TO_CANCEL = NOTHING_SENT | {BreakCause.REFUSED, BreakCause.NOT_THERE}


@attrs.frozen(kw_only=True)
class Dispatch:
    """Start an attempt: prompt plus ``prefix`` to an engine other than ``avoid``."""

    attempt: int
    generation: int
    prefix: tuple[int, ...]
    prompt_token_ids: tuple[int, ...] | None
    max_tokens: int
    seed: int
    model_version: str | None
    avoid: frozenset[str]
    hedge: bool = False
    resume: bool = False
    delay_s: float = 0.0
    """Wait so long first: attempts that break one after the other must not spin."""
    reattach: bool = False
    """Take up the engine's own stream, which another VM began under this attempt's number."""
    reattach_target: str | None = None
    reattach_after: int = 0
    """How many output tokens of that stream are released already."""


@attrs.frozen(kw_only=True)
class Release:
    """Give these pieces to the caller."""

    pieces: tuple[ReleasedPiece, ...]


@attrs.frozen(kw_only=True)
class CancelAttempt:
    """Drop an attempt, and tell its engine."""

    attempt: int


@attrs.frozen(kw_only=True)
class Restart:
    """Tell the caller that what it holds is void and a new generation begins."""

    generation: int


@attrs.frozen(kw_only=True)
class Finish:
    """The request is over."""

    outcome: Outcome
    finish_reason: str | None = None


Decision = Dispatch | Release | CancelAttempt | Restart | Finish


@attrs.frozen(kw_only=True)
class GenerationLimits:
    """Bounds on one request's resumes."""

    attempts: int = 8
    resumes_within_hedge: int = 1


@attrs.frozen(kw_only=True)
class ResumePoint:
    """What is known of a request that another VM began: enough to go on without a splice."""

    generation: int
    attempt: int
    attempt_start: int
    """The offset of that attempt's first token."""
    target: str
    model_version: str
    prompt_token_ids: tuple[int, ...]
    pieces: tuple[ReleasedPiece, ...]
