"""Has an engine's end counted against its request, whichever way the attempt there ended."""

from __future__ import annotations

import attrs

from lagoonlever.decisions.engines.answer_stages import CrashWeights, weigh_crash
from lagoonlever.decisions.streams.stream_lifecycle import StreamLifecycle
from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.gateway.accepted import Accepted
from lagoonlever.gateway.answer_state import AnswerState
from lagoonlever.gateway.attempt_tools import AttemptTools


@attrs.define(kw_only=True, eq=False)
class AttemptCrashes:
    """What one attempt tells those that count crashes."""

    _accepted: Accepted
    _life: StreamLifecycle
    _engine: ListedTarget
    _tools: AttemptTools
    _answer: AnswerState

    @property
    def is_down(self) -> bool:
        """Whether the engine is lost by the evidence of more than this VM."""
        return self._tools.dialer.is_down(self._engine.address)

    @property
    def _is_leaving(self) -> bool:
        """Whether the engine's process said that it leaves."""
        leaving = self._tools.beliefs.targets.leaving
        return leaving.is_leaving(self._engine.id, self._engine.started_ms)

    @property
    def _weights(self) -> CrashWeights:
        """How much the end of the engine would count against the request."""
        return weigh_crash(
            self._answer.stage,
            has_flowed=self._life.has_flowed,
            goes_on=bool(self._accepted.caller.last_event_id),
        )

    async def record_lost(self, *, is_silent: bool) -> None:
        """Have the loss of the engine counted against the request, if it ended under it.

        ``is_silent`` tells that the engine was missed, and not its answer cut.
        """
        crashes, weights = self._tools.crashes, self._weights
        self._answer.is_judged = True
        if weights.is_nothing:
            return
        sent_at = self._answer.started
        if self.is_down or not self._tools.dialer.may_ask_others:
            await crashes.ended_under(
                self._accepted, self._engine, weights=weights, sent_at=sent_at
            )
            return
        # One that fell silent was missed for long enough, and one that leaves ends in any case:
        # its request doesn't wait any longer.
        await crashes.lost_unproven(
            self._accepted,
            self._engine,
            weights=weights,
            sent_at=sent_at,
            waits=not self._is_leaving and (not is_silent or self._answer.has_head),
        )

    def record_left(self) -> None:
        """Have it found out whether the engine ends under a request that was left."""
        answer, weights = self._answer, self._weights
        if answer.connection is None or answer.is_judged or weights.is_nothing:
            return
        self._tools.crashes.left(
            self._accepted,
            self._engine,
            weights=weights,
            sent_at=answer.started,
            broke_at=answer.broke_at,
        )
