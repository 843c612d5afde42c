"""Asks engines for their reports: one question at a time to each, shared by who waits for it."""

from __future__ import annotations

import attrs
import msgspec
import trio

from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.exceptions import PeerError
from lagoonlever.gateway.messages import EngineReport
from lagoonlever.http.client import ClientConnection, Opener, Pool, fetch
from lagoonlever.platform.engine_calls import REPORT_PATH, Report, read_report

PROBE_TIMEOUT_S = 0.1
"""An engine answers in a few milliseconds, whatever it is busy with."""
FRESH_S = 0.05
"""A report this young answers a second question too."""


@attrs.define(kw_only=True)
class _Asked:
    done: trio.Event
    at: float
    report: EngineReport | None = None


@attrs.define(kw_only=True, eq=False)
class EngineProber:
    """Owns the connections for questions."""

    _opener: Opener = ClientConnection.open
    _pool: Pool = attrs.field(init=False)
    _asked: dict[str, _Asked] = attrs.field(factory=dict)
    questions: int = 0

    @_pool.default
    def _make_pool(self) -> Pool:
        return Pool(per_address=1, opener=self._opener)

    async def ask(
        self, engine: ListedTarget, *, since: float = float("-inf")
    ) -> EngineReport | None:
        """Give an engine's report, or None where it does not answer in time.

        An answer to a question from before ``since`` is not taken.
        """
        known = self._asked.get(engine.id)
        if known is not None and known.at < since:
            known = None
        if known is not None and not known.done.is_set():
            await known.done.wait()
            return known.report
        now = trio.current_time()
        if known is not None and now - known.at < FRESH_S:
            return known.report
        asked = self._asked[engine.id] = _Asked(done=trio.Event(), at=now)
        try:
            asked.report = await self._fetch(engine)
        finally:
            asked.done.set()
        return asked.report

    def retain(self, engines: frozenset[str]) -> None:
        """Forget engines that are gone."""
        for engine in self._asked.keys() - engines:
            del self._asked[engine]

    async def _fetch(self, engine: ListedTarget) -> EngineReport | None:
        self.questions += 1
        try:
            with trio.fail_after(PROBE_TIMEOUT_S):
                response = await fetch(
                    engine.address,
                    path=REPORT_PATH,
                    step="report",
                    timeout_s=PROBE_TIMEOUT_S,
                    pool=self._pool,
                )
            return read_report(msgspec.json.decode(response.body, type=Report))
        except (PeerError, trio.TooSlowError, msgspec.MsgspecError):
            # No answer is the answer: the one who asked decides what it means, and logs it.
            return None
