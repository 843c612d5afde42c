"""Finds the engine that has read a returning caller's prompt, where no VM remembers it.

After all VMs were lost at once, callers come back with the last event that they have,
and nobody knows which engine ran their streams. The engines still keep the prompts: a
second reading takes a second and is work in vain, a question to each engine takes
some milliseconds.
"""

from __future__ import annotations

import attrs
import msgspec
import trio

from lagoonlever.decisions.settings.mechanisms import MECHANISMS, gives
from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.exceptions import PeerError
from lagoonlever.http.client import ClientConnection, Opener, Pool, fetch
from lagoonlever.platform.engine_calls import KEPT_PATH, Kept, read_kept

ASK_TIMEOUT_S = 0.15
"""For all engines together: one that does not answer is not waited for."""
MAX_LIST_BYTES = 4 * 1024 * 1024
"""A list names the parts of the prompts of some hundreds of requests."""
FRESH_S = 1.0
"""Callers of one crash come back together; one round of questions serves them all."""


@attrs.define(kw_only=True, eq=False)
class CacheLocator:
    """Asks every engine what it keeps, at most once in ``FRESH_S``."""

    _opener: Opener = ClientConnection.open
    _pool: Pool = attrs.field(init=False)
    _kept: dict[str, dict[str, int]] = attrs.field(factory=dict)
    _asked_at: float = float("-inf")
    _asking: trio.Event | None = None

    @_pool.default
    def _make_pool(self) -> Pool:
        return Pool(per_address=0, opener=self._opener)

    @MECHANISMS.register(
        "cache-locator",
        does="engines are asked which prompts they keep, after a loss of all VMs",
        without="a caller that returns has its prompt read anywhere",
        plain=gives(None),
    )
    async def find(self, part: str, engines: list[ListedTarget]) -> str | None:
        """Return the engine that keeps most of a prompt's own part, or None."""
        await self._refresh(engines)
        tokens = {engine.id: self._kept.get(engine.id, {}).get(part, 0) for engine in engines}
        best = max(tokens, key=lambda engine: tokens[engine], default=None)
        return best if best is not None and tokens[best] else None

    async def _refresh(self, engines: list[ListedTarget]) -> None:
        if self._asking is not None:
            await self._asking.wait()
            return
        if trio.current_time() - self._asked_at < FRESH_S:
            return
        asking = self._asking = trio.Event()
        self._kept = {}
        try:
            with trio.move_on_after(ASK_TIMEOUT_S):
                async with trio.open_nursery() as nursery:
                    for engine in engines:
                        nursery.start_soon(self._ask, engine)
        finally:
            self._asked_at = trio.current_time()
            self._asking = None
            asking.set()

    async def _ask(self, engine: ListedTarget) -> None:
        try:
            response = await fetch(
                engine.address,
                path=KEPT_PATH,
                step="list kept prompts",
                timeout_s=ASK_TIMEOUT_S,
                max_bytes=MAX_LIST_BYTES,
                pool=self._pool,
            )
            kept = read_kept(msgspec.json.decode(response.body, type=Kept))
        except (PeerError, msgspec.MsgspecError, RecursionError):
            # An engine that can't be asked is one that the stream would not be sent to.
            return
        self._kept[engine.id] = kept
