"""Nurseries whose block is the work, and whose other tasks only watch beside it."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator

import trio


@contextlib.asynccontextmanager
async def open_work_nursery() -> AsyncIterator[trio.Nursery]:
    """Open a nursery that ends with its block, and raises the block's exception as it is.

    Trio wraps what leaves a nursery in a group, even a single exception; callers that
    expect that exception by its class would miss it.
    """
    try:
        async with trio.open_nursery() as nursery:
            yield nursery
            nursery.cancel_scope.cancel()
    except BaseExceptionGroup as group:
        raise _single(group) from group


def _single(group: BaseExceptionGroup[BaseException]) -> BaseException:
    """Give the one exception of a group, or the group where it holds several."""
    only: BaseException = group
    while isinstance(only, BaseExceptionGroup) and len(only.exceptions) == 1:
        only = only.exceptions[0]
    return only
