"""Watches for a caller that leaves, beside the work that is done for it."""

from __future__ import annotations

from collections.abc import Callable

import trio

from lagoonlever.http.exchange import Exchange


async def cancel_when_gone(
    exchange: Exchange, scope: trio.CancelScope, is_gone: Callable[[], bool]
) -> None:
    """Cancel the work once its caller has closed its side, so that targets stop too.

    ``is_gone`` notes that the caller has left; it gives False where the caller has its
    whole answer already, as one that closes its connection after it.
    """
    await exchange.wait_gone()
    if is_gone():
        scope.cancel()
