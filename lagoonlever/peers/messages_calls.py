"""How a gateway asks the one that gives out places at runners, and tells it of ends.

A message that is lost costs a place for a moment, or a wait until the next question: whoever
waits asks again, and a place whose end is never heard lapses.
"""

from __future__ import annotations

import attrs

from lagoonlever.decisions.admission.call_queue import CallEnd, SlotRequest
from lagoonlever.decisions.admission.capacity import (
    CapacityGranted,
    CapacityOutcome,
    CapacityRequest,
    QueuedForCapacity,
    RejectedWithRetryAfter,
)
from lagoonlever.decisions.targets.reported_load import ReportedLoad
from lagoonlever.http.messages import Address
from lagoonlever.peers.messages import PEER


@PEER.message("ca")
@attrs.frozen(kw_only=True)
class PlaceAsk:
    """Asks for a place for one attempt of a call; asked again under its number while it waits."""

    number: int
    """Of the attempt, among those of its VM."""
    reply_to: Address
    service: str
    group: int
    rank: int
    start_in_s: float
    """Until the latest start with which the answer is still on time; below 0 where it is late."""
    end_in_s: float
    repeatable: bool
    data_center: str
    avoid: tuple[str, ...] = ()
    first: str | None = None
    """The runner of the first attempt, where this is for a second beside it."""

    def line_ask(self, request: str, now: float) -> SlotRequest:
        """Give the same by this VM's clock."""
        room = CapacityRequest(
            request_id=request,
            service=self.service,
            rank=self.rank,
            arrived_at=now,
            start_by=now + self.start_in_s,
            end_by=now + self.end_in_s,
            repeatable=self.repeatable,
        )
        return SlotRequest(capacity=room, data_center=self.data_center, avoid=frozenset(self.avoid))


@PEER.message("ct")
@attrs.frozen(kw_only=True)
class PlaceTold:
    """What was decided; of an attempt that waits, a second one follows."""

    number: int
    service: str
    work_s: float
    """What a call usually takes at a runner."""
    target: str | None = None
    wait_s: float | None = None
    ahead: int = 0
    retry_after_s: float | None = None
    detail: str = ""

    @classmethod
    def of(cls, number: int, service: str, outcome: CapacityOutcome, *, work_s: float) -> PlaceTold:
        """Give the message that tells an outcome."""
        if isinstance(outcome, CapacityGranted):
            return cls(number=number, service=service, work_s=work_s, target=outcome.target)
        if isinstance(outcome, QueuedForCapacity):
            return cls(
                number=number,
                service=service,
                work_s=work_s,
                wait_s=outcome.seconds,
                ahead=outcome.ahead,
            )
        return cls(
            number=number,
            service=service,
            work_s=work_s,
            retry_after_s=outcome.retry_after_s,
            detail=outcome.detail,
        )

    @property
    def outcome(self) -> CapacityOutcome:
        """What was decided."""
        if self.target is not None:
            return CapacityGranted(target=self.target)
        if self.retry_after_s is not None:
            return RejectedWithRetryAfter(detail=self.detail, retry_after_s=self.retry_after_s)
        return QueuedForCapacity(seconds=self.wait_s or 0.0, ahead=self.ahead)


@PEER.message("ce")
@attrs.frozen(kw_only=True)
class PlaceEnded:
    """An attempt is over, or waits no longer where it had no place."""

    number: int
    service: str
    group: int
    target: str | None = None
    end: CallEnd = CallEnd.UNUSED
    seconds: float = 0.0
    """At the runner."""
    load: ReportedLoad | None = None
    """The runner's own word."""
