"""What VMs tell each other about targets: who leaves, and how fresh the list is."""

from __future__ import annotations

import attrs

from lagoonlever.decisions.target_listing import LeavingEvidence
from lagoonlever.http.messages import Address
from lagoonlever.peers.messages import PEER


@PEER.message("target-leaving")
@attrs.frozen(kw_only=True)
class TargetLeavingNews:
    """Targets read as leaving; told on at once by whoever did not know of one."""

    evidence: tuple[LeavingEvidence, ...]


@PEER.message("target-list-ask")
@attrs.frozen(kw_only=True)
class TargetListAsk:
    """Asks how old the receiver's list is; ``number`` comes back in the answer."""

    number: int
    reply_to: Address


@PEER.message("target-list-answer")
@attrs.frozen(kw_only=True)
class TargetListAnswer:
    """The age of the sender's list in seconds, None if it has none, and who leaves by it."""

    number: int
    list_age_s: float | None
    evidence: tuple[LeavingEvidence, ...]
