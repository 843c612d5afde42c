"""Callers of a play: open arrivals at the rates of a sheet, which come back as clients do."""

from __future__ import annotations

import random
from collections.abc import Iterator

import attrs
import trio

from lagoonlever.exceptions import PeerError
from lagoonlever.http.client import ClientConnection
from lagoonlever.http.messages import Headers
from lagoonlever.http.sse import RawEventSplitter
from lagoonlever.outcomes import NOT_RUN_STATUSES, REASON_HEADER, RETRY_AFTER_HEADER, Reason
from lagoonlever.platform.documents import caller_headers
from lagoonlever.platform.headers import (
    LAST_EVENT_ID,
    MODEL,
    PROMPT_PARTS,
    RESUMES,
    TOKEN_COUNT,
)
from lagoonlever.soak.callers import SoakCaller
from lagoonlever.soak.deployments import HOST
from lagoonlever.soak.judge import OK
from lagoonlever.tests.incident_history import Attempt, Job
from lagoonlever.tests.incident_shapes import (
    EVENT_TOKENS,
    ORGANISATIONS,
    RequestKind,
    Shape,
    key_of,
)
from lagoonlever.tests.incident_site import IncidentSite, read_event

FINAL = frozenset({400, 401, 404, 413, 431})
PAUSE_S = 0.05
MOST_WAIT_SHARE = 1 / 3
"""Of the time left, for which a client waits where it is told to."""
OVER_S = 0.5
"""Beyond its deadline until a client gives up."""


@attrs.frozen(kw_only=True)
class Prompt:
    """What a stream asks for."""

    part: str
    tokens: int
    events: int
    shared: tuple[tuple[str, int], ...]
    """The parts before its own one, with their tokens."""

    @property
    def subject(self) -> str:
        """The last part that others may have as well."""
        return self.shared[-1][0]

    def fields(self) -> list[tuple[str, str]]:
        """Return the head fields that tell it."""
        total = self.tokens + sum(tokens for _, tokens in self.shared)
        parts = [f"{name}:{tokens}" for name, tokens in (*self.shared, (self.part, self.tokens))]
        return [
            (MODEL, "m"),
            (TOKEN_COUNT, f"{total},{self.events * EVENT_TOKENS}"),
            (PROMPT_PARTS, ",".join(parts)),
        ]


def draw_prompt(shape: Shape, kind: RequestKind, rng: random.Random) -> Prompt:
    """Draw a prompt on a subject, some of which are popular."""
    is_popular = rng.random() < shape.popular_share
    number = rng.randrange(shape.popular if is_popular else shape.subjects)
    subject = f"{kind.name}-{'popular' if is_popular else 'subject'}-{number}"
    spread = shape.events_spread
    return Prompt(
        part=f"{rng.getrandbits(64):016x}",
        tokens=round(shape.own_tokens * rng.uniform(0.6, 1.4)),
        events=round(shape.events * rng.uniform(1 - spread, 1 + spread)),
        shared=((subject, shape.shared_tokens),),
    )


@attrs.define(kw_only=True, eq=False)
class IncidentCaller(SoakCaller):
    """One client connection; plays one request of a client after the other."""

    site: IncidentSite
    _organisation: str = ""
    _first: str | None = None
    """The attempt that brought the first event of the stream that is being read."""

    async def play(self, kind: RequestKind, job: Job, prompt: Prompt | None) -> None:
        """Send a client's request, again as the protocol allows, until it has its end."""
        history = self.site.history
        history.jobs.append(job)
        self._organisation, self._first = job.organisation, None
        until = job.asked_at + kind.deadline_s
        status = 0
        with trio.move_on_at(until + OVER_S):
            for _ in range(1 + kind.retries):
                attempt = self._new_attempt(kind, job, until)
                if prompt is None:
                    wait_s = await self._ask_call(kind, attempt)
                else:
                    wait_s = await self._ask_stream(kind, attempt, job, prompt)
                status = attempt.status
                is_over = status == OK if prompt is None else job.ended_whole
                if is_over or job.left or not _may_return(kind, status):
                    break
                left_s = until - trio.current_time()
                await self._drop()
                await trio.sleep(max(PAUSE_S, min(wait_s, left_s * MOST_WAIT_SHARE)))
                if trio.current_time() >= until:
                    break
        if status != OK:
            with trio.CancelScope(shield=True):
                await self._drop()
        job.served = status == OK if prompt is None else job.ended_whole

    def _new_attempt(self, kind: RequestKind, job: Job, until: float) -> Attempt:
        now = trio.current_time()
        attempt = Attempt(
            request=self._new_id(kind.name),
            job=job.id,
            kind=kind.name,
            service=kind.service,
            sent_at=now,
            deadline_s=until - now,
            max_attempts=kind.max_attempts,
            is_stream=kind.is_stream,
        )
        self.site.history.attempts[attempt.request] = attempt
        return attempt

    async def _begin(
        self, kind: RequestKind, attempt: Attempt, *, more: list[tuple[str, str]], body: bytes
    ) -> ClientConnection:
        connection = await self._connect()
        vm = self.site.vm_of(connection.address)
        attempt.vm = vm.name if vm is not None else ""
        attempt.sent_at = trio.current_time()
        self.site.record_taker(attempt.request, connection.address)
        self.judge.sends_for(attempt.request, self._organisation)
        headers = caller_headers(
            request_id=attempt.request,
            host=HOST,
            key=key_of(self._organisation),
            deadline_s=attempt.deadline_s,
            more=more,
        )
        path = f"/{kind.name}/{'next' if kind.is_stream else attempt.request}"
        await connection.start(method="POST", path=path, headers=headers, body=body, step="play")
        return connection

    async def _ask_call(self, kind: RequestKind, attempt: Attempt) -> float:
        """Send one attempt of a call; return the time that its answer asks to wait."""
        wait_s, request = 0.0, attempt.request
        if not _may_repeat(kind):
            self.judge.runs_once(request)
        try:
            connection = await self._begin(kind, attempt, more=[], body=b"")
            head = await connection.read_head()
            body = b"".join([piece async for piece in connection.iter_body()])
        except PeerError:
            await self._drop()
        else:
            attempt.status = head.status
            wait_s = _read_wait(head.headers)
            self.judge.called(request, head.status, head.headers, body)
            self._record_reason(attempt, head.headers, is_deadly=False)
            if "close" in (head.headers.get("Connection") or ""):
                await self._drop()
        self._end(attempt)
        self.judge.answered(kind.name, request, attempt.status)
        return wait_s

    async def _ask_stream(
        self, kind: RequestKind, attempt: Attempt, job: Job, prompt: Prompt
    ) -> float:
        """Send one attempt of a stream; return the time that its answer asks to wait."""
        wait_s, splitter = 0.0, RawEventSplitter()
        more = prompt.fields()
        if job.events:
            more.append((LAST_EVENT_ID, str(job.events[-1].made)))
            self.judge.counts["streams taken up"] += 1
        if job.events and self._first is not None:
            more.append((RESUMES, self._first))
        try:
            connection = await self._begin(kind, attempt, more=more, body=prompt.part.encode())
            head = await connection.read_head()
            wait_s = _read_wait(head.headers)
            self._record_reason(attempt, head.headers, is_deadly=job.is_deadly)
            while (piece := await connection.next_piece()) is not None:
                if head.status != OK:
                    continue
                for event in splitter.feed(piece):
                    self._first = self._first or attempt.request
                    job.events.append(read_event(event.data, event.id, attempt.request))
                if job.left and job.events:
                    await self._drop()
                    return wait_s
            attempt.status = head.status
            job.ended_whole = head.status == OK
        except PeerError:
            await self._drop()
        self._end(attempt)
        self.judge.answered(
            "deadly" if job.is_deadly else kind.name, attempt.request, attempt.status
        )
        return wait_s

    def _end(self, attempt: Attempt) -> None:
        vm = next((vm for vm in self.site.vms if vm.name == attempt.vm), None)
        sound = self.site.sound_since(attempt.request, attempt.sent_at, vm)
        attempt.sound_targets = frozenset(sound)

    def _record_reason(self, attempt: Attempt, headers: Headers, *, is_deadly: bool) -> None:
        attempt.reason = headers.get(REASON_HEADER) or ""
        if attempt.reason:
            self.judge.counts[f"{attempt.reason}{' (deadly)' if is_deadly else ''}"] += 1
        if not is_deadly and attempt.reason == Reason.ENDS_TARGETS.value:
            self.judge.counts["sound requests barred"] += 1


def _may_repeat(kind: RequestKind) -> bool:
    return kind.max_attempts > 1


def _may_return(kind: RequestKind, status: int) -> bool:
    if status in FINAL:
        return False
    return _may_repeat(kind) or status in NOT_RUN_STATUSES


def _read_wait(headers: Headers) -> float:
    return float(headers.get(RETRY_AFTER_HEADER) or 0.0)


def draw_organisation(rng: random.Random) -> str:
    """Draw whose request it is; a few are large."""
    return rng.choices(tuple(ORGANISATIONS), weights=tuple(ORGANISATIONS.values()))[0]


def arrivals(rate_per_s: float, length_s: float, rng: random.Random) -> Iterator[float]:
    """Yield the times of open arrivals."""
    at_s = 0.0
    while (at_s := at_s + rng.expovariate(rate_per_s)) < length_s:
        yield at_s
