"""What has come of the answer to one attempt of a stream, and when."""

from __future__ import annotations

import attrs

from lagoonlever.decisions.engines.answer_stages import AnswerProgress, AnswerStage
from lagoonlever.decisions.streams.silence import RunStatus
from lagoonlever.http.client import ClientConnection
from lagoonlever.http.sse import RawEvent, RawEventSplitter

MOST_UNNUMBERED = 64
"""Events without a number, one after the other, that an answer may have.

Guards against an engine in trouble that sends bytes without end which happen to end events.
"""


@attrs.define(kw_only=True, eq=False)
class AnswerState:
    """Kept by the attempt; times are seconds of the monotonic clock."""

    started: float = 0.0
    connected: float = 0.0
    """When the connection was there. An earlier report may be of another process."""
    connection: ClientConnection | None = None
    """Over which the request was written."""
    splitter: RawEventSplitter = attrs.field(factory=RawEventSplitter)
    has_head: bool = False
    """The engine has begun to run the request."""
    has_event: bool = False
    """The engine has given an event, which may not have been passed on."""
    first_event_at: float | None = None
    last_event_at: float = 0.0
    is_sound: bool = False
    """The answer has flowed for longer than one that ends its engine does."""
    broke_at: float | None = None
    """When the answer broke off, or the engine was missed."""
    is_judged: bool = False
    """Whether the answer is whole, the engine lives, or its loss is being judged."""
    reported: RunStatus | None = None
    """What the engine last said of the run."""
    _unnumbered: int = 0
    """The events without a number since the last one that has one."""

    @property
    def is_flowing(self) -> bool:
        """Whether an event was passed on."""
        return self.first_event_at is not None

    def is_blank(self, event: RawEvent) -> bool:
        """Record an event, and check whether it is blank lines only, which belong to no answer.

        Raise ``ValueError`` for one more event without a number than an answer may have.
        """
        self._unnumbered = self._unnumbered + 1 if event.id is None else 0
        if self._unnumbered > MOST_UNNUMBERED:
            raise ValueError(f"more than {MOST_UNNUMBERED} events in a row have no number")
        return event.id is None and not event.data.strip()

    @property
    def via(self) -> str | None:
        """The VM by way of which the engine was reached, or None."""
        return self.connection.via if self.connection is not None else None

    @property
    def stage(self) -> AnswerStage:
        """How far the engine's answer has come."""
        first_at, connection = self.first_event_at, self.connection
        return AnswerProgress(
            has_bytes=connection is not None and connection.has_bytes,
            has_head=self.has_head,
            has_part_of_event=self.splitter.partial,
            events_for_s=None if first_at is None else self.last_event_at - first_at,
        ).stage
