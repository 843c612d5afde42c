"""Orders engines to copy the memory of their runs to other engines."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus

import attrs
import msgspec

from lagoonlever.decisions.streams.engine_runs import RunCopy
from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.exceptions import PeerError
from lagoonlever.http.client import ClientConnection, Opener, Pool, Response, fetch
from lagoonlever.http.messages import Address, Headers
from lagoonlever.http.refusals import JSON_TYPE
from lagoonlever.platform.engine_calls import COPY_PATH, FREE_PATH, CopyAsk, CopyMade

STOP_TIMEOUT_S = 0.15
"""The stream waits for the answer; engines give it within a few milliseconds."""
COPY_TIMEOUT_S = 0.5
"""A run of 6,000 tokens takes 3 ms on the engines' links; more means that they are busy."""

MAX_ANSWER_BYTES = 64 * 1024
"""An answer names one copy."""


@dataclass(frozen=True, kw_only=True)
class RunStopped:
    """The engine has stopped a run."""

    copy: RunCopy | None
    """Its memory at the engine that it was to go to; None if there was no room."""
    kept: RunCopy | None
    """What of its memory is to be freed if nobody uses it."""


@dataclass(frozen=True, kw_only=True)
class NoSuchRun:
    """The engine has no such run."""


@attrs.define(kw_only=True, eq=False)
class RunCopier:
    """Owns the connections for the calls, each of which has one of its own.

    Answers name no run: on a kept connection a late second copy of an answer would be taken for
    the answer on another run, which would then go on from the memory of the first one.
    """

    _opener: Opener = ClientConnection.open
    _pool: Pool = attrs.field(init=False)

    @_pool.default
    def _make_pool(self) -> Pool:
        return Pool(per_address=0, opener=self._opener)

    async def forget(self, address: Address) -> None:
        """Close the kept connection to an engine."""
        await self._pool.drop(address)

    async def copy(self, request: str, *, source: ListedTarget, to: ListedTarget) -> RunCopy | str:
        """Copy a run while it goes on; return the copy, or why there is none."""
        try:
            response = await self._order(request, source=source, to=to, last=False)
            if response.status != HTTPStatus.OK:
                return f"status {response.status}"
            made = msgspec.json.decode(response.body, type=CopyMade)
        except (PeerError, msgspec.MsgspecError, RecursionError) as error:
            return str(error)
        if not made.handle:
            return "no handle"
        return _made_copy(made, source=source, to=to)

    async def stop(
        self, request: str, *, source: ListedTarget, to: ListedTarget
    ) -> RunStopped | NoSuchRun | str:
        """Stop a run and have its memory copied; return what became of it, or why nobody knows.

        The engine stops the run first, whether there is room for the copy or not.
        """
        try:
            response = await self._order(request, source=source, to=to, last=True)
            if response.status == HTTPStatus.NOT_FOUND:
                return NoSuchRun()
            if response.status not in (HTTPStatus.OK, HTTPStatus.SERVICE_UNAVAILABLE):
                return f"status {response.status}"
            made = msgspec.json.decode(response.body or b"{}", type=CopyMade)
        except (PeerError, msgspec.MsgspecError, RecursionError) as error:
            return str(error)
        if not made.handle:
            return RunStopped(copy=None, kept=None)
        copy = _made_copy(made, source=source, to=to)
        return RunStopped(copy=copy if response.status == HTTPStatus.OK else None, kept=copy)

    async def _order(
        self, request: str, *, source: ListedTarget, to: ListedTarget, last: bool
    ) -> Response:
        """Send an order for a copy; raises ``PeerError``."""
        ask = CopyAsk(id=request, to=str(to.address), last=last)
        return await fetch(
            source.address,
            method="POST",
            path=COPY_PATH,
            headers=Headers((("Content-Type", JSON_TYPE),)),
            body=msgspec.json.encode(ask),
            step="stop run" if last else "copy run",
            timeout_s=STOP_TIMEOUT_S if last else COPY_TIMEOUT_S,
            max_bytes=MAX_ANSWER_BYTES,
            pool=self._pool,
        )

    async def free(self, copy: RunCopy) -> str | None:
        """Free the memory of a copy at both engines; return what went wrong, or None.

        An engine keeps an unused copy for seconds, in which it serves nobody.
        """
        try:
            response = await fetch(
                copy.address,
                method="DELETE",
                path=f"{FREE_PATH}{copy.name}",
                step="free copy",
                timeout_s=COPY_TIMEOUT_S,
                max_bytes=MAX_ANSWER_BYTES,
                pool=self._pool,
            )
        except PeerError as error:
            return str(error)
        return None if response.status == HTTPStatus.OK else f"status {response.status}"


def _made_copy(made: CopyMade, *, source: ListedTarget, to: ListedTarget) -> RunCopy:
    return RunCopy(
        holder=to.id,
        address=source.address,
        name=made.handle,
        holder_started_ms=to.started_ms,
    )
