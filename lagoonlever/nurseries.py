"""Nurseries whose block is the work, and whose other tasks only watch beside it."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator, Iterator

import trio


@contextlib.asynccontextmanager
async def open_work_nursery() -> AsyncIterator[trio.Nursery]:
    """Open a nursery that ends with its block, and raises the block's exception as it is.

    Trio wraps what leaves a nursery in a group, even a single exception; callers that
    expect that exception by its class would miss it. Where another task fails in the same moment
    as the block, the block's exception is raised, with the group as its cause.
    """
    raised: BaseException | None = None
    try:
        async with trio.open_nursery() as nursery:
            try:
                yield nursery
            except BaseException as error:
                raised = error
                raise
            nursery.cancel_scope.cancel()
    except BaseExceptionGroup as group:
        raise _chosen(group, raised) from group


def _chosen(
    group: BaseExceptionGroup[BaseException], raised: BaseException | None
) -> BaseException:
    """Return the block's exception if it is in a group, or else the first one that is."""
    leaves = list(_leaves(group))
    return next((leaf for leaf in leaves if leaf is raised), leaves[0])


def _leaves(error: BaseException) -> Iterator[BaseException]:
    if not isinstance(error, BaseExceptionGroup):
        yield error
        return
    for inner in error.exceptions:
        yield from _leaves(inner)
