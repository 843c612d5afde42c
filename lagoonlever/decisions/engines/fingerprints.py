"""Fingerprints of requests: a caller that retries sends the same work under another id."""

from __future__ import annotations

import hashlib

import attrs

DIGEST_BYTES = 8
"""Length of a fingerprint.

Only a few thousand requests are compared at a time, so 64 bits rule out collisions in practice.
"""


@attrs.frozen(kw_only=True)
class RequestIdentity:
    """The parts of a request that are the same in each of its retries."""

    host: str
    method: str
    target: str
    """Path and query as they were sent."""
    organisation: str | None
    body: bytes

    def fingerprint(self) -> str:
        """Return a short hexadecimal digest of the request, the same on every VM."""
        digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
        fields = (self.host, self.method, self.target, self.organisation or "")
        for field in fields:
            digest.update(field.encode())
            digest.update(b"\0")
        digest.update(self.body)
        return digest.hexdigest()
