"""Sends calls to the platform's metadata store, and tells what is known of one that failed."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import TypeVar

import attrs
import logbook
import msgspec
import trio

from lagoonlever.exceptions import (
    BadResponse,
    ConnectFailed,
    ConnectionBroken,
    PeerTimeout,
    PlatformAnswerLost,
    PlatformUnavailable,
)
from lagoonlever.http.client import Pool, Response, fetch
from lagoonlever.http.messages import Address, Headers
from lagoonlever.http.refusals import JSON_TYPE
from lagoonlever.platform.store_eras import StoreEras
from lagoonlever.store.events import PLATFORM_ANSWER_LOST, PLATFORM_REACHED, PLATFORM_UNREACHABLE
from lagoonlever.store.port import ChangeRefused, LeaseLapsed

log = logbook.Logger(__name__)

T = TypeVar("T")

JSON_HEADERS = Headers((("Content-Type", JSON_TYPE),))


@attrs.frozen(kw_only=True)
class StoreCall:
    """One call: where it goes, and its body for those that change something."""

    step: str
    method: str
    path: str
    body: bytes = b""
    changes: bool = False
    timeout_s: float | None = None
    """Where it may take longer than others."""
    keepalive_s: int | None = None
    """Between TCP keep-alive probes, of a call that waits on a connection of its own."""

    @property
    def is_pooled(self) -> bool:
        """Whether it may go on a connection that was used before."""
        return not self.changes and self.keepalive_s is None


@attrs.frozen(kw_only=True)
class StoreAnswer:
    """An answer, and the era of the store that gave it."""

    status: int
    body: bytes
    era: int


class StoreCalls:
    """Safe for use by many tasks; ``on_call`` is told the step of every call that is sent."""

    def __init__(
        self,
        *,
        address: Address,
        on_call: Callable[[str], None],
        on_back: Callable[[], None],
        on_restored: Callable[[], None],
        timeout_s: float,
    ) -> None:
        self._address = address
        self._on_call = on_call
        self._on_back = on_back
        self._on_restored = on_restored
        self._timeout_s = timeout_s
        self._pool = Pool()
        self._reached = True
        self._back_at: float | None = None
        self._eras = StoreEras(on_restored=self._note_restored)

    @property
    def peer(self) -> str:
        """The store's address, for errors."""
        return str(self._address)

    @property
    def era(self) -> int:
        """The newest era that an answer told."""
        return self._eras.newest

    @property
    def back_at(self) -> float | None:
        """When the store was last there again after it was away, or came back from a copy."""
        return self._back_at

    @property
    def is_away(self) -> bool:
        """Whether the last call found the store away."""
        return not self._reached

    def move_to(self, address: Address) -> None:
        """Send the next calls to another address of the store."""
        self._address = address

    async def send(self, call: StoreCall) -> StoreAnswer:
        """Send a call; one that changes nothing is sent again where a kept connection broke."""
        try:
            try:
                return await self._fetch(call, pooled=call.is_pooled)
            except ConnectionBroken:
                if not call.is_pooled:
                    raise
                return await self._fetch(call, pooled=False)
        except ConnectFailed as error:
            raise self.unavailable(call, error.message) from error
        except (ConnectionBroken, PeerTimeout, BadResponse) as error:
            raise self._unanswered(call, error.message) from error

    def checked(self, answer: StoreAnswer, call: StoreCall, body: type[T]) -> T:
        """Give the body of a successful answer; raises by what the status proves."""
        if answer.status == HTTPStatus.OK:
            return self.decoded(answer, call, body)
        if answer.status == HTTPStatus.NOT_FOUND:
            raise LeaseLapsed("the lease is gone", step=call.step, peer=self.peer)
        if answer.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            raise ChangeRefused(f"status {answer.status}", step=call.step, peer=self.peer)
        raise self._unanswered(call, f"status {answer.status}")

    def decoded(self, answer: StoreAnswer, call: StoreCall, body: type[T]) -> T:
        """Give the body of an answer of any status; raises as for one that was lost."""
        try:
            return msgspec.json.decode(answer.body or b"{}", type=body)
        except (msgspec.MsgspecError, RecursionError) as error:
            raise self._unanswered(call, str(error)) from error

    def unavailable(self, call: StoreCall, message: str) -> PlatformUnavailable:
        """Give the error of a call that has changed nothing, and note that the store is away."""
        error = PlatformUnavailable(message, step=call.step, peer=self.peer)
        if self._reached:
            PLATFORM_UNREACHABLE.log(log, step=call.step, error=str(error))
        self._reached = False
        return error

    async def aclose(self) -> None:
        """Close idle connections."""
        await self._pool.aclose()

    async def _fetch(self, call: StoreCall, *, pooled: bool) -> StoreAnswer:
        self._on_call(call.step)
        response = await fetch(
            self._address,
            method=call.method,
            path=call.path,
            headers=JSON_HEADERS,
            body=call.body,
            step=call.step,
            timeout_s=call.timeout_s or self._timeout_s,
            pool=self._pool if pooled else None,
            keepalive_s=call.keepalive_s,
        )
        return self._taken(response, call)

    def _taken(self, response: Response, call: StoreCall) -> StoreAnswer:
        """Take note of an answer; raises ``PlatformUnavailable`` for one that refuses."""
        era = self._eras.read(response.headers)
        if response.status in (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS):
            raise self.unavailable(call, f"status {response.status}")
        if not self._reached:
            PLATFORM_REACHED.log(log, peer=self.peer)
            self._reached = True
            self._note_back()
        return StoreAnswer(status=response.status, body=response.body, era=era)

    def _note_restored(self) -> None:
        self._on_restored()
        self._note_back()

    def _note_back(self) -> None:
        self._back_at = trio.current_time()
        self._on_back()

    def _unanswered(
        self, call: StoreCall, message: str
    ) -> PlatformUnavailable | PlatformAnswerLost:
        """Give the error of a call that was sent and got no readable answer."""
        if not call.changes:
            return self.unavailable(call, message)
        PLATFORM_ANSWER_LOST.log(log, step=call.step, peer=self.peer, error=message)
        return PlatformAnswerLost(message, step=call.step, peer=self.peer)
