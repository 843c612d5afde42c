"""Judges by the runners' own books whether a bid ran that was answered as not run."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Iterable, Iterator
from pathlib import Path

import attrs
import msgspec

from lagoonlever.tests.refused_bids_runner import BookEvent, BookLine

PROMISES = frozenset({408, 421, 429, 503})
"""The statuses that say that a request has not run and never will."""
TROUBLES = (BookEvent.COPIED, BookEvent.SPOILED, BookEvent.FAILED)
ENDS = (BookEvent.ANSWERED, BookEvent.FAILED, BookEvent.LOST)
REQUEST_ENDED = "request-ended"
"""The name of the line that a VM writes of each request."""


@attrs.define(kw_only=True, eq=False)
class SentRequest:
    """One request of a client, with the id that it alone bears."""

    id: str
    vm: str
    is_bid: bool
    sent_at: float
    status: int | None = None
    """None where no whole answer came."""
    answered_at: float | None = None


@attrs.frozen(kw_only=True)
class Case:
    """A bid that was answered as not run, and that a runner has run."""

    request: SentRequest
    lines: tuple[BookLine, ...]
    """What the runners wrote of it, in order."""
    vm_line: str
    """What the VM's log says of it: status, outcome and the rest."""

    @property
    def form(self) -> str:
        """What the VM took the bid for, and what its runner did in truth."""
        ends = [line for line in self.lines if line.event in ENDS]
        told = f"{ends[-1].event} {ends[-1].status}" if ends else "did not end"
        if "refused with" in self.vm_line:
            held = "a refusal was believed"
        elif " done " in f"{self.vm_line} ":
            held = "an answer was passed on"
        elif self.vm_line:
            held = "the VM's own word"
        else:
            held = "no line of the VM"
        return f"{held}; the runner {told}"

    def __str__(self) -> str:
        answered_at = self.request.answered_at or 0.0
        runner = "; ".join(
            f"{line.at - answered_at:+.3f} s {line.runner} {line.event} {line.status or ''}"
            f" after {line.served_before} others"
            for line in self.lines
        )
        taken_s = answered_at - self.request.sent_at
        return (
            f"{self.request.id} at {self.request.vm} answered {self.request.status}"
            f" after {taken_s:.3f} s | VM: {self.vm_line or 'no line'} | runner: {runner}"
        )


@attrs.frozen(kw_only=True)
class Verdict:
    """What a play came to."""

    requests: int
    bids: int
    statuses: dict[str, int]
    """Answers to bids by status."""
    refusals: int
    """By runners, of any request."""
    copies: int
    junk: int
    """Bytes that belong to no request, behind an answer."""
    failures: int
    """Requests that a runner ran and answered with a status of its own."""
    losses: int
    """Requests that a runner ran and did not answer."""
    cases: tuple[Case, ...]

    @property
    def forms(self) -> Counter[str]:
        """The cases by their form."""
        return Counter(case.form for case in self.cases)


def judge(requests: Iterable[SentRequest], folder: Path) -> Verdict:
    """Return the verdict on a play by the books and logs of its folder.

    What the clients saw is kept there beside them.
    """
    requests = tuple(requests)
    kept = (json.dumps(attrs.asdict(request)) + "\n" for request in requests)
    (folder / "clients.requests").write_text("".join(kept))
    book = tuple(_read_books(folder))
    by_request: dict[str, list[BookLine]] = {}
    for line in sorted(book, key=lambda line: line.at):
        by_request.setdefault(line.request, []).append(line)
    suspects = [
        request
        for request in requests
        if request.is_bid
        and request.status in PROMISES
        and any(line.event is BookEvent.RAN for line in by_request.get(request.id, ()))
    ]
    vm_lines = _read_logs(folder, {request.id for request in suspects})
    cases = [
        Case(
            request=request,
            lines=tuple(by_request[request.id]),
            vm_line=vm_lines.get(request.id, ""),
        )
        for request in suspects
    ]
    events = Counter(line.event for line in book)
    bids = [request for request in requests if request.is_bid]
    return Verdict(
        requests=len(requests),
        bids=len(bids),
        statuses=dict(Counter(str(bid.status) for bid in bids).most_common()),
        refusals=events[BookEvent.REFUSED],
        copies=events[BookEvent.COPIED],
        junk=events[BookEvent.SPOILED],
        failures=events[BookEvent.FAILED],
        losses=events[BookEvent.LOST],
        cases=tuple(cases),
    )


def count_troubles(folder: Path) -> int:
    """Return how many copies, junk and failures the runners have written so far."""
    return sum(line.event in TROUBLES for line in _read_books(folder))


def _read_books(folder: Path) -> Iterator[BookLine]:
    for path in sorted(folder.glob("*.book")):
        whole, _, _ = path.read_bytes().rpartition(b"\n")
        for line in whole.splitlines():
            yield msgspec.json.decode(line, type=BookLine)


def _read_logs(folder: Path, ids: set[str]) -> dict[str, str]:
    """Return what the VMs' logs say of some requests."""
    found: dict[str, str] = {}
    for path in sorted(folder.glob("*.log")):
        for line in path.read_text(errors="replace").splitlines():
            if REQUEST_ENDED not in line or not line.startswith("{"):
                continue
            fields = json.loads(line).get("fields", {})
            if fields.get("request") in ids:
                found[fields["request"]] = (
                    f"{fields['status']} {fields['outcome']} after {fields['seconds']:.3f} s,"
                    f" {fields['attempts']} attempts, {fields['target']}: {fields['detail']}"
                )
    return found
