"""What makes two requests the same work: a caller that returns has another id for it."""

from __future__ import annotations

import hashlib

import attrs

DIGEST_BYTES = 8
"""Of the few thousand requests that are compared at a time, no two different ones meet."""


@attrs.frozen(kw_only=True)
class RequestIdentity:
    """What a target is asked to do, and for whom; nothing that differs between returns."""

    host: str
    method: str
    target: str
    """Path and query as they were sent."""
    organisation: str | None
    body: bytes

    def fingerprint(self) -> str:
        """Give a short name of this work, alike on every VM, in hexadecimal."""
        digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
        fields = (self.host, self.method, self.target, self.organisation or "")
        for field in fields:
            digest.update(field.encode())
            digest.update(b"\0")
        digest.update(self.body)
        return digest.hexdigest()
