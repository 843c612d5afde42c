"""Bodies of the etcd v3 JSON gateway, as far as the adapter uses them.

Keys and values are base64, 64-bit integers are strings, and a field with its
default value is absent on the wire; absent fields are None here in requests.
"""

from __future__ import annotations

import base64
from typing import Any

import attrs
import msgspec

from lagoonlever.revisions import Revision
from lagoonlever.store.port import KeyValue

RANGE_PATH = "/v3/kv/range"
TXN_PATH = "/v3/kv/txn"
PUT_PATH = "/v3/kv/put"
COMPACTION_PATH = "/v3/kv/compaction"
GRANT_PATH = "/v3/lease/grant"
KEEP_ALIVE_PATH = "/v3/lease/keepalive"
REVOKE_PATH = "/v3/lease/revoke"
WATCH_PATH = "/v3/watch"
VMS_PATH = "/vms"

NOT_FOUND = 5
"""The gateway's code for a lease that does not exist."""
DELETE = "DELETE"


@attrs.frozen(kw_only=True)
class Header:
    """The head of each answer: the store's revision."""

    revision: str = "0"


@attrs.frozen(kw_only=True)
class WireKeyValue:
    """A key as the store has it."""

    key: str = ""
    value: str = ""
    create_revision: str = "0"
    mod_revision: str = "0"
    version: str = "0"
    lease: str = "0"


@attrs.frozen(kw_only=True)
class RangeRequest:
    """Read one key, or all from ``key`` up to ``range_end``."""

    key: str
    range_end: str | None = None
    serializable: bool = False
    """As one member of the service has it, which may be some time ago."""


@attrs.frozen(kw_only=True)
class RangeResponse:
    """Keys as they were read."""

    header: Header = Header()
    kvs: list[WireKeyValue] = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class PutRequest:
    """Write one key."""

    key: str
    value: str
    lease: str | None = None


@attrs.frozen(kw_only=True)
class DeleteRangeRequest:
    """Delete one key."""

    key: str


@attrs.frozen(kw_only=True)
class Compare:
    """A condition on a key: its creation or its last change has a revision."""

    key: str
    target: str
    result: str = "EQUAL"
    create_revision: str | None = None
    mod_revision: str | None = None


@attrs.frozen(kw_only=True)
class RequestOp:
    """One operation of a transaction; exactly one field is set."""

    request_put: PutRequest | None = None
    request_range: RangeRequest | None = None
    request_delete_range: DeleteRangeRequest | None = None
    request_txn: TxnRequest | None = None


@attrs.frozen(kw_only=True)
class TxnRequest:
    """Operations that depend on all the conditions."""

    compare: list[Compare] = attrs.field(factory=list)
    success: list[RequestOp] = attrs.field(factory=list)
    failure: list[RequestOp] = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class WriteResponse:
    """The answer to a put or a deletion."""

    header: Header = Header()


@attrs.frozen(kw_only=True)
class ResponseOp:
    """The answer to one operation of a transaction."""

    response_put: WriteResponse | None = None
    response_range: RangeResponse | None = None
    response_delete_range: WriteResponse | None = None
    response_txn: TxnResponse | None = None


@attrs.frozen(kw_only=True)
class TxnResponse:
    """Whether the conditions held, and the answers of the operations that ran."""

    header: Header = Header()
    succeeded: bool = False
    responses: list[ResponseOp] = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class GrantRequest:
    """Ask for a lease of whole seconds."""

    TTL: str


@attrs.frozen(kw_only=True)
class LeaseRequest:
    """Name a lease."""

    ID: str


@attrs.frozen(kw_only=True)
class LeaseResponse:
    """A lease and the seconds that it has; none when it has lapsed."""

    ID: str = "0"
    TTL: str = "0"


@attrs.frozen(kw_only=True)
class KeepAliveResponse:
    """The answer to a renewal, wrapped as a stream's piece."""

    result: LeaseResponse = LeaseResponse()


@attrs.frozen(kw_only=True)
class CompactionRequest:
    """Forget the changes up to a revision."""

    revision: str


@attrs.frozen(kw_only=True)
class WatchCreateRequest:
    """What to watch, and from which revision on."""

    key: str
    range_end: str
    start_revision: str


@attrs.frozen(kw_only=True)
class WatchRequest:
    """The body that opens a watch."""

    create_request: WatchCreateRequest


@attrs.frozen(kw_only=True)
class WireEvent:
    """One change; ``type`` is absent for a put."""

    kv: WireKeyValue
    type: str = "PUT"


@attrs.frozen(kw_only=True)
class WatchResponse:
    """One piece of a watch; ``compact_revision`` tells that changes were lost."""

    header: Header = Header()
    created: bool = False
    canceled: bool = False
    compact_revision: str = "0"
    events: list[WireEvent] = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class WatchPiece:
    """One line of a watch's body."""

    result: WatchResponse


@attrs.frozen(kw_only=True)
class ErrorResponse:
    """Why a call failed."""

    code: int = 0
    message: str = ""


@attrs.frozen(kw_only=True)
class WireVm:
    """One VM of the platform's list."""

    name: str
    address: str
    data_center: str
    role: str
    state: str = "live"
    peer_address: str | None = None


@attrs.frozen(kw_only=True)
class VmList:
    """The body of the platform's list of VMs."""

    vms: list[WireVm]


def encode(message: object) -> bytes:
    """Give the JSON of a message without its absent fields."""
    return msgspec.json.encode(_without_absent(msgspec.to_builtins(message)))


def to_base64(data: bytes) -> str:
    """Give the form of keys and values on the wire."""
    return base64.b64encode(data).decode("ascii")


def from_base64(text: str) -> bytes:
    """Read the form of keys and values on the wire."""
    return base64.b64decode(text)


def prefix_end(prefix: bytes) -> bytes:
    """Give the first key after all those with a prefix."""
    stem = prefix.rstrip(b"\xff")
    return stem[:-1] + bytes((stem[-1] + 1,)) if stem else b"\0"


def key_value(wire: WireKeyValue) -> KeyValue:
    """Give a key as the port tells it."""
    return KeyValue(
        key=from_base64(wire.key).decode(),
        value=from_base64(wire.value),
        revision=Revision(number=int(wire.mod_revision)),
        created_revision=int(wire.create_revision),
        lease=int(wire.lease),
    )


def _without_absent(value: Any) -> Any:
    if isinstance(value, dict):
        return {name: _without_absent(each) for name, each in value.items() if each is not None}
    if isinstance(value, list):
        return [_without_absent(each) for each in value]
    return value
