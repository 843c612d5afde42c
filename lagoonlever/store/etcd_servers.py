"""Calls on the servers of an etcd gateway, and what a failure proves about a change."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from http import HTTPStatus
from typing import Generic, TypeVar

import attrs
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
from lagoonlever.store.etcd_wire import NOT_FOUND, ErrorResponse, encode
from lagoonlever.store.events import (
    PLATFORM_ANSWER_LOST,
    PLATFORM_REACHED,
    PLATFORM_UNREACHABLE,
)
from lagoonlever.store.port import ChangeRefused, LeaseLapsed

log = logbook.Logger(__name__)

CALL_TIMEOUT_S = 1.0
JSON_HEADERS = Headers((("Content-Type", JSON_TYPE),))
REFUSED_STATUSES = (HTTPStatus.BAD_REQUEST, HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
NOT_APPLIED = ("no leader", "too many requests", "space exceeded")
"""Words of those errors of a server that prove that it did not take a change."""
UNANSWERED = (ConnectFailed, PeerTimeout, ConnectionBroken, BadResponse)
"""What a call raises that got no readable answer; only the first proves that nothing was sent."""

T = TypeVar("T")


@attrs.frozen(kw_only=True)
class EtcdCall(Generic[T]):
    """One call of the gateway: what is sent, and the class that its answer is read as."""

    step: str
    path: str
    answer: type[T]
    message: object | None = None
    method: str = "POST"


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

    async def read(self, call: EtcdCall[T]) -> T:
        """Make a call that is harmless to repeat, at each server until one answers."""
        errors: list[str] = []
        for address in self.in_turn():
            try:
                return self._answer(call, address, await self._fetch_pooled(call, address))
            except (*UNANSWERED, PlatformUnavailable, PlatformAnswerLost) as error:
                errors.append(str(error))
        raise self.unavailable(errors, step=call.step)

    async def change(self, call: EtcdCall[T]) -> T:
        """Make a call that changes something, at one server.

        Guards against a change that is applied twice: only a server that provably
        did not take the call is passed over for the next. A pooled connection could
        close as the request is written and leave that open, so each is fresh.
        """
        errors: list[str] = []
        for address in self.in_turn():
            try:
                return self._answer(call, address, await self._fetch(call, address))
            except (ConnectFailed, PlatformUnavailable) as error:
                errors.append(str(error))
            except (*UNANSWERED, PlatformAnswerLost) as error:
                peer = str(address)
                PLATFORM_ANSWER_LOST.log(log, step=call.step, peer=peer, error=error.message)
                raise PlatformAnswerLost(error.message, step=call.step, peer=peer) from error
        raise self.unavailable(errors, step=call.step)

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

    async def _fetch_pooled(self, call: EtcdCall[T], address: Address) -> Response:
        """Fetch by an idle connection, and once more by a fresh one where that had closed."""
        try:
            return await self._fetch(call, address, pool=self._pool)
        except ConnectionBroken:
            return await self._fetch(call, address)

    async def _fetch(
        self, call: EtcdCall[T], address: Address, *, pool: Pool | None = None
    ) -> Response:
        try:
            response = await fetch(
                address,
                method=call.method,
                path=call.path,
                headers=JSON_HEADERS,
                body=b"" if call.message is None else encode(call.message),
                step=call.step,
                timeout_s=self._timeout_s,
                pool=pool,
            )
        except PeerError:
            self.count(call.step, "error")
            raise
        self.count(call.step, "ok" if response.status == HTTPStatus.OK else "error")
        return response

    def _answer(self, call: EtcdCall[T], address: Address, response: Response) -> T:
        peer = str(address)
        if response.status != HTTPStatus.OK:
            raise error_of(response, step=call.step, peer=peer)
        try:
            answer = msgspec.json.decode(response.body, type=call.answer)
        except msgspec.MsgspecError as error:
            raise BadResponse(str(error), step=call.step, peer=peer) from error
        self.reached(address)
        return answer


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
    if _proves_not_applied(response, error):
        return PlatformUnavailable(error.message, step=step, peer=peer)
    return PlatformAnswerLost(error.message, step=step, peer=peer)


def _proves_not_applied(response: Response, error: ErrorResponse) -> bool:
    if response.status == HTTPStatus.TOO_MANY_REQUESTS:
        return True
    return any(word in error.message for word in NOT_APPLIED)
