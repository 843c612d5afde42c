"""What entry VMs tell each other about the version of the settings tree."""

from __future__ import annotations

import attrs

from lagoonlever.http.messages import Address
from lagoonlever.peers.messages import PEER


@PEER.message("settings-news")
@attrs.frozen(kw_only=True)
class SettingsNews:
    """The sender has a version in force since just now."""

    version: int
    reply_to: Address


@PEER.message("settings-ask")
@attrs.frozen(kw_only=True)
class SettingsAsk:
    """The sender has ``version`` in force, None before its first, and asks for the receiver's."""

    number: int
    version: int | None
    reply_to: Address


@PEER.message("settings-answer")
@attrs.frozen(kw_only=True)
class SettingsAnswer:
    """The answer to an ask: the version in force, with its packed tree if that is newer.

    ``age_s`` is how long before this answer the platform confirmed the version
    as its newest, None if the sender does not know.
    """

    number: int
    version: int | None
    age_s: float | None
    tree: bytes | None = None
