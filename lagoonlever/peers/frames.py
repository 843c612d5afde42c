"""The frame of a message between VMs: who sent it, to which life, and until when it is worth.

The header is an array and not a map, since every byte counts against the
budget for control.
"""

from __future__ import annotations

import msgspec

from lagoonlever.exceptions import LagoonleverException
from lagoonlever.identity import Incarnation


class BadFrame(LagoonleverException):
    """The received parts are no frame of this release."""


class FrameHeader(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """The header; times in milliseconds of the sender's monotonic clock."""

    name: str
    started_ms: int
    nonce: int
    expected_nonce: int | None
    sent_at_ms: int
    ttl_ms: int

    @property
    def sender(self) -> Incarnation:
        """The incarnation that sent the frame."""
        return Incarnation(name=self.name, started_ms=self.started_ms, nonce=self.nonce)


_DECODER = msgspec.msgpack.Decoder(FrameHeader)


def encode_header(
    *, sender: Incarnation, expected: Incarnation | None, now: float, ttl_s: float
) -> bytes:
    """Give the header of a frame that leaves now."""
    header = FrameHeader(
        name=sender.name,
        started_ms=sender.started_ms,
        nonce=sender.nonce,
        expected_nonce=None if expected is None else expected.nonce,
        sent_at_ms=round(now * 1000),
        ttl_ms=round(ttl_s * 1000),
    )
    return msgspec.msgpack.encode(header)


def decode_header(data: bytes) -> FrameHeader:
    """Read a header; raises ``BadFrame``."""
    try:
        return _DECODER.decode(data)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise BadFrame(str(error)) from error
