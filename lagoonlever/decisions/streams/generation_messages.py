"""Data types of the generation state machine: request, limits, failure causes and decisions.

The state machine (`GenerationLifecycle`) returns decisions and the entry VM carries them
out; the types here are shared by both sides.
"""

from __future__ import annotations

import enum
import hashlib

import attrs
import xxhash

from lagoonlever.decisions.streams.answer import ReleasedPiece
from lagoonlever.outcomes import Outcome

SEED_BITS = 31
"""Number of bits of a derived seed."""
DIGEST_BYTES = 16
"""Of a prompt that is held no more."""


@attrs.frozen(kw_only=True)
class GenerationSpec:
    """A generation request as the caller sent it; identical on every VM that resumes it."""

    request_id: str
    organisation: str
    model: str
    prompt: str | tuple[int, ...]
    max_tokens: int
    seed: int | None = None
    temperature: float = 1.0
    stop: tuple[str, ...] = ()
    sampling_json: str = "{}"
    """Further sampling options as a JSON object, passed to the engine unchanged."""
    deadline_s: float | None = None
    accepts_restart: bool = False
    """Whether the caller can discard the tokens it has when a new generation starts."""
    dropped_prompt: str | None = None
    """The digest of the prompt, where the prompt itself is held no more."""

    def without_prompt(self) -> GenerationSpec:
        """Return the request with the digest of its prompt in place of the prompt."""
        if self.dropped_prompt is not None:
            return self
        kind = "text" if isinstance(self.prompt, str) else "tokens"
        content = self.prompt if isinstance(self.prompt, str) else ",".join(map(str, self.prompt))
        digest = hashlib.blake2b(content.encode(), digest_size=DIGEST_BYTES, person=kind.encode())
        return attrs.evolve(self, prompt="", dropped_prompt=digest.hexdigest())


def generation_seed(spec: GenerationSpec, generation: int) -> int:
    """Return the sampling seed of a generation.

    The first generation uses the caller's seed, if there is one. Every other seed is derived
    from the request, so that each VM computes the same one.
    """
    if spec.seed is not None and generation == 1:
        return spec.seed
    name = f"{spec.organisation}|{spec.request_id}|{generation}"
    return xxhash.xxh3_64_intdigest(name.encode()) >> (64 - SEED_BITS)


class FailureCause(enum.Enum):
    """Reason why an attempt ended before its answer was complete."""

    CONNECT_FAILED = "connect-failed"
    NO_TARGET = "no-target"
    REFUSED = "refused"
    BROKEN = "broken"
    SILENT = "silent"
    WRONG_VERSION = "wrong-version"
    OUT_OF_ORDER = "out-of-order"
    ABORTED = "aborted"
    """The engine ended the stream before the answer was complete, for example after a cancel."""
    STREAM_NOT_FOUND = "not-there"
    """The engine no longer has the stream to reattach to; it may still accept new work."""
    WITHDRAWN = "called-back"
    """This VM withdrew the attempt from the engine; the engine is not at fault."""


NOTHING_SENT = frozenset({FailureCause.CONNECT_FAILED, FailureCause.NO_TARGET})
"""Causes which prove that the engine received nothing, so it cannot have run the request."""

TARGET_NOT_TO_BLAME = frozenset(
    {FailureCause.NO_TARGET, FailureCause.STREAM_NOT_FOUND, FailureCause.WITHDRAWN}
)
"""Causes after which the engine may be chosen again."""

NOTHING_TO_CANCEL = NOTHING_SENT | {FailureCause.REFUSED, FailureCause.STREAM_NOT_FOUND}
"""Causes after which the engine has no stream that would have to be cancelled."""


@attrs.frozen(kw_only=True)
class Dispatch:
    """Decision to start an attempt: send the prompt plus ``prefix`` to an engine not in ``avoid``.

    ``prefix`` has the token ids that are released already; ``max_tokens`` counts those after it.
    """

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
    """Backoff before the attempt, so that attempts which fail at once do not form a busy loop."""
    reattach: bool = False
    """Reattach to the stream at the engine that another VM started under this attempt number."""
    reattach_target: str | None = None
    reattach_after: int = 0
    """Number of output tokens of that stream that are released already."""


@attrs.frozen(kw_only=True)
class Release:
    """Decision to send these pieces to the caller."""

    pieces: tuple[ReleasedPiece, ...]


@attrs.frozen(kw_only=True)
class CancelAttempt:
    """Decision to drop an attempt and cancel it at its engine."""

    attempt: int


@attrs.frozen(kw_only=True)
class Restart:
    """Decision to tell the caller to discard its tokens, because a new generation starts."""

    generation: int


@attrs.frozen(kw_only=True)
class Finish:
    """Decision to end the request with an outcome."""

    outcome: Outcome
    finish_reason: str | None = None


Decision = Dispatch | Release | CancelAttempt | Restart | Finish


@attrs.frozen(kw_only=True)
class GenerationLimits:
    """Limits on the attempts of one request."""

    attempts: int = 8
    """Maximum number of attempts, hedged ones included."""
    resumes_within_hedge: int = 1
    """Maximum number of hedged attempts that are open beside the first one."""


@attrs.frozen(kw_only=True)
class ResumePoint:
    """State of a request that another VM started, sufficient to continue the same answer."""

    generation: int
    attempt: int
    attempt_start: int
    """Offset in the answer of the first token of that attempt."""
    target: str
    model_version: str
    prompt_token_ids: tuple[int, ...]
    pieces: tuple[ReleasedPiece, ...]
