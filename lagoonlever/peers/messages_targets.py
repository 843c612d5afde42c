"""What VMs tell each other about targets: who leaves, and how fresh the list is."""

from __future__ import annotations

from lagoonlever.decisions.targets.watch import (
    TargetLeavingNews,
    TargetListAnswer,
    TargetListAsk,
)
from lagoonlever.peers.messages import PEER

PEER.message("target-leaving")(TargetLeavingNews)
PEER.message("target-list-ask")(TargetListAsk)
PEER.message("target-list-answer")(TargetListAnswer)

__all__ = ("TargetLeavingNews", "TargetListAnswer", "TargetListAsk")
