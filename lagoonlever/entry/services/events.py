"""The log events of the application services."""

from __future__ import annotations

from lagoonlever.events import event

CLAIMS_FAIL = event(
    300,
    "claims-fail",
    "warning",
    "{claims} claims of keys failed: {error}",
    "Calls with plain idempotency keys are told 'unknown' until the platform answers again; "
    "calls whose keys name their home go on.",
)
CALL_FAILED = event(
    302,
    "call-failed",
    "error",
    "A call of {path} failed within this VM.",
    "A fault of the system itself. The caller was told unknown, or not run where nothing was "
    "sent. Report it with the lines around.",
)
ANSWER_UNKNOWN = event(
    301,
    "answer-unknown",
    "warning",
    "a call to {service} ended as unknown: {reason}",
    "The call may have run. The page on outcomes says how its caller finds out.",
)
