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
PATH_CUT = event(
    1065,
    "path-cut",
    "info",
    "VM {vm} reaches {target}, and this VM does not: requests go there by way of other VMs.",
    "The path from this VM to the target is lost, and not the target. It is tried again every"
    " 0.6 s.",
)
CUT_OFF = event(
    1066,
    "cut-off-from-targets",
    "warning",
    "This VM reaches no target by its own paths; {paths} are known to be cut.",
    "Its callers are served by way of other VMs, and new ones are sent to these. Look at this"
    " VM's links to the targets.",
)
NOT_CUT_OFF = event(
    1067,
    "reaches-targets-again",
    "notice",
    "This VM reaches targets by its own paths again.",
    "The end of a cut.",
)
TUNNEL_OPENED = event(
    1068,
    "tunnel-opened",
    "info",
    "A connection to {target} leads by VM {vm}: tunnel {tunnel}.",
    "VM {vm} has a line with the same tunnel. Requests that were sent on it name the VM.",
)
TUNNEL_SERVED = event(
    1069,
    "tunnel-served",
    "info",
    "VM {vm} asked for a connection to {target}: {outcome}; tunnel {tunnel}.",
    "That VM has lost its path to the target. 502: this VM does not reach it either, though others;"
    " 503: this VM can't tell, or has too many tunnels; 403: it doesn't know the VM or the target.",
)
RUN_ENDED_THERE = event(
    1100,
    "run-ended-there",
    "info",
    "{target} was told to end its run of {request}, which this VM has given up.",
    "The connection of the run led over a path that was lost, so that its close did not reach the"
    " engine. The stream goes on elsewhere, or its caller has left.",
)
