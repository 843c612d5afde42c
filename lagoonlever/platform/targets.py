"""Reads the entries that targets write of themselves, ``servers/ID`` in the store.

Anybody may write there. What is not an entry as targets write it, with every field and
each of its kind, names no target; guards against requests that are sent where no target
ever was, and against one odd entry that hides all others.
"""

from __future__ import annotations

import ipaddress
from typing import Annotated, Literal

import msgspec

from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.exceptions import LagoonleverException
from lagoonlever.http.messages import MOST_COUNT, MOST_PORT, Address

TARGETS_PREFIX = "servers/"
DRAINING = "draining"
MOST_SLOTS = 1_000_000
MOST_CHARACTERS = 256
"""Of a name; each entry is told to every VM."""

Name = Annotated[str, msgspec.Meta(max_length=MOST_CHARACTERS)]
Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=MOST_COUNT)]


class UnreadableTarget(LagoonleverException):
    """An entry is not of the platform's format; it names no target."""


class _Entry(msgspec.Struct, rename="pascal", kw_only=True):
    """``Slots`` is how many requests the target runs at once; others wait in its queue."""

    service: Annotated[Name, msgspec.Meta(min_length=1)]
    address: str
    zone: Name
    version: Name
    """Of the target's software, which operators roll out."""
    slots: Annotated[int, msgspec.Meta(ge=1, le=MOST_SLOTS)]
    state: Literal["ready", "draining"]
    cold_remaining_ms: float
    sequence: int
    """Counts the target's own writes, from its start on; nothing depends on it."""
    born: Milliseconds | msgspec.UnsetType = msgspec.field(name="born", default=msgspec.UNSET)
    """The start of the process, in Unix milliseconds; some targets don't tell it."""


def read_target(key: str, value: bytes) -> ListedTarget:
    """Decode an entry; raises ``UnreadableTarget``."""
    try:
        entry = msgspec.json.decode(value, type=_Entry)
        address = _address(entry.address)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise UnreadableTarget(f"{key:.{MOST_CHARACTERS}}: {error}") from error
    target_id = key.removeprefix(TARGETS_PREFIX)
    if not 0 < len(target_id) <= MOST_CHARACTERS:
        raise UnreadableTarget(f"{key:.{MOST_CHARACTERS}}: is no key of a target")
    return ListedTarget(
        id=target_id,
        service=entry.service,
        address=address,
        data_center=entry.zone,
        slots=entry.slots,
        version=entry.version,
        draining=entry.state == DRAINING,
        started_ms=None if isinstance(entry.born, msgspec.UnsetType) else entry.born,
    )


def _address(text: str) -> Address:
    """Read ``IP:PORT``; raises ``ValueError``."""
    address = Address.parse(text)
    ipaddress.ip_address(address.host)
    if not 0 < address.port <= MOST_PORT:
        raise ValueError(f"{text!r} has no port that can be reached")
    return address
