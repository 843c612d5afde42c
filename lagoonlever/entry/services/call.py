"""One call to an application service as the router handles it, and what its answer means."""

from __future__ import annotations

import math

import attrs

from lagoonlever.decisions.claims.key_table import StoredAnswer
from lagoonlever.decisions.claims.keys import KEY_HEADER
from lagoonlever.entry.services.settings import Service
from lagoonlever.exceptions import RequestRefused
from lagoonlever.http.client import Response
from lagoonlever.http.messages import Headers, Request, whole_number
from lagoonlever.outcomes import (
    OUTCOME_HEADER,
    REASON_HEADER,
    RETRY_AFTER_HEADER,
    Done,
    Failed,
    NotRun,
    Outcome,
    OutcomeTag,
    Reason,
    Unknown,
)

DEADLINE_HEADER = "Lagoonlever-Deadline-S"
HOMED_KEY_HEADER = "Lagoonlever-Homed-Key"
"""Carries a key's home between VMs; the service sees the caller's own key."""

MAX_DEADLINE_S = 3600.0
FIRST_SERVER_ERROR = 500
MAYBE_RUN_STATUSES = frozenset({502, 503, 504})
"""Given by whatever stands between as well: they say nothing about what ran."""

AUTHORIZATION = "Authorization"
ORGANISATION_HEADER = "Lagoonlever-Organisation"
"""Tells a service whose call it gets."""
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "host",
        "expect",
    }
)
_OWN_PREFIX = "lagoonlever-"


@attrs.frozen(kw_only=True)
class ServiceCall:
    """A caller's request to a service; ``deadline`` is monotonic seconds, or None.

    ``path`` is the path within the service, ``organisation`` whose budget pays
    for extra attempts.
    """

    service: Service
    request: Request
    path: str
    organisation: str
    deadline: float | None

    @property
    def target(self) -> str:
        """The path with its query, as it is sent to the service."""
        return self._with_query(self.path)

    @property
    def full_target(self) -> str:
        """The path with its query as the caller sent it, for another VM."""
        return self._with_query(self.request.path)

    @property
    def key_text(self) -> str:
        """The caller's key as it sent it, or nothing."""
        return self.request.headers.get(KEY_HEADER) or ""

    @property
    def idempotent(self) -> bool:
        """Whether the request may be sent twice."""
        return self.service.is_idempotent(method=self.request.method, path=self.path)

    def left_s(self, now: float) -> float:
        """Give the seconds until the deadline; infinite without one."""
        return math.inf if self.deadline is None else max(0.0, self.deadline - now)

    def headers(self) -> Headers:
        """Give the header fields that are passed on to another VM, which checks the caller too."""
        return end_to_end(self.request.headers)

    def target_headers(self) -> Headers:
        """Give the header fields for the service: who calls, in place of the caller's key.

        The key is this system's; a service that logs its requests must not hold it.
        """
        passed_on = end_to_end(self.request.headers).without(AUTHORIZATION)
        return passed_on.with_field(ORGANISATION_HEADER, self.organisation)

    def _with_query(self, path: str) -> str:
        query = self.request.raw_query
        return f"{path}?{query}" if query else path


def end_to_end(headers: Headers) -> Headers:
    """Drop the fields that concern one connection only, and this system's own."""
    return Headers(
        tuple(
            (name, value)
            for name, value in headers.pairs
            if name.lower() not in _HOP_BY_HOP and not name.lower().startswith(_OWN_PREFIX)
        )
    )


def remaining_s(headers: Headers) -> float | None:
    """Read the time that the caller gives; raises ``RequestRefused`` naming the header."""
    text = headers.get(DEADLINE_HEADER)
    if text is None:
        return None
    try:
        value = float(text)
    except ValueError:
        value = float("nan")
    if not value <= MAX_DEADLINE_S:
        raise RequestRefused(
            status=400,
            field=DEADLINE_HEADER,
            message=f"give the seconds that remain, at most {MAX_DEADLINE_S:g}",
        )
    return value


def service_answer(response: Response, *, service: Service, idempotent: bool) -> StoredAnswer:
    """Tell what a service's response means."""
    return StoredAnswer(
        outcome=_outcome_of(response.status, service=service, idempotent=idempotent),
        status=response.status,
        headers=end_to_end(response.headers),
        body=response.body,
    )


def _outcome_of(status: int, *, service: Service, idempotent: bool) -> Outcome:
    if status in service.not_run_statuses:
        return NotRun(reason=Reason.OVERLOADED, message="the service refused it", status=status)
    if status < FIRST_SERVER_ERROR:
        return Done(status=status)
    if status in MAYBE_RUN_STATUSES and not idempotent:
        return Unknown(
            reason=Reason.TARGET_FAILED, message="the service did not say what ran", status=status
        )
    return Failed(reason=Reason.TARGET_FAILED, message="the service failed", status=status)


def forwarded_answer(response: Response) -> StoredAnswer | None:
    """Read another VM's answer, or give None if it is not one of this system's."""
    try:
        tag = OutcomeTag(response.headers.get(OUTCOME_HEADER))
        reason = Reason(response.headers.get(REASON_HEADER, Reason.TARGET_FAILED.value))
    except ValueError:
        return None
    return StoredAnswer(
        outcome=outcome_of_tag(
            tag, reason=reason, status=response.status, retry_after_s=_retry_after_s(response)
        ),
        status=response.status,
        headers=end_to_end(response.headers),
        body=response.body,
    )


def outcome_of_tag(
    tag: OutcomeTag, *, reason: Reason, status: int, retry_after_s: float | None = None
) -> Outcome:
    """Give the outcome that another VM told by its tag; its message is in the answer's body."""
    if tag is OutcomeTag.DONE:
        return Done(status=status)
    if tag is OutcomeTag.FAILED:
        return Failed(reason=reason, message="", status=status)
    if tag is OutcomeTag.NOT_RUN:
        return NotRun(reason=reason, message="", status=status, retry_after_s=retry_after_s)
    return Unknown(reason=reason, message="", status=status, retry_after_s=retry_after_s)


def _retry_after_s(response: Response) -> float | None:
    seconds = whole_number(response.headers.get(RETRY_AFTER_HEADER))
    return None if seconds is None else float(seconds)
