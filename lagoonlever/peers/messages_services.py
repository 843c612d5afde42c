"""Messages between entry VMs about calls of application services."""

from __future__ import annotations

import attrs

from lagoonlever.peers.messages import PEER


@attrs.frozen(kw_only=True)
class HeaderField:
    """One header field of an answer."""

    name: str
    value: str


@PEER.message("key-answer")
@attrs.frozen(kw_only=True)
class KeyAnswer:
    """The final answer of a key, from its home to those that keep copies of it."""

    key: str
    fingerprint: bytes
    tag: str
    reason: str | None
    status: int
    headers: tuple[HeaderField, ...]
    body: bytes
