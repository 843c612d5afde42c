"""Holds what callers and targets saw against the promises, while the run goes on."""

from __future__ import annotations

from collections import Counter

import attrs

from lagoonlever.fakes.platform_engine import event_bytes, version_of_event
from lagoonlever.http.messages import Headers
from lagoonlever.outcomes import NOT_RUN_STATUSES, Reason
from lagoonlever.platform.headers import ORGANISATION, SEAL
from lagoonlever.soak.served import ServedBook

OK = 200
MOST_ENDED = 3
"""Engines that may end under one prompt before it is stopped."""
MOST_ENDED_BY_PART = 5
"""Engines that may end under different prompts that share a part, before it is stopped."""
STOPPED_AFTER_S = 3.0
"""From the last of these until every VM that was not harmed knows."""
ALLOWED_AFTER = 3
"""Retries that may reach an engine all the same."""


@attrs.frozen(kw_only=True)
class Violation:
    """A promise that was broken, and how it showed."""

    promise: str
    detail: str

    def __str__(self) -> str:
        return f"{self.promise}: {self.detail}"


@attrs.define(kw_only=True, eq=False)
class Judge:
    """Collects violations; ``organisation`` is whose key callers use, unless they say so."""

    _organisation: str
    violations: list[Violation] = attrs.field(factory=list)
    counts: Counter[str] = attrs.field(factory=Counter)
    """Answers by kind of request and status; for the report of a run."""
    served: ServedBook = attrs.field(factory=ServedBook)
    _owners: dict[str, str] = attrs.field(factory=dict)
    """The organisation of requests that are not of the usual one."""
    _ran: Counter[str] = attrs.field(factory=Counter)
    _once: set[str] = attrs.field(factory=set)
    """Ids of requests that may run once at most."""
    _told_not_run: set[str] = attrs.field(factory=set)
    _sealed: set[str] = attrs.field(factory=set)
    """Ids of calls whose answer is their target's own, under its seal."""
    _shared_parts: set[str] = attrs.field(factory=set)
    """Deadly parts that different prompts share."""
    _ended_at: dict[str, list[float]] = attrs.field(factory=dict)
    """When engines ended under each deadly prompt."""
    _versions: dict[str, str] = attrs.field(factory=dict)
    """The version that wrote the first event of each stream that a caller has."""
    _reached: Counter[str] = attrs.field(factory=Counter)
    """How often VMs in touch sent each deadly prompt to an engine after enough had ended."""

    def break_promise(self, promise: str, detail: str) -> None:
        """Record a violation."""
        self.violations.append(Violation(promise=promise, detail=detail))

    def runs_once(self, request: str) -> None:
        """Record that a request may run once at most."""
        self._once.add(request)

    def ran(self, request: str, target: str, headers: Headers) -> None:
        """Record that a target began to work on a request."""
        self.arrived(request, target, headers)
        self._ran[request] += 1
        if request in self._once and self._ran[request] > 1:
            self.break_promise("at most once", f"{request} ran again, at {target}")
        if request in self._told_not_run:
            self.break_promise("not run is true", f"{request} ran at {target} after it was told")

    def has_run(self, request: str) -> bool:
        """Check whether a target began to work on a request."""
        return self._ran[request] > 0

    def arrived(self, request: str, target: str, headers: Headers) -> None:
        """Check what a target gets with a request."""
        if headers.get("Authorization") is not None:
            self.break_promise("keys stay here", f"{request} reached {target} with its key")
        if headers.get(ORGANISATION) != self._owners.get(request, self._organisation):
            found = headers.get(ORGANISATION)
            self.break_promise("organisations", f"{request} reached {target} for {found}")

    def sends_for(self, request: str, organisation: str) -> None:
        """Record whose key a request carries."""
        if organisation != self._organisation:
            self._owners[request] = organisation

    def judge_served(self) -> None:
        """Check that nobody was starved while others were served."""
        for rank, served in self.served.served_by_rank().items():
            self.counts[f"{rank} whole"] = served
        for promise, detail in self.served.starved():
            self.break_promise(promise, detail)

    def record_shared(self, part: str) -> None:
        """Record that different prompts share a deadly part."""
        self._shared_parts.add(part)

    def ended(self, part: str, now: float) -> None:
        """Record that an engine crashed under a deadly prompt."""
        self.counts["engines ended by a prompt"] += 1
        self._ended_at.setdefault(part, []).append(now)

    def reached(self, part: str, now: float, *, in_touch: bool) -> None:
        """Record that a deadly prompt reached an engine; ``in_touch`` of the VM that sent it."""
        ends = self._ended_at.get(part, [])
        most = MOST_ENDED_BY_PART if part in self._shared_parts else MOST_ENDED
        if not in_touch or len(ends) < most or now - ends[most - 1] < STOPPED_AFTER_S:
            return
        self._reached[part] += 1
        self.counts["deadly prompts that came late"] += 1
        if self._reached[part] > ALLOWED_AFTER:
            self.break_promise("deadly requests stop", f"{part} has ended {len(ends)} engines")

    def refused(self, request: str, reason: str | None) -> None:
        """Check the reason for which an ordinary request was refused."""
        if reason == Reason.ENDS_TARGETS.value:
            self.break_promise("only deadly requests are barred", request)

    def answered(self, kind: str, request: str, status: int) -> None:
        """Record the final status that a caller received; 0 if its connection ended without one.

        A target's own answer to a call that may be repeated is passed on whatever its status.
        """
        self.counts[f"{kind} {status}"] += 1
        if status not in NOT_RUN_STATUSES:
            return
        if request in self._sealed and request not in self._once:
            return
        self._told_not_run.add(request)
        if self._ran[request]:
            self.break_promise("not run is true", f"{request} was told {status} and had run")

    def called(self, request: str, status: int, headers: Headers, body: bytes) -> None:
        """Check the whole answer to a call."""
        if headers.get(SEAL) is not None:
            self._sealed.add(request)
        if not OK <= status < 300:
            return
        if headers.get(SEAL) != f"seal-{request}" or body != b"answer to " + request.encode():
            self.break_promise("whole answers", f"{request} got {body[:60]!r}")

    def event(self, part: str, expected: int, data: bytes) -> None:
        """Check that an event is the next one of its own stream, and of the same version."""
        version = version_of_event(data)
        if data != event_bytes(part, expected, version=version):
            self.break_promise("streams in order", f"{part}: {data!r} in place of {expected}")
        began = self._versions.setdefault(part, version)
        if version != began:
            detail = f"{part}: event {expected} is by {version}, the first one by {began}"
            self.break_promise("streams are of one version", detail)

    def begins(self, part: str) -> None:
        """Record that a caller has no event of a stream, so any version may begin it."""
        self._versions.pop(part, None)

    def stream_ended(self, part: str, last: int, expected: int) -> None:
        """Check that a stream which ended as whole has all its events."""
        if last != expected:
            self.break_promise("streams are whole", f"{part} ended after {last} of {expected}")
