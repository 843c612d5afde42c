"""What gateways tell each other of where streams began, and of the versions that are in use.

All of it is soft state: what must outlive all VMs is in the platform's store.
"""

from __future__ import annotations

import attrs

from lagoonlever.decisions.streams.stream_origins import StreamOrigin
from lagoonlever.http.messages import Address
from lagoonlever.peers.messages import PEER
from lagoonlever.revisions import Revision


@PEER.message("oa")
@attrs.frozen(kw_only=True)
class OriginAsk:
    """Asks where the stream began that a request of a caller has begun."""

    number: int
    """Of the question, among those of its VM."""
    reply_to: Address
    request: str


@PEER.message("ot")
@attrs.frozen(kw_only=True)
class OriginTold:
    """The answer; without an origin the receiver of the question does not know it either."""

    number: int
    origin: StreamOrigin | None = None


@attrs.frozen(kw_only=True)
class VersionsOfService:
    """The versions of a service's software that are in use."""

    service: str
    versions: tuple[str, ...]


@PEER.message("ov")
@attrs.frozen(kw_only=True)
class VersionsRecorded:
    """The record of versions in use as it stands in the store."""

    services: tuple[VersionsOfService, ...]
    revision: Revision
    proven: bool
    """Whether no version can be missing from it."""
