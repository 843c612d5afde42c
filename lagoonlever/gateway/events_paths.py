"""The log events of the paths from a gateway to its targets."""

from __future__ import annotations

from lagoonlever.events import event

TARGET_UNREACHED = event(
    1061,
    "target-unreached",
    "info",
    "No new connection to {target} at {address}: {error}. The last one was opened {ago_s} s ago.",
    "The target is gone, or this VM has lost its path to it. If other VMs have this line at the"
    " same time it is the target; if one VM has it for all targets it is the path.",
)
TARGET_REACHED = event(
    1062,
    "target-reached",
    "info",
    "A new connection to {target} was opened; none could be for {seconds:.2f} s.",
    "The target is back, or this VM's path to it.",
)
ENGINE_AVOIDED = event(
    1063,
    "engine-avoided",
    "info",
    "{target} gets no new streams of this VM for a while, by the word of {source}.",
    "`own` is what this VM has seen itself; else it is the name of the VM that told it.",
)
ADDRESSES_OFFERED = event(
    1064,
    "addresses-offered",
    "info",
    "Callers are sent to {count} VMs from now on; to this one: {own}.",
    "The answer of the directory has changed.",
)
