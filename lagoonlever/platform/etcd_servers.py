"""Calls on the servers of an etcd gateway, and what a failure proves about a change."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

import logbook
import msgspec

from lagoonlever.exceptions import (
    BadResponse,
    ConnectFailed,
    ConnectionBroken,
    PeerError,
    PeerTimeout,
    PlatformAnswerLost,
    PlatformUnavailable,
)
from lagoonlever.http.client import Pool, Response, fetch
from lagoonlever.http.messages import Address, Headers
from lagoonlever.http.refusals import JSON_TYPE
from lagoonlever.instruments import Metrics
from lagoonlever.metrics import PLATFORM_CALLS
from lagoonlever.platform.etcd_wire import NOT_FOUND, ErrorResponse, encode
from lagoonlever.platform.events import (
    PLATFORM_ANSWER_LOST,
    PLATFORM_REACHED,
    PLATFORM_UNREACHABLE,
)
from lagoonlever.platform.port import ChangeRefused, LeaseLapsed

log = logbook.Logger(__name__)

CALL_TIMEOUT_S = 1.0
JSON_HEADERS = Headers((("Content-Type", JSON_TYPE),))
TOO_MANY_REQUESTS = 429
REFUSED_STATUSES = (400, 413)
NOT_APPLIED = ("no leader", "too many requests", "space exceeded")
"""Words of those errors of a server that prove that it did not take a change."""


class EtcdServers:
    """The servers in the order in which they are tried; the one that answered last goes first."""

    def __init__(
        self,
        *,
        addresses: Sequence[Address],
        metrics: Metrics | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        self._addresses = list(addresses)
        self._metrics = metrics
        self._timeout_s = timeout_s
        self._pool = Pool()
        self._reached = True

    @property
    def timeout_s(self) -> float:
        """How long one server may take to answer."""
        return self._timeout_s

    def in_turn(self) -> Iterator[Address]:
        """Give each address once; the one that the caller stops at goes first next time."""
        for address in list(self._addresses):
            yield address
            self._addresses.remove(address)
            self._addresses.append(address)

    def count(self, step: str, result: str) -> None:
        """Count one call."""
        if self._metrics is not None:
            self._metrics.add(PLATFORM_CALLS, 1, step, result)

    async def read(
        self, path: str, message: object | None, *, step: str, method: str = "POST"
    ) -> bytes:
        """Make a call that is harmless to repeat, at each server until one answers."""
        errors: list[str] = []
        for address in self.in_turn():
            try:
                response = await self._fetch_pooled(address, path, message, step, method)
                return self._body(response, step, address)
            except (PeerTimeout, ConnectionBroken, ConnectFailed, BadResponse) as error:
                errors.append(str(error))
            except (PlatformUnavailable, PlatformAnswerLost) as error:
                errors.append(str(error))
        raise self.unavailable(errors, step=step)

    async def change(self, path: str, message: object, *, step: str) -> bytes:
        """Make a call that changes something, at one server.

        Guards against a change that is applied twice: only a server that provably
        did not take the call is passed over for the next. A pooled connection could
        close as the request is written and leave that open, so each is fresh.
        """
        errors: list[str] = []
        for address in self.in_turn():
            try:
                response = await self._fetch(address, path, message, step, "POST", None)
                return self._body(response, step, address)
            except (ConnectFailed, PlatformUnavailable) as error:
                errors.append(str(error))
            except (PeerTimeout, ConnectionBroken, BadResponse, PlatformAnswerLost) as error:
                peer = str(address)
                PLATFORM_ANSWER_LOST.log(log, step=step, peer=peer, error=str(error))
                raise PlatformAnswerLost(str(error), step=step, peer=peer) from error
        raise self.unavailable(errors, step=step)

    def unavailable(self, errors: list[str], *, step: str) -> PlatformUnavailable:
        """Note that no server took a call, and give the error that says so."""
        error = PlatformUnavailable("; ".join(errors), step=step, peer="platform")
        if self._reached:
            PLATFORM_UNREACHABLE.log(log, step=step, error=str(error))
        self._reached = False
        return error

    def reached(self, address: Address) -> None:
        """Note that a server answered."""
        if not self._reached:
            PLATFORM_REACHED.log(log, peer=str(address))
        self._reached = True

    async def aclose(self) -> None:
        """Close idle connections."""
        await self._pool.aclose()

    async def _fetch_pooled(
        self, address: Address, path: str, message: object | None, step: str, method: str
    ) -> Response:
        """Fetch by an idle connection, and once more by a fresh one where that had closed."""
        try:
            return await self._fetch(address, path, message, step, method, self._pool)
        except ConnectionBroken:
            return await self._fetch(address, path, message, step, method, None)

    async def _fetch(
        self,
        address: Address,
        path: str,
        message: object | None,
        step: str,
        method: str,
        pool: Pool | None,
    ) -> Response:
        try:
            response = await fetch(
                address,
                method=method,
                path=path,
                headers=JSON_HEADERS,
                body=b"" if message is None else encode(message),
                step=step,
                timeout_s=self._timeout_s,
                pool=pool,
            )
        except PeerError:
            self.count(step, "error")
            raise
        self.count(step, "ok" if response.status == 200 else "error")
        return response

    def _body(self, response: Response, step: str, address: Address) -> bytes:
        if response.status == 200:
            self.reached(address)
            return response.body
        raise error_of(response, step=step, peer=str(address))


def error_of(response: Response, *, step: str, peer: str) -> PeerError:
    """Give the error that a refusal stands for."""
    try:
        error = msgspec.json.decode(response.body, type=ErrorResponse)
    except msgspec.MsgspecError:
        error = ErrorResponse(message=f"status {response.status}")
    if error.code == NOT_FOUND:
        return LeaseLapsed(error.message, step=step, peer=peer)
    if response.status in REFUSED_STATUSES:
        return ChangeRefused(error.message, step=step, peer=peer)
    if response.status == TOO_MANY_REQUESTS or any(word in error.message for word in NOT_APPLIED):
        return PlatformUnavailable(error.message, step=step, peer=peer)
    return PlatformAnswerLost(error.message, step=step, peer=peer)
