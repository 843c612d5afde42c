"""The calls that the platform and its clients make on a gateway, beside requests."""

from __future__ import annotations

import msgspec

from lagoonlever.http.messages import Address

READY_PATH = "/-/ready"
RESOLVE_PATH = "/-/resolve"


class Addresses(msgspec.Struct, rename="pascal", kw_only=True):
    """``addresses`` are those for requests, whichever VM is asked."""

    addresses: list[str]
    ttl_s: float


def addresses_answer(addresses: tuple[Address, ...], *, ttl_s: float) -> bytes:
    """Give the body of the answer that tells a client where to connect."""
    return msgspec.json.encode(Addresses(addresses=[str(a) for a in addresses], ttl_s=ttl_s))
