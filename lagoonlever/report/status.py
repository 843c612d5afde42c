"""What ``GET /admin/status`` answers: one VM's view of the system, as typed payloads.

The daemon fills these classes and ``lagoonlever status`` reads them. Times are
durations in seconds, because clocks of two machines can't be compared.
"""

from __future__ import annotations

import attrs
import msgspec

from lagoonlever.exceptions import BadResponse


@attrs.frozen(kw_only=True)
class VmStatus:
    """The answering VM itself; ``phase`` is ``starting``, ``serving`` or ``leaving``."""

    name: str
    incarnation: str
    data_center: str
    address: str
    phase: str
    uptime_s: float
    settings_version: int
    platform_reachable: bool
    open_streams: int = 0
    open_connections: int = 0


@attrs.frozen(kw_only=True)
class MemberStatus:
    """One entry VM as the answering VM sees it."""

    name: str
    incarnation: str
    data_center: str
    address: str
    state: str
    load: float | None = None


@attrs.frozen(kw_only=True)
class TargetStatus:
    """One target as the answering VM sees it; the load is absent when no report is fresh."""

    name: str
    kind: str
    address: str
    state: str
    data_center: str = ""
    models: tuple[str, ...] = ()
    running: int | None = None
    waiting: int | None = None
    slots: int | None = None
    load_age_s: float | None = None


@attrs.frozen(kw_only=True)
class PoolStatus:
    """The engines of one model: slots in all, and what the answering VM may use and uses."""

    pool: str
    slots: int
    quota: float
    running: int
    waiting: int
    vms_heard: int


@attrs.frozen(kw_only=True)
class ShareStatus:
    """The part of all engine work that an organisation uses and is entitled to, from 0 to 1."""

    path: str
    weight: float
    entitled: float
    used: float


@attrs.frozen(kw_only=True)
class QueueStatus:
    """An organisation's requests that wait on the answering VM, and how long the last ones did."""

    path: str
    waiting: int
    bound: int
    wait_p50_s: float | None = None
    wait_p95_s: float | None = None


@attrs.frozen(kw_only=True)
class StatusReport:
    """One VM's whole view."""

    vm: VmStatus
    members: tuple[MemberStatus, ...] = ()
    targets: tuple[TargetStatus, ...] = ()
    pools: tuple[PoolStatus, ...] = ()
    shares: tuple[ShareStatus, ...] = ()
    queues: tuple[QueueStatus, ...] = ()


def encode_status(report: StatusReport) -> bytes:
    """Give the JSON form."""
    return msgspec.json.encode(report)


def decode_status(body: bytes, *, peer: str) -> StatusReport:
    """Read the JSON form; raises ``BadResponse`` naming the peer."""
    try:
        return msgspec.json.decode(body, type=StatusReport)
    except msgspec.MsgspecError as error:
        raise BadResponse(str(error), step="read status", peer=peer) from error
