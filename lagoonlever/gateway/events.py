"""The log events of the gateway."""

from __future__ import annotations

from lagoonlever.events import event

STARTED = event(
    1000,
    "gateway-started",
    "notice",
    "Gateway {vm} of {data_center} listens on {address}.",
    "The process is up. It takes callers once it knows a configuration.",
)
STOPPING = event(
    1001,
    "gateway-stopping",
    "notice",
    "Told to stop: {open} requests are open; the process ends within {grace_s:g} s.",
    "A planned stop. Callers are sent elsewhere; open requests are finished.",
)
STOPPED = event(
    1002,
    "gateway-stopped",
    "notice",
    "The process ends after {seconds:.2f} s of stopping with {open} requests open.",
    "The end of a planned stop.",
)
CONFIGURATION = event(
    1010,
    "configuration-in-force",
    "notice",
    "Configuration {version} is in force, from {source}; before it {former}.",
    "Every request that arrives from now on is handled by it.",
)
CONFIGURATION_UNREADABLE = event(
    1011,
    "configuration-unreadable",
    "error",
    "A stored configuration can't be read: {error}",
    "The configuration in force stays. Look at what the operators wrote.",
)
TARGET_LISTED = event(
    1020,
    "target-listed",
    "info",
    "Target {target} of {service} at {address} is {state}, by revision {revision}.",
    "The platform's list has changed. A target that drains or is removed gets no new work.",
)
TARGET_UNREADABLE = event(
    1021,
    "target-unreadable",
    "error",
    "An entry of the list of targets can't be read: {error}",
    "The target is not used. Look at what it wrote of itself.",
)
TARGET_REPLACED = event(
    1022,
    "target-replaced",
    "info",
    "Another process answers at the address of {target}.",
    "The target has restarted or its address was given away; its entry is ignored.",
)
FELLOW_LISTED = event(
    1030,
    "fellow-listed",
    "info",
    "Gateway {vm} ({incarnation}) is {state}.",
    "Its address is told to callers while it is registered.",
)
REGISTERED = event(
    1031,
    "gateway-registered",
    "info",
    "This VM is registered under lease {lease} for {ttl_s:g} s.",
    "Other VMs tell callers its address while the lease lives.",
)
REQUEST_ENDED = event(
    1040,
    "request-ended",
    "info",
    "{request} on {route} of {organisation}: {status} {outcome} after {seconds:.3f} s,"
    " {attempts} attempts, last at {target}: {detail}",
    "One line for each request. `attempts` counts what was sent to targets.",
)
ATTEMPT_SENT = event(
    1041,
    "attempt-sent",
    "info",
    "{request} goes to {target} as attempt {attempt}: {reason}",
    "Where a request was placed, and by which inputs.",
)
ATTEMPT_ENDED = event(
    1042,
    "attempt-ended",
    "info",
    "{request} at {target} ended after {seconds:.3f} s: {outcome}",
    "What became of an attempt that did not give the whole answer.",
)
