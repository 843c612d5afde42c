"""Orders engines to copy the memory of their runs to other engines."""

from __future__ import annotations

from http import HTTPStatus

import attrs
import msgspec

from lagoonlever.decisions.streams.engine_runs import RunCopy
from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.exceptions import PeerError
from lagoonlever.http.client import ClientConnection, Opener, Pool, fetch
from lagoonlever.http.messages import Address, Headers
from lagoonlever.http.refusals import JSON_TYPE
from lagoonlever.platform.engine_calls import COPY_PATH, FREE_PATH, CopyAsk, CopyMade

COPY_TIMEOUT_S = 0.5
"""A run of 6,000 tokens takes 3 ms on the engines' links; more means that they are busy."""

MAX_ANSWER_BYTES = 64 * 1024
"""An answer names one copy."""


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
            response = await fetch(
                source.address,
                method="POST",
                path=COPY_PATH,
                headers=Headers((("Content-Type", JSON_TYPE),)),
                body=msgspec.json.encode(CopyAsk(id=request, to=str(to.address))),
                step="copy run",
                timeout_s=COPY_TIMEOUT_S,
                max_bytes=MAX_ANSWER_BYTES,
                pool=self._pool,
            )
            if response.status != HTTPStatus.OK:
                return f"status {response.status}"
            made = msgspec.json.decode(response.body, type=CopyMade)
        except (PeerError, msgspec.MsgspecError, RecursionError) as error:
            return str(error)
        return RunCopy(
            holder=to.id,
            address=source.address,
            name=made.handle,
            holder_started_ms=to.started_ms,
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
