"""The order calls of an engine, as typed messages."""

from __future__ import annotations

import enum
from collections.abc import Callable
from http import HTTPStatus

import attrs
import msgspec
import trio

from lagoonlever.decisions.orders.orders import OrderReport, SendOrder, WantedState
from lagoonlever.exceptions import BadResponse, PeerTimeout
from lagoonlever.http.client import ClientConnection
from lagoonlever.http.json_client import fetch_json
from lagoonlever.http.messages import Address, Headers

ORDERS_PATH = "/orders"
READ_STEP = "read an order"
GIVE_STEP = "give an order"
_HEADERS = Headers((("Content-Type", "application/json"),))


class OrderAnswer(enum.Enum):
    """What became of an order."""

    TAKEN = "taken"
    REFUSED = "refused"
    NOT_SENT = "not sent"


@attrs.frozen(kw_only=True)
class _Order:
    fencing: int
    wanted: WantedState


async def read_order(address: Address, *, timeout_s: float) -> OrderReport:
    """Read an engine's order and state; raises ``PeerError``."""
    return await fetch_json(
        address, path=ORDERS_PATH, answer=OrderReport, step=READ_STEP, timeout_s=timeout_s
    )


async def give_order(
    address: Address, order: SendOrder, *, timeout_s: float, may_write: Callable[[], bool]
) -> OrderAnswer:
    """Give an order; ``may_write`` is asked when connected, right before the write.

    Raises ``PeerError``; all but ``ConnectFailed`` leave open whether it was taken.
    """
    async with await ClientConnection.open(address, timeout_s=timeout_s) as connection:
        if not may_write():
            return OrderAnswer.NOT_SENT
        try:
            with trio.fail_after(timeout_s):
                status = await _exchange(connection, order)
        except trio.TooSlowError as error:
            message = f"no answer within {timeout_s:g} s"
            raise PeerTimeout(message, step=GIVE_STEP, peer=str(address)) from error
    if status == HTTPStatus.CONFLICT:
        return OrderAnswer.REFUSED
    if status != HTTPStatus.OK:
        raise BadResponse(f"status {status}", step=GIVE_STEP, peer=str(address))
    return OrderAnswer.TAKEN


async def _exchange(connection: ClientConnection, order: SendOrder) -> int:
    body = msgspec.json.encode(_Order(fencing=order.fencing, wanted=order.wanted))
    await connection.start(
        method="POST", path=ORDERS_PATH, headers=_HEADERS, body=body, step=GIVE_STEP
    )
    return (await connection.read_head()).status
