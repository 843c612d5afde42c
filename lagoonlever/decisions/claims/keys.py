"""Idempotency keys: those that name their home, and plain ones that are bound to a home.

A key with a home names the one incarnation that may ever dispatch its request,
so that no call to the platform is needed. A plain key is bound to a home by a
claim in the platform; after that both are treated alike.
"""

from __future__ import annotations

import hashlib
import re

import attrs

from lagoonlever.exceptions import RequestRefused
from lagoonlever.http.messages import Request
from lagoonlever.identity import Incarnation

KEY_HEADER = "Idempotency-Key"
KEY_LIFETIME_S = 1800
"""A key is kept, and its answer repeated, for at most this long."""

_HOMED = re.compile(
    r"(?P<home>[a-z0-9][a-z0-9\-]{0,62}~[0-9a-f]{1,16}~[0-9a-f]{1,32})"
    r":(?P<expires>\d{1,12}):(?P<random>[A-Za-z0-9_\-]{8,64})\Z"
)
_PLAIN = re.compile(r"[\x21-\x7e]{1,200}\Z")


@attrs.frozen(kw_only=True)
class HomedKey:
    """A key whose request only ``home`` may dispatch, and never after ``expires_at_age_s``.

    The expiry counts whole seconds of the home's own life, so that it needs no
    agreement of clocks between callers and VMs.
    """

    home: Incarnation
    expires_at_age_s: int
    random: str

    def __str__(self) -> str:
        return f"{self.home}:{self.expires_at_age_s}:{self.random}"


@attrs.frozen(kw_only=True)
class PlainKey:
    """A key of the caller's own making; says nothing about who may dispatch it."""

    text: str


@attrs.frozen(kw_only=True)
class KeyHome:
    """What a caller needs to mint keys: the home, its life so far, and how long keys live."""

    home: Incarnation
    age_s: int
    lifetime_s: int = KEY_LIFETIME_S

    def mint(self, *, random: str) -> HomedKey:
        """Give a new key; ``random`` is 8 to 64 characters that no other key carries."""
        return HomedKey(
            home=self.home, expires_at_age_s=self.age_s + self.lifetime_s, random=random
        )


def parse_homed_key(text: str) -> HomedKey | None:
    """Read a key with a home, or give None."""
    match = _HOMED.match(text)
    if match is None:
        return None
    return HomedKey(
        home=Incarnation.parse(match["home"]),
        expires_at_age_s=int(match["expires"]),
        random=match["random"],
    )


def parse_key(text: str) -> HomedKey | PlainKey:
    """Read the header's value; raises ``RequestRefused`` naming the header."""
    homed = parse_homed_key(text)
    if homed is not None:
        return homed
    if _PLAIN.match(text) is None:
        raise RequestRefused(
            status=400, field=KEY_HEADER, message="give 1 to 200 visible ASCII characters"
        )
    return PlainKey(text=text)


def claim_scope(key: PlainKey, *, service: str, credential: str) -> str:
    """Name a plain key among all callers' keys, so that two callers' keys never meet."""
    digest = hashlib.sha256("\0".join((credential, service, key.text)).encode())
    return digest.hexdigest()[:40]


def request_fingerprint(request: Request) -> bytes:
    """Digest all that makes two requests the same: method, path, query, caller and body.

    The caller's credential is part of it, so that nobody reads another
    caller's answer by guessing its key.
    """
    credential = request.headers.get("Authorization", "") or ""
    head = "\0".join((request.method, request.path, request.raw_query, credential, ""))
    return hashlib.sha256(head.encode() + request.body).digest()
