"""The four outcomes that a caller can be told, and how HTTP shows them.

``done``: the whole answer was given. ``not run``: proved that nothing ran.
``unknown``: it may have run, and will never run again under its key.
``failed``: it ran, and failed. When in doubt the outcome is ``unknown``.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

OUTCOME_HEADER = "Lagoonlever-Outcome"
REASON_HEADER = "Lagoonlever-Reason"
RETRY_AFTER_HEADER = "Retry-After"
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise that a request has not run and never will, on the users' platform."""


class OutcomeTag(enum.Enum):
    """The tag of an outcome, as it stands in the outcome header."""

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    FAILED = "failed"


class Reason(enum.Enum):
    """Why a request was not run, is unknown, or failed; stable words for programs."""

    BAD_REQUEST = "bad-request"
    OVERLOADED = "overloaded"
    NO_TARGET = "no-target"
    DEADLINE = "deadline"
    STARTING = "starting"
    LEAVING = "leaving"
    ISOLATED = "isolated"
    PLATFORM_DOWN = "platform-down"
    SUPERSEDED = "superseded"
    HOME_UNREACHABLE = "home-unreachable"
    KEY_EXPIRED = "key-expired"
    IN_PROGRESS = "in-progress"
    CONNECTION_LOST = "connection-lost"
    TARGET_FAILED = "target-failed"
    ATTEMPTS_EXHAUSTED = "attempts-exhausted"
    CANCELLED = "cancelled"
    CANNOT_RESUME = "cannot-resume"
    ENDS_TARGETS = "ends-targets"
    INTERNAL = "internal"


@dataclass(frozen=True, kw_only=True)
class Done:
    """The whole answer was given."""

    tag = OutcomeTag.DONE
    status: int = 200


@dataclass(frozen=True, kw_only=True)
class NotRun:
    """Proved that nothing ran; ``retry_after_s`` says when to come back, if ever."""

    tag = OutcomeTag.NOT_RUN
    reason: Reason
    message: str
    retry_after_s: float | None = None
    status: int = 503


@dataclass(frozen=True, kw_only=True)
class Unknown:
    """It may have run; it is never run again under the same key."""

    tag = OutcomeTag.UNKNOWN
    reason: Reason
    message: str
    retry_after_s: float | None = None
    status: int = 504


@dataclass(frozen=True, kw_only=True)
class Failed:
    """It ran, and failed."""

    tag = OutcomeTag.FAILED
    reason: Reason
    message: str
    status: int = 502


Outcome = Done | NotRun | Unknown | Failed
