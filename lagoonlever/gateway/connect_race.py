"""Tries several ways to one server, each with a head start before the next (as in RFC 8305)."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence

import attrs
import trio

from lagoonlever.exceptions import ConnectFailed
from lagoonlever.http.client import ClientConnection

Way = Callable[[], Awaitable[ClientConnection]]
"""Opens a connection; raises ``ConnectFailed``."""


class NoWay(Exception):
    """Raised by a way that shows that no other one leads to the server."""


@attrs.define(kw_only=True, eq=False)
class ConnectRace:
    """One race; ``run`` is called once."""

    _ways: Sequence[Way]
    _head_start_s: float
    _won: ClientConnection | None = None
    _scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)

    async def run(self) -> ClientConnection | None:
        """Return the connection of the first way that leads there, or None if none does.

        A way is tried once those before it have failed, or had the head start without success.
        """
        try:
            with self._scope:
                await self._try_all()
        except BaseException:
            if self._won is not None:
                with trio.CancelScope(shield=True):
                    await self._won.aclose()
            raise
        return self._won

    async def _try_all(self) -> None:
        async with trio.open_nursery() as nursery:
            for way in self._ways:
                failed = trio.Event()
                nursery.start_soon(self._try, way, failed)
                with trio.move_on_after(self._head_start_s):
                    await failed.wait()
                # A process that was late itself gives the way its turn before it is judged.
                await trio.lowlevel.checkpoint()

    async def _try(self, way: Way, failed: trio.Event) -> None:
        try:
            connection = await way()
        except ConnectFailed:
            # The way has recorded its failure; the next one is tried.
            failed.set()
            return
        except NoWay:
            self._scope.cancel()
            return
        if self._won is not None:
            with trio.CancelScope(shield=True):
                await connection.aclose()
            return
        self._won = connection
        self._scope.cancel()
