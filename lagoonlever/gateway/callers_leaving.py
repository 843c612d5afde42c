"""Watches for a caller that leaves, beside the work that is done for it."""

from __future__ import annotations

from collections.abc import Callable

import trio

from lagoonlever.http.server import Exchange


async def cancel_when_gone(
    exchange: Exchange, scope: trio.CancelScope, note: Callable[[], None]
) -> None:
    """Cancel the work once its caller has closed its side, so that targets stop too."""
    await exchange.wait_gone()
    note()
    scope.cancel()
