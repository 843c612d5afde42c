"""Tells callers of completions the outcome of a request: header fields and error objects."""

from __future__ import annotations

import math
import random

from lagoonlever.http.exchange import Exchange
from lagoonlever.http.messages import Headers
from lagoonlever.outcomes import (
    OUTCOME_HEADER,
    REASON_HEADER,
    RETRY_AFTER_HEADER,
    Done,
    NotRun,
    Outcome,
    Unknown,
)

RETRY_JITTER = 0.5
"""Callers are told to come back at a time spread by this share, so as not to come together."""


def outcome_headers(outcome: Outcome, *, rng: random.Random) -> Headers:
    """Give the header fields that tell an outcome, with when to come back."""
    pairs = [(OUTCOME_HEADER, outcome.tag.value)]
    if not isinstance(outcome, Done):
        pairs.append((REASON_HEADER, outcome.reason.value))
    if isinstance(outcome, NotRun | Unknown) and outcome.retry_after_s is not None:
        spread = outcome.retry_after_s * (1 + RETRY_JITTER * rng.random())
        pairs.append((RETRY_AFTER_HEADER, str(max(1, math.ceil(spread)))))
    return Headers(tuple(pairs))


def outcome_error(outcome: Outcome) -> dict[str, object]:
    """Give the error object that clients of completions know."""
    if isinstance(outcome, Done):
        raise ValueError("a done request has no error")
    return {
        "error": {
            "message": outcome.message,
            "type": outcome.tag.value,
            "code": outcome.reason.value,
        }
    }


async def respond_outcome(exchange: Exchange, outcome: Outcome, *, rng: random.Random) -> None:
    """Answer a request that has no answer to give, with its outcome."""
    await exchange.respond_json(
        status=outcome.status,
        payload=outcome_error(outcome),
        headers=outcome_headers(outcome, rng=rng),
    )
