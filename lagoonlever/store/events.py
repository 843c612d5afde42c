"""The log events of the platform's adapters."""

from __future__ import annotations

from lagoonlever.events import event

PLATFORM_UNREACHABLE = event(
    800,
    "platform-unreachable",
    "error",
    "No server of the platform took {step}: {error}",
    "Told once, until a call succeeds again. This VM goes on with the settings and the targets "
    "that it has; changes of settings and claims of plain keys fail meanwhile. Look at the "
    "platform's key-value service and at `platform.addresses`.",
)
PLATFORM_REACHED = event(
    801,
    "platform-reached",
    "notice",
    "{peer} of the platform answers again.",
    "The outage that event 800 told of is over for this VM. Nothing to do.",
)
PLATFORM_ANSWER_LOST = event(
    802,
    "platform-answer-lost",
    "warning",
    "The answer to {step} from {peer} was lost: {error}",
    "The change may have been applied. The part that made it finds out by reading back.",
)
PLATFORM_VALUE_UNREADABLE = event(
    804,
    "platform-value-unreadable",
    "warning",
    "The value of {key} in the platform's store can't be read and counts as empty: {error}",
    "Another program wrote there, or the store's answer was damaged. What the key told before is "
    "gone for this VM; the other keys hold.",
)
WATCH_SILENT = event(
    803,
    "watch-silent",
    "debug",
    "The watch of {prefix} was silent for {silence_s:g} s and is opened anew.",
    "Usual where nothing changes; it keeps a watch that was lost without a word from going "
    "unnoticed.",
)
PLATFORM_RESTORED = event(
    805,
    "platform-restored",
    "warning",
    "The platform's store has come back from an older copy: era {era} after {former}.",
    "What it took in the last seconds before is lost, leases too, and its revisions are given out "
    "again. This VM reads anew what it follows there, and writes again what is its own; see the "
    "page on outages.",
)
PLATFORM_ERA_UNKNOWN = event(
    806,
    "platform-era-unknown",
    "notice",
    "An answer of the platform's store tells no era, as {problem}; it counts as of era {era}.",
    "Told once for each reason. A store that never comes back from an older copy needs none; of "
    "one that does, this VM notices it only once an answer tells.",
)
