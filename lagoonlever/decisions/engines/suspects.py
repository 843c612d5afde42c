"""What may be the cause of crashes: a whole request, or a part that different prompts share.

Both are known by a text, which is what VMs exchange and store. A request's is its fingerprint. A
part's names the service and the model as well, as a part that crashes one may be sound at another.
"""

from __future__ import annotations

import enum
import hashlib

import attrs

MAX_PARTS = 256
"""Parts of one prompt that are considered, so that a prompt of thousands costs no more."""
MAX_ID_CHARACTERS = 120
"""A longer text is replaced by its digest."""
DIGEST_BYTES = 16
_PART_PREFIX = "part:"


class SuspectKind(enum.Enum):
    """What a suspect is."""

    REQUEST = "request"
    PART = "part"


@attrs.frozen(kw_only=True)
class Suspects:
    """The suspects that one request brings to a target, by their ids."""

    request: str
    """The request's fingerprint."""
    parts: tuple[str, ...] = ()
    """The parts of its prompt that other requests may have as well."""


def kind_of(suspect: str) -> SuspectKind:
    """Return what a suspect is, by its id."""
    return SuspectKind.PART if suspect.startswith(_PART_PREFIX) else SuspectKind.REQUEST


def part_suspects(*, service: str, model: str, shared: tuple[str, ...]) -> tuple[str, ...]:
    """Return the ids of the parts that a prompt shares, each once.

    Of a prompt with more than ``MAX_PARTS`` those are chosen by digest, the same ones of every
    prompt that has them.
    """
    ids = dict.fromkeys(_part_id(f"{service}/{model}/{part}") for part in shared)
    if len(ids) <= MAX_PARTS:
        return tuple(ids)
    return tuple(sorted(ids, key=_digest)[:MAX_PARTS])


def part_name(suspect: str) -> str:
    """Return a part as its requests name it, or its digest if the name is too long to be kept."""
    return suspect.removeprefix(_PART_PREFIX).rpartition("/")[2]


def _part_id(text: str) -> str:
    if len(text) > MAX_ID_CHARACTERS:
        text = f"long/{_digest(text)}"
    return f"{_PART_PREFIX}{text}"


def _digest(text: str) -> str:
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()
