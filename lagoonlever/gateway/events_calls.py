"""The log events of places for calls."""

from __future__ import annotations

from lagoonlever.events import event

FOREIGN_ANSWER = event(
    1098,
    "foreign-answer",
    "notice",
    "{target} sent an answer for {other} where that for {request} was due: status {status}, a"
    " refusal {refusal}.",
    "A second copy of an answer came late, or the target mixes up its answers. It is taken for"
    " nothing that it says. If there are many, look at the target.",
)
PLACE_WAITED = event(
    1086,
    "call-waited",
    "debug",
    "A call to {service} waited {seconds:.3f} s for its place at {target}; {waiting} wait yet,"
    " runners: {runners}",
    "Every slot was taken, or a wait was better than a slow machine. Of each runner: the calls"
    " there, its slots, how slow its machine is and the age of that word.",
)
CALL_REFUSED = event(
    1087,
    "call-refused-for-room",
    "info",
    "A call to {service} of rank {rank} is refused, to return in {retry_after_s:g} s: {detail};"
    " runners: {runners}",
    "It could not have begun in its objective. If there are many, the service has too few"
    " runners, or some are slow.",
)
DESK_SILENT = event(
    1088,
    "call-desk-not-answering",
    "info",
    "VM {vm}, which gives out the places of {service}, did not answer within {seconds:g} s.",
    "The next VM is asked, and this one is passed over for a second. If it lasts, look at that VM"
    " and at the links to it.",
)
DESK_BEGINS = event(
    1089,
    "call-desk-begins",
    "info",
    "This VM gives out places at {runners} runners of {service} from now on.",
    "It was asked first for the group of runners, mostly as another VM left or is not heard.",
)
TARGET_BRITTLE = event(
    1097,
    "target-brittle",
    "notice",
    "Target {target} bears {borne} requests a second that it has to turn away, by {source}.",
    "A target that has to turn more away falls over. While it says so, one VM gives out the room"
    " at its service's targets, and nothing is sent that would have to wait there. `any` is the"
    " end of it.",
)
