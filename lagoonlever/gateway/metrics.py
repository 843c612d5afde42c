"""The metrics of the gateway."""

from __future__ import annotations

from lagoonlever.metrics import counter, gauge, latency

REQUESTS = counter(
    "lagoonlever.gateway.requests",
    unit="{request}",
    labels=("kind", "outcome"),
    doc="Requests that ended, by kind of route (`stream`, `idempotent`, `non-idempotent`, `none`)"
    " and outcome (`done`, `not-run`, `unknown`, `failed`, `caller-gone`).",
)
UNSERVED = counter(
    "lagoonlever.gateway.requests.unserved",
    unit="{request}",
    labels=("kind", "organisation", "reason"),
    doc="Requests that ended without a whole answer, of callers that stayed: by kind of route, by"
    " organisation (`none` where none is known) and by the reason that the caller was told."
    " Compare what each kind and organisation loses with its requests.",
)
ATTEMPTS = counter(
    "lagoonlever.gateway.attempts",
    unit="{attempt}",
    labels=("kind", "result"),
    doc="Requests that were written to targets, by what became of them. Of streams, `lost` is an"
    " answer that broke off at an engine that lives, `target-gone` one whose engine does not"
    " answer any more.",
)
REFUSALS = counter(
    "lagoonlever.gateway.refusals",
    unit="{answer}",
    labels=("evidence",),
    doc="Answers of targets to calls that say that nothing has run, and were believed: whether they"
    " name the request, and whether their connection had carried another one before.",
)
CONNECTIONS = counter(
    "lagoonlever.gateway.connections",
    unit="{connection}",
    labels=("result",),
    doc="Connections to targets that a request was about to be sent on: `kept` from before, `new`,"
    " or `failed` to open.",
)
TUNNELS = counter(
    "lagoonlever.gateway.tunnels",
    unit="{connection}",
    labels=("outcome",),
    doc="Connections to targets that this VM asked another one for: `opened`, `target-down` where"
    " that one did not reach the target either, `refused` where it could not tell, or `failed`.",
)
TUNNELS_SERVED = gauge(
    "lagoonlever.gateway.tunnels.served",
    unit="{connection}",
    doc="Connections to targets that this VM holds open for other VMs.",
)
PATHS_CUT = gauge(
    "lagoonlever.gateway.paths.cut",
    unit="{target}",
    doc="Targets that other VMs reach and this one does not.",
)
TARGETS_ENDED = counter(
    "lagoonlever.gateway.targets.ended",
    unit="{target}",
    labels=("kind",),
    doc="Targets that ended as they ran a request of this VM, by the kind of its route.",
)
BARRED = counter(
    "lagoonlever.gateway.requests.barred",
    unit="{request}",
    labels=("kind",),
    doc="Requests that were refused or stopped as too many targets had ended under them.",
)
SHUT_OUT = gauge(
    "lagoonlever.gateway.targets.shut_out",
    unit="{target}",
    labels=("service",),
    doc="Targets that would take work and may not, as their version was rolled back, while no other"
    " one is left: above 0 every request to the service is refused.",
)
LIMITED_SENDS = counter(
    "lagoonlever.gateway.limited.sends",
    unit="{request}",
    labels=("attempt",),
    doc="Requests to targets that name a limit: written as `first` attempts or as `later` ones, or"
    " `held` as the limit left no room.",
)
LINE_LENGTH = gauge(
    "lagoonlever.gateway.line.length",
    unit="{request}",
    labels=("service", "rank"),
    doc="Prompts that wait for engines in the line that this VM keeps, by rank; 0 is the most"
    " urgent.",
)
LINE_AGE = gauge(
    "lagoonlever.gateway.line.age",
    unit="s",
    labels=("service", "rank"),
    doc="How long the oldest of them has waited.",
)
LINE_OUTCOMES = counter(
    "lagoonlever.gateway.line.outcomes",
    unit="{request}",
    labels=("service", "rank", "outcome"),
    doc="Prompts that this VM placed for others or itself by the line that it keeps: `at-once`,"
    " `begun` after a wait, or `refused`.",
)
CALL_LATENCY = latency(
    "lagoonlever.gateway.call.latency",
    labels=("kind",),
    doc="From the arrival of a call to its answer.",
)
CALL_PLACE_WAIT = latency(
    "lagoonlever.gateway.call.place.wait",
    labels=(),
    doc="How long calls of any VM waited for a place at a runner that this VM gave out; those that"
    " got one at once are not counted.",
)
CALLS_REFUSED_FOR_ROOM = counter(
    "lagoonlever.gateway.calls.refused_for_room",
    unit="{call}",
    labels=("rank",),
    doc="Calls of any VM that this VM refused as no runner could begin them in time.",
)
CALL_DESKS_SILENT = counter(
    "lagoonlever.gateway.call.desks.silent",
    unit="{question}",
    doc="Questions for a place that another VM did not answer in time.",
)
FIRST_EVENT_LATENCY = latency(
    "lagoonlever.gateway.first_event.latency",
    labels=(),
    doc="From the arrival of a stream's request to its first event.",
)
LONGEST_PAUSE = latency(
    "lagoonlever.gateway.stream.pause",
    labels=(),
    doc="The longest pause between two events of each stream, over all its attempts here.",
)
ENGINE_QUESTIONS = counter(
    "lagoonlever.gateway.engine.questions",
    unit="{question}",
    labels=("answer",),
    doc="Engines that were asked about a silent stream, by what they said.",
)
STREAMS_TAKEN_UP = counter(
    "lagoonlever.gateway.streams.taken_up",
    unit="{stream}",
    labels=("source",),
    doc="Streams that callers took up with a part of their events, by who knew the software version"
    " that began them; of `nobody` none can go on.",
)
COPIES = counter(
    "lagoonlever.gateway.copies",
    unit="{copy}",
    labels=("result",),
    doc="Runs that were copied to another engine by a call, `made` or `failed`.",
)
OPEN_REQUESTS = gauge(
    "lagoonlever.gateway.requests.open",
    unit="{request}",
    doc="Requests that this VM serves now.",
)
CLIENT_MEMORY = gauge(
    "lagoonlever.gateway.clients.memory",
    unit="By",
    labels=("part",),
    doc="What clients make this VM hold, `held`, and the most that they may, `capacity`.",
)
CONFIGURATION_VERSION = gauge(
    "lagoonlever.gateway.configuration.version",
    unit="1",
    doc="The version of the operators' configuration in force; 0 for none.",
)
FELLOWS = gauge(
    "lagoonlever.gateway.fellows",
    unit="{vm}",
    labels=("state",),
    doc="Other gateways as this one sees them, `offered` to callers or `silent`.",
)
LOG_LINES_LOST = gauge(
    "lagoonlever.log.lines.lost",
    unit="{line}",
    doc="Log lines that were dropped because the reader was slow or there were too many.",
)
TOLD_LOADS = gauge(
    "lagoonlever.gateway.targets.told_load",
    unit="{target}",
    labels=("source",),
    doc="Targets by the newest word on their load: by their own `answer`, by `news` of another VM,"
    " or `none`.",
)
TOLD_LOAD_AGE = gauge(
    "lagoonlever.gateway.targets.told_load.age",
    unit="s",
    doc="The age of the median of these words; 0 where there is none.",
)
