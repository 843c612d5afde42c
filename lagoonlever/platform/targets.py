"""Reads the entries that targets write of themselves, ``servers/ID`` in the store."""

from __future__ import annotations

import msgspec

from lagoonlever.decisions.target_registry import ListedTarget
from lagoonlever.exceptions import LagoonleverException
from lagoonlever.http.messages import Address

TARGETS_PREFIX = "servers/"
DRAINING = "draining"


class UnreadableTarget(LagoonleverException):
    """An entry is not of the platform's format; the target is not used."""


class _Entry(msgspec.Struct, rename="pascal", kw_only=True):
    """``Slots`` is how many requests the target runs at once; others wait in its queue."""

    service: str
    address: str
    zone: str = ""
    slots: int = 1
    state: str = "ready"
    cold_remaining_ms: float = 0.0


def read_target(key: str, value: bytes) -> ListedTarget:
    """Decode an entry; raises ``UnreadableTarget``."""
    try:
        entry = msgspec.json.decode(value, type=_Entry)
        address = Address.parse(entry.address)
    except (msgspec.MsgspecError, ValueError) as error:
        raise UnreadableTarget(f"{key}: {error}") from error
    return ListedTarget(
        id=key.removeprefix(TARGETS_PREFIX),
        service=entry.service,
        address=address,
        data_center=entry.zone,
        slots=entry.slots,
        draining=entry.state == DRAINING,
    )
