"""Calls of the administration API of an entry VM, with the operator's key."""

from __future__ import annotations

from typing import TypeVar

import attrs
import msgspec
import trio

from lagoonlever.exceptions import BadResponse, ConnectionBroken, PeerTimeout
from lagoonlever.http.client import Response, fetch
from lagoonlever.http.messages import Address, Headers

T = TypeVar("T")

READ_TIMEOUT_S = 10.0
CHANGE_TIMEOUT_S = 60.0
CHANGE_TRIES = 3
RETRY_S = 0.5
HTTP_OK = 200
STEP = "administer"


@attrs.frozen(kw_only=True)
class Answered:
    """A decoded answer; ``resent`` if an earlier try may have taken effect unheard."""

    body: bytes
    resent: bool


@attrs.frozen(kw_only=True)
class AdminClient:
    """The API of one VM.

    All calls raise ``ConnectFailed``, ``ConnectionBroken``, ``PeerTimeout`` or ``BadResponse``.
    """

    address: Address
    key: str | None = None

    async def get(self, path: str, cls: type[T], *, timeout_s: float = READ_TIMEOUT_S) -> T:
        """Read a resource."""
        response = await self._fetch("GET", path, timeout_s=timeout_s)
        return self.decode(self._body(response, (HTTP_OK,)), cls)

    async def post(self, path: str, body: object, cls: type[T]) -> T:
        """Ask something that changes nothing."""
        response = await self._fetch("POST", path, body=body, timeout_s=READ_TIMEOUT_S)
        return self.decode(self._body(response, (HTTP_OK,)), cls)

    async def send_change(self, path: str, body: object, *, statuses: tuple[int, ...]) -> Answered:
        """Send a change that may be made twice without harm, again if its answer is lost."""
        for left in reversed(range(CHANGE_TRIES)):
            try:
                response = await self._fetch("POST", path, body=body, timeout_s=CHANGE_TIMEOUT_S)
            except (ConnectionBroken, PeerTimeout):
                if not left:
                    raise
                await trio.sleep(RETRY_S)
                continue
            break
        return Answered(body=self._body(response, statuses), resent=left < CHANGE_TRIES - 1)

    def decode(self, body: bytes, cls: type[T]) -> T:
        """Read a body; raises ``BadResponse``."""
        try:
            return msgspec.json.decode(body, type=cls)
        except msgspec.MsgspecError as error:
            raise BadResponse(str(error), step=STEP, peer=str(self.address)) from error

    async def _fetch(
        self, method: str, path: str, *, body: object = None, timeout_s: float
    ) -> Response:
        headers = Headers()
        if self.key is not None:
            headers = headers.with_field("Authorization", f"Bearer {self.key}")
        return await fetch(
            self.address,
            method=method,
            path=path,
            headers=headers,
            body=b"" if body is None else msgspec.json.encode(body),
            step=STEP,
            timeout_s=timeout_s,
        )

    def _body(self, response: Response, statuses: tuple[int, ...]) -> bytes:
        """Give an expected answer's body; a refusal's message goes into ``BadResponse``.

        A change's own answers may have the status of a refusal made before it was
        looked at, such as a platform that is down, so the shape tells them apart.
        """
        refusal = _refusal_in(response.body)
        if refusal is None and response.status in statuses:
            return response.body
        message = refusal or f"status {response.status}"
        raise BadResponse(message, step=STEP, peer=str(self.address))


@attrs.frozen(kw_only=True)
class _RefusalBody:
    message: str


@attrs.frozen(kw_only=True)
class _Refusal:
    error: _RefusalBody


def _refusal_in(body: bytes) -> str | None:
    try:
        return msgspec.json.decode(body, type=_Refusal).error.message
    except msgspec.MsgspecError:
        return None
