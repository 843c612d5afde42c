"""What VMs tell each other about targets: who leaves, and how fresh the list is."""

from __future__ import annotations

from lagoonlever.decisions.targets.watch import (
    TargetLeavingUpdate,
    TargetListAnswer,
    TargetListQuery,
)
from lagoonlever.peers.messages import PEER

PEER.message("target-leaving")(TargetLeavingUpdate)
PEER.message("target-list-ask")(TargetListQuery)
PEER.message("target-list-answer")(TargetListAnswer)

__all__ = ("TargetLeavingUpdate", "TargetListAnswer", "TargetListQuery")
