"""Finds which process writes a stream: maybe another one than the list names."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import trio

from lagoonlever.decisions.streams.stream_origins import PROVEN, Writer
from lagoonlever.gateway.attempt_tools import AttemptPlan
from lagoonlever.gateway.messages import EngineReport
from lagoonlever.gateway.prober import EngineProber

QUESTIONS = 3
"""A first event waits for so many lost questions, half a second at most."""
ASK_AGAIN_S = 0.1
"""Between questions to the engine of a stream whose writer is not known."""


@attrs.define(kw_only=True, eq=False)
class WriterFinder:
    """Asks the engine of one attempt.

    An engine may have started again under its id, as another version, before the request was
    sent. Its open connection and a report of now are of one process.
    """

    _plan: AttemptPlan
    _prober: EngineProber
    _take_report: Callable[[EngineReport | None], None]

    async def find(self, *, since: float) -> Writer | None:
        """Return the process that answers, or None if each question was lost.

        A process that is listed without a start is believed: it gets another id with each process.
        One that is not listed may tell its start, and be gone before its id is listed.
        """
        run = self._plan.run
        if run.engine_started_ms is None and run.version is not None:
            return PROVEN
        writer: Writer | None = None
        for _ in range(QUESTIONS):
            writer = writer or await self._ask(since)
        return writer

    async def find_later(self, *, since: float) -> Writer:
        """Ask until the engine has told which process answers."""
        while True:
            await trio.sleep(ASK_AGAIN_S)
            writer = await self._ask(since)
            if writer is not None:
                return writer

    async def _ask(self, since: float) -> Writer | None:
        report = await self._prober.ask(self._plan.engine, since=since)
        self._take_report(report)
        if report is None:
            return None
        proven = report.started_ms in (None, self._plan.run.engine_started_ms)
        return Writer(proven=proven, started_ms=report.started_ms)
