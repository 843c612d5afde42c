"""What a gateway asks of one that holds the book of runs, and what it is told.

A question that gets no answer is asked of another VM, and then decided by what the asking
VM knows itself, so nothing hangs on these messages but a better place.
"""

from __future__ import annotations

import attrs

from lagoonlever.decisions.engines.engine_timings import StoredTimings
from lagoonlever.decisions.streams.engine_runs import EngineRun
from lagoonlever.decisions.streams.run_placement import (
    NoEngine,
    Overloaded,
    Placed,
    PlacementRequest,
    RetryBudgetExhausted,
    RunOutcome,
)
from lagoonlever.http.messages import Address
from lagoonlever.peers.messages import PEER


@PEER.message("pa")
@attrs.frozen(kw_only=True)
class PlacementAsk:
    """Asks where an attempt of a stream is to go."""

    number: int
    """Of the question, among those of its VM."""
    reply_to: Address
    ask: PlacementRequest


@PEER.message("pt")
@attrs.frozen(kw_only=True)
class PlacementTold:
    """The answer; with none of the three, no engine can be chosen."""

    number: int
    placed: Placed | None = None
    overloaded: Overloaded | None = None
    budget_spent: bool = False
    pace: StoredTimings | None = None
    """What is known of the service's engines, for a VM that has seen few streams."""

    @classmethod
    def of(cls, number: int, outcome: RunOutcome, pace: StoredTimings | None) -> PlacementTold:
        """Give the message that tells an outcome."""
        return cls(
            number=number,
            placed=outcome if isinstance(outcome, Placed) else None,
            overloaded=outcome if isinstance(outcome, Overloaded) else None,
            budget_spent=isinstance(outcome, RetryBudgetExhausted),
            pace=pace,
        )

    @property
    def outcome(self) -> RunOutcome:
        """What was decided."""
        if self.placed is not None:
            return self.placed
        if self.overloaded is not None:
            return self.overloaded
        return RetryBudgetExhausted() if self.budget_spent else NoEngine()


@attrs.frozen(kw_only=True)
class FormerRun:
    """What is known of the last run of a stream that did not end whole."""

    service: str
    part: str | None
    """The id of the prompt's own segment."""
    returning: bool
    """Its caller has a part of the answer, so engines may be asked who keeps the prompt."""
    begun_by: str | None = None
    """The request that began the stream, where the caller names it."""
    version: str | None = None
    """The version of the software that began it."""
    fingerprint: str | None = None
    """Digest of what the request asks, the same in each of its retries."""


@PEER.message("pf")
@attrs.frozen(kw_only=True)
class FormerRunAsk:
    """Asks for the last run of a stream that did not end whole."""

    number: int
    reply_to: Address
    wanted: FormerRun


@PEER.message("pg")
@attrs.frozen(kw_only=True)
class FormerRunTold:
    """The last run that gave an event, or else the engine that keeps most of the prompt."""

    number: int
    run: EngineRun | None = None
    kept_at: str | None = None


@PEER.message("pb")
@attrs.frozen(kw_only=True)
class BookAsk:
    """Asks for all open runs, of a VM that is to hold the book from now on."""

    reply_to: Address
