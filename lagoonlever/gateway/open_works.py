"""Work on requests that is ended once news of them come."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator

import attrs
import trio

from lagoonlever.gateway.accepted import Accepted


@attrs.frozen(kw_only=True, eq=False)
class OpenWork:
    """Work on a request that waits at an engine."""

    accepted: Accepted
    scope: trio.CancelScope
    leaves: str | None
    """The engine where it waits, if it may wait at another one instead."""


@attrs.define(kw_only=True, eq=False)
class OpenWorks:
    """All such work of this VM."""

    _works: set[OpenWork] = attrs.field(factory=set)

    @contextlib.contextmanager
    def holding(self, work: OpenWork) -> Iterator[None]:
        """Keep a piece of work for as long as the block runs."""
        self._works.add(work)
        try:
            yield
        finally:
            self._works.discard(work)

    def cancel_where(self, condition: Callable[[OpenWork], bool]) -> None:
        """Cancel all work for which a condition holds."""
        for work in list(self._works):
            if condition(work):
                work.scope.cancel()
