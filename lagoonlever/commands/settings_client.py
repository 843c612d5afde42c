"""Talks to the administration API of an entry VM."""

from __future__ import annotations

from typing import TypeVar
from urllib.parse import urlencode

import attrs
import msgspec
import trio

from lagoonlever.decisions.settings_watchers import InForce
from lagoonlever.entry.admin_messages import (
    CHANGE_PATH,
    CHECK_PATH,
    HISTORY_PATH,
    IN_FORCE_PATH,
    NODE_PATH,
    SETTINGS_PATH,
    ChangeTold,
    CheckAsked,
    CheckTold,
    HistoryShown,
    NodeShown,
    SettingsShown,
)
from lagoonlever.exceptions import BadResponse, ConnectionBroken, PeerTimeout
from lagoonlever.http.client import Response, fetch
from lagoonlever.http.messages import Address, Headers
from lagoonlever.tree.change_plan import ChangeRequest

T = TypeVar("T")

READ_TIMEOUT_S = 10.0
CHANGE_TIMEOUT_S = 60.0
CHANGE_TRIES = 3
"""A change is sent again under its own id, which makes it at most once."""
RETRY_S = 0.5
HTTP_OK = 200
CHANGE_STATUSES = (200, 409, 422, 503, 504)


@attrs.frozen(kw_only=True)
class SettingsClient:
    """The API of one VM; queries first, then the one command.

    All raise ``ConnectFailed``, ``ConnectionBroken``, ``PeerTimeout`` or ``BadResponse``.
    """

    address: Address
    key: str | None = None

    async def show(self) -> SettingsShown:
        """Give the settings as written."""
        return await self._get(SETTINGS_PATH, SettingsShown)

    async def node(self, path: str) -> NodeShown:
        """Give one node as the VM has it in force."""
        return await self._get(f"{NODE_PATH}?{urlencode({'path': path})}", NodeShown)

    async def history(self) -> HistoryShown:
        """Give the changes on record."""
        return await self._get(HISTORY_PATH, HistoryShown)

    async def in_force(self, version: int, *, wait_s: float) -> InForce:
        """Tell which VMs have a version in force, after waiting for all for a while."""
        query = urlencode({"version": version, "wait_s": wait_s})
        return await self._get(f"{IN_FORCE_PATH}?{query}", InForce, timeout_s=CHANGE_TIMEOUT_S)

    async def check(self, text: str) -> CheckTold:
        """Give the faults of a document."""
        response = await self._fetch(
            "POST", CHECK_PATH, body=CheckAsked(text=text), timeout_s=READ_TIMEOUT_S
        )
        return self._decode(response, CheckTold, (HTTP_OK,))

    async def change(self, request: ChangeRequest, *, wait_s: float) -> ChangeTold:
        """Make a change.

        Guards against an answer that is lost between the VM and the operator:
        the change is sent again under the same id, and the VM finds on record
        whether it was made.
        """
        path = f"{CHANGE_PATH}?{urlencode({'wait_s': wait_s})}"
        for left in reversed(range(CHANGE_TRIES)):
            try:
                response = await self._fetch("POST", path, body=request, timeout_s=CHANGE_TIMEOUT_S)
            except (ConnectionBroken, PeerTimeout):
                if not left:
                    raise
                await trio.sleep(RETRY_S)
                continue
            break
        return self._decode(response, ChangeTold, CHANGE_STATUSES)

    async def _get(self, path: str, cls: type[T], *, timeout_s: float = READ_TIMEOUT_S) -> T:
        response = await self._fetch("GET", path, timeout_s=timeout_s)
        return self._decode(response, cls, (HTTP_OK,))

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
            step="administer",
            timeout_s=timeout_s,
        )

    def _decode(self, response: Response, cls: type[T], statuses: tuple[int, ...]) -> T:
        try:
            if response.status in statuses:
                return msgspec.json.decode(response.body, type=cls)
            message = msgspec.json.decode(response.body, type=_Refusal).error.message
        except msgspec.MsgspecError as error:
            message = f"status {response.status}: {error}"
        raise BadResponse(message, step="administer", peer=str(self.address))


@attrs.frozen(kw_only=True)
class _RefusalBody:
    message: str


@attrs.frozen(kw_only=True)
class _Refusal:
    error: _RefusalBody
