"""How an outcome of a service call is shown over HTTP."""

from __future__ import annotations

import json
import math
import random

import attrs

from lagoonlever.decisions.admission.limits import retry_after_s
from lagoonlever.decisions.claims.key_table import StoredAnswer
from lagoonlever.http.exchange import Exchange
from lagoonlever.http.messages import Headers
from lagoonlever.http.refusals import JSON_TYPE
from lagoonlever.outcomes import (
    OUTCOME_HEADER,
    REASON_HEADER,
    RETRY_AFTER_HEADER,
    Done,
    Failed,
    NotRun,
    Outcome,
    Reason,
    Unknown,
)

RETRY_SAME_KEY = "ask again with the same key: it is never run twice"
RETRY_NEW_KEY = "send it again under a new key"


@attrs.define(kw_only=True)
class ComeBack:
    """Gives times to come back, in whole seconds as HTTP has them, spread by chance."""

    _base_s: float
    _rng: random.Random

    def after_s(self) -> float:
        """Give a time; rounded by chance, as rounding up would bring callers back together."""
        spread_s = retry_after_s(self._base_s, self._rng)
        return float(max(1, math.floor(spread_s + self._rng.random())))


def answer_of(outcome: NotRun | Unknown | Failed) -> StoredAnswer:
    """Give the answer for an outcome that this system made itself."""
    payload = {
        "error": {
            "message": outcome.message,
            "type": outcome.tag.value,
            "param": None,
            "code": outcome.reason.value,
        }
    }
    return StoredAnswer(
        outcome=outcome,
        status=outcome.status,
        headers=Headers((("Content-Type", JSON_TYPE),)),
        body=json.dumps(payload).encode(),
    )


def not_run(
    reason: Reason, message: str, *, retry_after_s: float | None = None, status: int = 503
) -> StoredAnswer:
    """Give the answer that proves that nothing ran."""
    return answer_of(
        NotRun(reason=reason, message=message, retry_after_s=retry_after_s, status=status)
    )


def unknown(reason: Reason, message: str, *, retry_after_s: float | None = None) -> StoredAnswer:
    """Give the answer for a request that may have run."""
    return answer_of(Unknown(reason=reason, message=message, retry_after_s=retry_after_s))


async def tell(exchange: Exchange, answer: StoredAnswer) -> None:
    """Give the caller its final answer."""
    headers = Headers((*answer.headers.pairs, *_outcome_fields(answer.outcome)))
    body = b"" if exchange.request.method == "HEAD" else answer.body
    await exchange.respond(status=answer.status, headers=headers, body=body)


def _outcome_fields(outcome: Outcome) -> tuple[tuple[str, str], ...]:
    fields = [(OUTCOME_HEADER, outcome.tag.value)]
    if isinstance(outcome, Done):
        return tuple(fields)
    fields.append((REASON_HEADER, outcome.reason.value))
    if not isinstance(outcome, Failed) and outcome.retry_after_s is not None:
        fields.append((RETRY_AFTER_HEADER, str(max(1, math.ceil(outcome.retry_after_s)))))
    return tuple(fields)
