"""The numbers and names that order everything: requests, generations, attempts, VMs.

A token is released only if its generation and attempt are the current ones and
its offset is the next; the digest in an event's id makes a wrong resume visible.
"""

from __future__ import annotations

import random
import re
import struct
import time

import attrs
import xxhash

from lagoonlever.exceptions import RequestRefused

REQUEST_ID = re.compile(r"[A-Za-z0-9_\-.]{1,80}\Z")
NAME = re.compile(r"[a-z0-9][a-z0-9\-]{0,62}\Z")
"""Names of VMs, targets, organisations and data centres."""

EVENT_ID_PARTS = 8
INCARNATION_BITS = 32
MILLISECONDS = 1000
_TOKEN = struct.Struct("<q")


@attrs.frozen(kw_only=True, order=True)
class Incarnation:
    """One life of a VM: its name, when the process started, and random bits.

    Needs no disk: a VM that comes back is a new incarnation. ``started_ms`` is
    wall-clock milliseconds and only orders the lives of one name.
    """

    name: str
    started_ms: int
    nonce: int

    def __str__(self) -> str:
        return f"{self.name}~{self.started_ms:x}~{self.nonce:x}"

    @classmethod
    def parse(cls, text: str) -> Incarnation:
        """Read what ``str`` wrote; raises ``ValueError`` for anything else."""
        name, started, nonce = text.split("~")
        if NAME.match(name) is None:
            raise ValueError(f"{name!r} is not a name")
        return cls(name=name, started_ms=int(started, 16), nonce=int(nonce, 16))


def new_incarnation(name: str, rng: random.Random) -> Incarnation:
    """Give the identity of a process that starts now."""
    return Incarnation(
        name=name,
        started_ms=int(time.time() * MILLISECONDS),
        nonce=rng.getrandbits(INCARNATION_BITS),
    )


def initial_digest(*, request_id: str, generation: int, model_version: str) -> int:
    """Digest of the empty prefix of one generation."""
    return xxhash.xxh3_64_intdigest(f"{request_id}|{generation}|{model_version}".encode())


def extend_digest(digest: int, token_id: int) -> int:
    """Digest of a prefix that grew by one token."""
    return xxhash.xxh3_64_intdigest(_TOKEN.pack(token_id), seed=digest)


@attrs.frozen(kw_only=True)
class EventId:
    """The id of a server-sent event: all that a caller needs to come back at any VM.

    ``offset`` counts the tokens released so far, ``digest`` is theirs, and the
    attempt went on from the first ``attempt_start`` of them, given to its engine
    behind the prompt.
    ``target`` names the engine that held the attempt, so that a VM that has
    never seen the request can fetch the stream from that engine again; ``vm``
    names the VM that released the tokens, so that it can be told to let go.
    """

    request_id: str
    generation: int
    attempt: int
    offset: int
    digest: int
    target: str
    vm: str = ""
    attempt_start: int = 0

    def __str__(self) -> str:
        return (
            f"{self.request_id}/{self.generation}/{self.attempt}/{self.attempt_start}"
            f"/{self.offset}/{self.digest:016x}/{self.target}/{self.vm}"
        )

    @classmethod
    def parse(cls, text: str) -> EventId:
        """Read an event id; raises ``RequestRefused`` naming the header."""
        parts = text.split("/")
        if len(parts) != EVENT_ID_PARTS or REQUEST_ID.match(parts[0]) is None:
            raise RequestRefused(
                status=400, field="Last-Event-ID", message="is not an event id of this system"
            )
        try:
            return cls(
                request_id=parts[0],
                generation=int(parts[1]),
                attempt=int(parts[2]),
                attempt_start=int(parts[3]),
                offset=int(parts[4]),
                digest=int(parts[5], 16),
                target=parts[6],
                vm=parts[7],
            )
        except ValueError:
            raise RequestRefused(
                status=400, field="Last-Event-ID", message="is not an event id of this system"
            ) from None
