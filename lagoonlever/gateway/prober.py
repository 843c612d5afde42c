"""Asks engines for their reports: one question at a time to each, shared by who waits for it."""

from __future__ import annotations

import attrs
import msgspec
import trio

from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.exceptions import ConnectFailed, PeerError
from lagoonlever.gateway.messages import EngineReport
from lagoonlever.http.client import ClientConnection, Opener, Pool
from lagoonlever.http.messages import Address
from lagoonlever.platform.engine_calls import REPORT_PATH, Report, read_report

PROBE_TIMEOUT_S = 0.16
"""An engine answers in a few milliseconds, whatever it is busy with; the rest is for finding out
whether another VM reaches it."""
HEAD_START_S = 0.03
"""Before a new connection is tried beside a kept one."""
LAST_WAIT_S = 0.03
"""For an answer on the kept connection once a new one has failed."""
MAX_REPORT_BYTES = 1024 * 1024
"""A report lists some dozens of runs."""
FRESH_S = 0.05
"""A report this young answers a second question too."""


@attrs.define(kw_only=True)
class _Asked:
    done: trio.Event
    at: float
    report: EngineReport | None = None
    broke: bool = False
    """A new connection was opened for the question, and closed before an answer."""
    is_given_up: bool = False
    """Whoever asked has left; that says nothing of the engine."""


@attrs.define(kw_only=True, eq=False)
class _Question:
    """One question, asked on up to two connections."""

    report: EngineReport | None = None
    broke: bool = False
    """The new connection was closed before an answer."""
    failed: trio.Event = attrs.field(factory=trio.Event)
    """Set once the kept connection has failed."""
    answered: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    """Cancelled by the first answer."""


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
        """Return an engine's report, or None where it does not answer in time.

        An answer to a question from before ``since`` is not taken.
        """
        while (known := self._shared(engine, since)) is not None:
            await known.done.wait()
            if not known.is_given_up:
                return known.report
        asked = _Asked(done=trio.Event(), at=trio.current_time())
        self._asked[engine.id] = asked
        try:
            question = await self._fetch(engine)
            asked.report, asked.broke = question.report, question.broke
        except BaseException:
            asked.is_given_up = True
            raise
        finally:
            asked.done.set()
        return asked.report

    def _shared(self, engine: ListedTarget, since: float) -> _Asked | None:
        """Return a question that is being asked, or was a moment ago, if its answer is of use."""
        known = self._asked.get(engine.id)
        if known is None or known.at < since or known.is_given_up:
            return None
        if known.done.is_set() and trio.current_time() - known.at >= FRESH_S:
            return None
        return known

    def has_broken(self, engine_id: str) -> bool:
        """Check whether the last question's new connection was opened, and closed unanswered."""
        asked = self._asked.get(engine_id)
        return asked is not None and asked.report is None and asked.broke

    async def forget(self, address: Address) -> None:
        """Close the kept connection to an engine."""
        await self._pool.drop(address)

    def retain(self, engines: frozenset[str]) -> None:
        """Forget engines that are gone."""
        for engine in self._asked.keys() - engines:
            del self._asked[engine]

    async def _fetch(self, engine: ListedTarget) -> _Question:
        """Ask on the kept connection, and on a new one as well if there is no answer at once.

        A kept connection may lead over a path that was lost since. No answer is an answer, too:
        the one who asked decides what it means, and logs it.
        """
        self.questions += 1
        question = _Question()
        with trio.move_on_after(PROBE_TIMEOUT_S), question.answered:
            async with trio.open_nursery() as nursery:
                kept = await self._pool.take_kept(engine.address)
                if kept is not None:
                    nursery.start_soon(self._ask_on, kept, question)
                    with trio.move_on_after(HEAD_START_S):
                        await question.failed.wait()
                await self._ask_anew(engine, question)
                with trio.move_on_after(LAST_WAIT_S):
                    await question.failed.wait()
                nursery.cancel_scope.cancel()
        return question

    async def _ask_anew(self, engine: ListedTarget, question: _Question) -> None:
        try:
            fresh = await self._opener(engine.address, timeout_s=PROBE_TIMEOUT_S)
        except ConnectFailed:
            return
        await self._ask_on(fresh, question)
        question.broke = question.report is None and question.failed.is_set()

    async def _ask_on(self, connection: ClientConnection, question: _Question) -> None:
        try:
            await connection.start(method="GET", path=REPORT_PATH, step="report")
            await connection.read_head()
            body = await connection.read_body(max_bytes=MAX_REPORT_BYTES)
            report = read_report(msgspec.json.decode(body, type=Report))
        except (PeerError, msgspec.MsgspecError, RecursionError):
            question.failed.set()
            return
        finally:
            with trio.CancelScope(shield=True):
                await self._pool.put_back(connection)
        question.report = question.report or report
        question.answered.cancel()
