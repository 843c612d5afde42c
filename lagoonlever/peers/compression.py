"""Large values made small for their way between VMs.

A configuration with 1,400 routes is some 400 KB, and a reader pushes each version to
every VM: at 81 of them 32 MB, a second and more on a link of 200 Mbit/s. Such a document
repeats itself, and packed it is about a tenth of that.
"""

from __future__ import annotations

import zlib

from lagoonlever.exceptions import LagoonleverException

LEVEL = 1
"""The fastest: higher levels take several times as long and save a few percent."""
MOST_BYTES = 16 * 1024 * 1024
"""Of an unpacked value: more than the store holds in one."""


class UnreadablePack(LagoonleverException):
    """The bytes are no packed value, or a larger one than is allowed."""


def pack(value: bytes) -> bytes:
    """Give the packed form of a value."""
    return zlib.compress(value, LEVEL)


def unpack(packed: bytes) -> bytes:
    """Give the value of a packed form; raises ``UnreadablePack``."""
    unpacker = zlib.decompressobj()
    try:
        value = unpacker.decompress(packed, MOST_BYTES)
    except zlib.error as error:
        raise UnreadablePack(str(error)) from error
    if not unpacker.eof:
        raise UnreadablePack("it is cut short, or larger than any value")
    return value
