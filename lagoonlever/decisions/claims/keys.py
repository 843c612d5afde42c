"""Idempotency keys: homed keys, which name the incarnation that runs them, and plain keys.

A homed key names the only incarnation of a VM that may dispatch its request, so
no call to the store is needed. A plain key is any text that the caller chooses;
a claim in the store binds it to a home, and from then on it is handled like a
homed key.
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
"""The longest time that a key and its answer are stored; retries get the answer until then."""

_HOMED = re.compile(
    r"(?P<home>[a-z0-9][a-z0-9\-]{0,62}~[0-9a-f]{1,16}~[0-9a-f]{1,32})"
    r":(?P<expires>\d{1,12}):(?P<random>[A-Za-z0-9_\-]{8,64})\Z"
)
_PLAIN = re.compile(r"[\x21-\x7e]{1,200}\Z")


@attrs.frozen(kw_only=True)
class HomedKey:
    """A key whose request only ``home`` may dispatch, and only before ``expires_at_age_s``.

    The expiry is an age of the home's incarnation in whole seconds, so that
    callers and VMs need no synchronised clocks.
    """

    home: Incarnation
    expires_at_age_s: int
    random: str

    def __str__(self) -> str:
        return f"{self.home}:{self.expires_at_age_s}:{self.random}"


@attrs.frozen(kw_only=True)
class PlainKey:
    """A key chosen by the caller, which does not name the VM that may dispatch its request."""

    text: str


@attrs.frozen(kw_only=True)
class KeyHome:
    """The data from which a caller mints homed keys.

    ``age_s`` is the home's age and ``lifetime_s`` the lifetime of keys, both in
    whole seconds.
    """

    home: Incarnation
    age_s: int
    lifetime_s: int = KEY_LIFETIME_S

    def mint(self, *, random: str) -> HomedKey:
        """Return a new key; ``random`` is 8 to 64 characters that no other key has."""
        return HomedKey(
            home=self.home, expires_at_age_s=self.age_s + self.lifetime_s, random=random
        )


def parse_homed_key(text: str) -> HomedKey | None:
    """Parse a homed key; return None if the text is not one."""
    match = _HOMED.match(text)
    if match is None:
        return None
    return HomedKey(
        home=Incarnation.parse(match["home"]),
        expires_at_age_s=int(match["expires"]),
        random=match["random"],
    )


def parse_key(text: str) -> HomedKey | PlainKey:
    """Parse the value of the ``Idempotency-Key`` header.

    Raise ``RequestRefused`` (status 400), which names the header, if the value is
    neither a homed key nor 1 to 200 visible ASCII characters.
    """
    homed = parse_homed_key(text)
    if homed is not None:
        return homed
    if _PLAIN.match(text) is None:
        raise RequestRefused(
            status=400, field=KEY_HEADER, message="give 1 to 200 visible ASCII characters"
        )
    return PlainKey(text=text)


def claim_scope(key: PlainKey, *, service: str, credential: str) -> str:
    """Return an identifier of a plain key that is unique to its caller and service.

    It is a digest over the caller's credential, the service and the key, so that
    equal keys of two callers do not collide.
    """
    digest = hashlib.sha256("\0".join((credential, service, key.text)).encode())
    return digest.hexdigest()[:40]


def request_fingerprint(request: Request) -> bytes:
    """Return a digest of the request's method, path, query, credential and body.

    Two requests with the same digest are copies of one request. The caller's
    credential is included, so that nobody can read another caller's answer by
    guessing its key.
    """
    credential = request.headers.get("Authorization", "") or ""
    head = "\0".join((request.method, request.path, request.raw_query, credential, ""))
    return hashlib.sha256(head.encode() + request.body).digest()
