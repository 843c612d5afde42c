"""The header fields of requests and answers on the platform's wire."""

from __future__ import annotations

import math
import sys

from lagoonlever.decisions.targets.reported_load import ReportedLoad
from lagoonlever.exceptions import RequestRefused
from lagoonlever.gateway.messages import (
    AnswerHead,
    CallerHead,
    GenerationAsk,
    Hop,
    PromptPart,
)
from lagoonlever.http.messages import MOST_COUNT, Headers, whole_number

REQUEST_ID = "Request-Id"
DEADLINE = "Deadline-Ms"
LAST_EVENT_ID = "Last-Event-Id"
RESUMES = "Resumes"
"""The id of the caller's attempt that brought the first event of the stream it goes on with."""
MODEL = "Model"
TOKEN_COUNT = "Token-Count"
"""Of the prompt, and at most of the answer."""
LENGTH_HINT = "Length-Hint"
PROMPT_PARTS = "Prompt-Prefix"
"""All parts of the prompt, not only those that it shares."""
SEAL = "Response-Seal"
REFUSED = "Not-Executed"
LOAD = "Server-Load"
LEAST_FIGURES = 3
KNOWN_FIGURES = 4
USUAL_PACE = 100.0
"""The fourth figure of a target on whose machine work takes as long as usual."""
LIMIT = "Server-Limit"
"""Requests a second of all VMs together."""
BRITTLE = "Server-Brittle"
"""Requests a second, of all VMs together, that the target may turn away for want of room."""
MOST_BRITTLE = 1_000_000
"""A greater number can't be meant."""
TARGET_ID = "Instance-Id"
EXPECTED_TARGET = "Expect-Instance"
ORGANISATION = "Tenant"
PRIORITY = "Request-Priority"
COPY_TO = "Kv-Backup"
COPY_FROM = "Kv-From"
LEAVING = "Server-Leaving"
LEAVES = "1"
STAYS = "0"
REST = "Retry-After"
"""Seconds, with fractions; of a target that turns a request away."""
MOST_REST_S = 3_600.0
"""A target that wants nothing for longer is wrong about it: it would be gone by then."""
BUSY = 503
MISDIRECTED = 421
MS = 1000.0
MOST_SHOWN = 40
"""Characters of an unreadable field that a log line shows."""
BAD_REQUEST = 400
REFUSAL_STATUSES = frozenset({BAD_REQUEST, 408, MISDIRECTED, 429, BUSY})
"""Of targets that have not run a request; any other one tells of a run, whatever is beside it."""

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "trailers",
        "transfer-encoding",
        "upgrade",
    }
)
"""Fields that concern one connection (RFC 9110, 7.6.1), whatever ``Connection`` names."""

SET_BY_SYSTEM = frozenset(
    {
        "authorization",
        "content-length",
        "deadline-ms",
        "expect",
        "expect-instance",
        "expect-version",
        "hold",
        "kv-backup",
        "kv-fetch",
        "kv-from",
        "last-event-id",
        "pin-ms",
        "request-priority",
        "tenant",
    }
)
"""Fields of a caller that never reach a target as the caller sent them.

Guards against a caller that names another organisation, takes over another run's
memory, or reserves an engine's memory: those fields are this system's to set.
"""


def request_id_of(headers: Headers) -> str | None:
    """Give the id of a caller's attempt, or None where it sent none."""
    return headers.get(REQUEST_ID)


def read_caller(headers: Headers) -> CallerHead:
    """Decode the head of a caller's request; raises ``RequestRefused`` for a malformed field."""
    request_id = request_id_of(headers)
    if not request_id:
        raise RequestRefused(status=BAD_REQUEST, field=REQUEST_ID, message="is required")
    deadline_ms = _number(headers, DEADLINE)
    last_event_id = _number(headers, LAST_EVENT_ID, most=MOST_COUNT)
    return CallerHead(
        request_id=request_id,
        host=(headers.get("Host") or "").partition(":")[0].lower(),
        api_key=_api_key(headers),
        deadline_s=None if deadline_ms is None else deadline_ms / MS,
        last_event_id=None if last_event_id is None else int(last_event_id),
        resumes=headers.get(RESUMES) or None,
        ask=_ask(headers),
    )


def to_target(headers: Headers, hop: Hop) -> Headers:
    """Give the fields of a caller's request as a target gets them."""
    dropped = HOP_BY_HOP | SET_BY_SYSTEM | _named_by_connection(headers)
    pairs = [pair for pair in headers.pairs if pair[0].lower() not in dropped]
    pairs.append((DEADLINE, str(max(0, int(hop.deadline_s * MS)))))
    pairs.append((EXPECTED_TARGET, hop.target_id))
    if hop.organisation is not None:
        pairs.append((ORGANISATION, hop.organisation))
    if hop.priority is not None:
        pairs.append((PRIORITY, str(hop.priority)))
    if hop.last_event_id is not None:
        pairs.append((LAST_EVENT_ID, str(hop.last_event_id)))
    if hop.copy_to is not None:
        pairs.append((COPY_TO, str(hop.copy_to)))
    if hop.copy_from is not None:
        pairs.append((COPY_FROM, f"{hop.copy_from.address}/{hop.copy_from.name}"))
    return Headers(tuple(pairs))


def read_answer(status: int, headers: Headers) -> AnswerHead:
    """Decode the head of a target's answer; odd values count as absent."""
    connection = (headers.get("Connection") or "").lower()
    unreadable: list[str] = []
    limit_per_s = _amount(headers, LIMIT, unreadable)
    tells_limit = not unreadable
    brittle, tells_brittle = _count(headers, BRITTLE, unreadable, most=MOST_BRITTLE)
    rest_s = _amount(headers, REST, unreadable, most=MOST_REST_S) if status == BUSY else None
    return AnswerHead(
        status=status,
        request_id=headers.get(REQUEST_ID),
        sealed=headers.get(SEAL) is not None,
        encoded=headers.get("Content-Encoding") is not None,
        refused=_refuses(status, headers),
        target_id=headers.get(TARGET_ID),
        load=_load(headers.get(LOAD), unreadable),
        idle_s=_idle_s(headers.get("Keep-Alive")),
        closes="close" in connection,
        limit_per_s=limit_per_s,
        tells_limit=tells_limit,
        brittle=brittle,
        tells_brittle=tells_brittle,
        leaves=_leaves(headers, unreadable),
        rest_s=rest_s,
        unreadable=tuple(unreadable),
    )


def _refuses(status: int, headers: Headers) -> bool:
    """Check whether an answer says that its request has not run, and says nothing else as well."""
    says_so = headers.get(REFUSED) is not None or status == MISDIRECTED
    return says_so and status in REFUSAL_STATUSES


def to_caller(headers: Headers) -> Headers:
    """Return the fields of a target's answer as the caller gets them, without its framing.

    An answer that is passed on is no refusal, so it doesn't say that it is one.
    """
    dropped = HOP_BY_HOP | _named_by_connection(headers) | {"content-length", REFUSED.lower()}
    return Headers(tuple(pair for pair in headers.pairs if pair[0].lower() not in dropped))


def _named_by_connection(headers: Headers) -> frozenset[str]:
    names = [value for name, value in headers.pairs if name.lower() == "connection"]
    return frozenset(part.strip().lower() for value in names for part in value.split(","))


def _api_key(headers: Headers) -> str | None:
    scheme, _, key = (headers.get("Authorization") or "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" and key.strip() else None


def _number(headers: Headers, name: str, *, most: float = sys.float_info.max) -> float | None:
    value = headers.get(name)
    if value is None:
        return None
    try:
        number = float(value)
    except ValueError:
        number = -1.0
    if not 0 <= number <= most:
        raise RequestRefused(status=BAD_REQUEST, field=name, message=f"is {value!r}; give a number")
    return number


def _ask(headers: Headers) -> GenerationAsk | None:
    counts = headers.get(TOKEN_COUNT)
    if counts is None:
        return None
    prompt, _, output = counts.partition(",")
    try:
        return GenerationAsk(
            model=headers.get(MODEL) or "",
            prompt_tokens=_tokens(prompt),
            output_tokens=_tokens(output or "0"),
            length_hint=whole_number(headers.get(LENGTH_HINT)),
            parts=_parts(headers.get(PROMPT_PARTS) or ""),
        )
    except ValueError as error:
        raise RequestRefused(
            status=BAD_REQUEST, field=TOKEN_COUNT, message=f"can't be read: {error}"
        ) from error


def _parts(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for entry in filter(None, text.split(",")):
        part_id, _, tokens = entry.strip().partition(":")
        parts.append(PromptPart(id=part_id, tokens=_tokens(tokens)))
    return tuple(parts)


def _tokens(text: str) -> int:
    """Read a count of tokens; raises ``ValueError``."""
    tokens = int(text)
    if not 0 <= tokens <= MOST_COUNT:
        raise ValueError(f"{text[:MOST_SHOWN]!r} is no count of tokens")
    return tokens


def _load(text: str | None, unreadable: list[str]) -> ReportedLoad | None:
    """Read three figures or more: running, waiting, slots, and the pace of the machine.

    Figures beyond the known ones say nothing; an odd one makes the whole field say nothing.
    """
    if text is None:
        return None
    figures = [_figure(part) for part in text.split(",")]
    known = [figure for figure in figures[:KNOWN_FIGURES] if figure is not None]
    pace = known[LEAST_FIGURES] if len(known) > LEAST_FIGURES else None
    if len(known) < min(len(figures), KNOWN_FIGURES) or len(known) < LEAST_FIGURES or pace == 0:
        unreadable.append(f"{LOAD}: {text[:MOST_SHOWN]!r}")
        return None
    running, waiting, slots = known[:LEAST_FIGURES]
    slowness = None if pace is None else pace / USUAL_PACE
    return ReportedLoad(running=running, waiting=waiting, slots=slots, slowness=slowness)


def _figure(text: str) -> float | None:
    try:
        figure = float(text)
    except ValueError:
        return None
    return figure if 0 <= figure <= MOST_COUNT else None


def _leaves(headers: Headers, unreadable: list[str]) -> bool:
    text = headers.get(LEAVING)
    if text not in (None, LEAVES, STAYS):
        unreadable.append(f"{LEAVING}: {text[:MOST_SHOWN]!r}")
    return text == LEAVES


def _amount(
    headers: Headers, name: str, unreadable: list[str], *, most: float = MOST_COUNT
) -> float | None:
    """Give a number from 0 to ``most``, or None; notes a field that is there and is none."""
    text = headers.get(name)
    if text is None:
        return None
    try:
        amount = float(text)
    except ValueError:
        amount = math.nan
    if 0 <= amount <= most:
        return amount
    unreadable.append(f"{name}: {text[:MOST_SHOWN]!r}")
    return None


def _count(
    headers: Headers, name: str, unreadable: list[str], *, most: int
) -> tuple[int | None, bool]:
    """Return a whole number from 0 to ``most``, or None; and whether the field can be read."""
    text = headers.get(name)
    if text is None:
        return None, True
    number = whole_number(text)
    if number is not None and number <= most:
        return number, True
    unreadable.append(f"{name}: {text[:MOST_SHOWN]!r}")
    return None, False


def _idle_s(text: str | None) -> float | None:
    for part in (text or "").split(","):
        name, _, value = part.strip().partition("=")
        seconds = whole_number(value) if name.lower() == "timeout" else None
        if seconds is not None:
            return float(seconds)
    return None
