"""How a request is told to be refused before any part has it: the error and its headers."""

from __future__ import annotations

from lagoonlever.exceptions import RequestRefused
from lagoonlever.http.messages import Headers
from lagoonlever.outcomes import (
    OUTCOME_HEADER,
    REASON_HEADER,
    RETRY_AFTER_HEADER,
    OutcomeTag,
    Reason,
)

JSON_TYPE = "application/json"
OVERLOADED = 503
LATEST_RETRY_S = 3


def error_payload(refused: RequestRefused) -> dict[str, object]:
    """Give the JSON error that clients of completions know, with the field's name."""
    return {
        "error": {
            "message": f"{refused.field}: {refused}" if refused.field else str(refused),
            "type": "invalid_request_error",
            "param": refused.field,
            "code": refused.status,
        }
    }


def refusal_headers(
    refused: RequestRefused, *, length: int, peer_port: int, keyed: bool
) -> Headers:
    """Give the header fields of a refusal that closes its connection.

    ``peer_port`` spreads the times to come back: kernels draw it at random. A
    request that has a key or may have one (``keyed``), and could not be read whole, is
    "unknown": a former copy of it may have run, and here nothing is known of that.
    """
    outcome = OutcomeTag.UNKNOWN if keyed else OutcomeTag.NOT_RUN
    pairs = [
        ("Content-Type", JSON_TYPE),
        ("Content-Length", str(length)),
        ("Connection", "close"),
        (OUTCOME_HEADER, outcome.value),
    ]
    if refused.status == OVERLOADED:
        pairs.append((REASON_HEADER, Reason.OVERLOADED.value))
        pairs.append((RETRY_AFTER_HEADER, str(1 + peer_port % LATEST_RETRY_S)))
    return Headers(tuple(pairs))
