"""Reads the operator's orders of new versions, and writes what became of them."""

from __future__ import annotations

import msgspec

from lagoonlever.decisions.rollouts.versions import RolloutOrder, RolloutState
from lagoonlever.exceptions import LagoonleverException

ORDERS_PREFIX = "op/rollout/"
STATUS_PREFIX = "status/rollout/"
OPERATOR_PREFIX = "op/"
"""Of the configuration and of orders, so that one watch tells of both."""

_STATES = {
    RolloutState.RUNNING: "running",
    RolloutState.COMPLETED: "completed",
    RolloutState.ROLLED_BACK: "rolled_back",
}


class UnreadableRollout(LagoonleverException):
    """An order or a status is not of the platform's format; it changes nothing."""


class _Order(msgspec.Struct, rename="pascal", kw_only=True):
    service: str
    to: str
    """The version that the service's traffic is to be moved to."""
    duration_s: float


class _Status(msgspec.Struct, rename="pascal", kw_only=True):
    state: str
    to: str


class RolloutStatus(msgspec.Struct, kw_only=True, frozen=True):
    """What stands of a roll-out in the store."""

    state: RolloutState
    version: str


def read_order(key: str, value: bytes) -> RolloutOrder:
    """Decode an order; raises ``UnreadableRollout``."""
    try:
        order = msgspec.json.decode(value, type=_Order)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise UnreadableRollout(f"{key}: {error}") from error
    if not order.service or not order.to or order.duration_s <= 0:
        raise UnreadableRollout(f"{key}: it names no service, no version or no time")
    return RolloutOrder(service=order.service, version=order.to, duration_s=order.duration_s)


def read_status(key: str, value: bytes) -> RolloutStatus:
    """Decode a status; raises ``UnreadableRollout``."""
    try:
        status = msgspec.json.decode(value, type=_Status)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise UnreadableRollout(f"{key}: {error}") from error
    for state, name in _STATES.items():
        if name == status.state:
            return RolloutStatus(state=state, version=status.to)
    raise UnreadableRollout(f"{key}: {status.state!r} is no state")


def status_key(service: str) -> str:
    """Give where the status of a service's roll-out stands."""
    return f"{STATUS_PREFIX}{service}"


def status_document(status: RolloutStatus) -> bytes:
    """Give a status as the operator reads it."""
    return msgspec.json.encode(_Status(state=_STATES[status.state], to=status.version))
