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
PART_FAILED = event(
    1003,
    "part-failed",
    "error",
    "The part '{part}' met a fault within this process and is started again.",
    "A fault of the system itself; requests go on. Report it with the lines around.",
)
REQUEST_FAULT = event(
    1008,
    "request-fault",
    "error",
    "{request} on {route}, fingerprint {fingerprint}, met a fault within this process and was"
    " ended.",
    "A fault of the system itself; its caller is told that the request may have run, or its answer"
    " breaks off. Report it with the lines around.",
)
SETTINGS_RELOADED = event(
    1004,
    "settings-reloaded",
    "notice",
    "The settings file has changed and is in force; the addresses listened on {addresses}.",
    "After SIGHUP, or when the file was found changed. Requests go on meanwhile.",
)
SETTINGS_SAME = event(
    1005,
    "settings-same",
    "info",
    "The settings file was read again and says the same.",
    "A SIGHUP without a change. Nothing to do.",
)
SETTINGS_FAULTY = event(
    1006,
    "settings-faulty",
    "error",
    "The settings file can't be used, and the former settings stay: {faults}",
    "Mend the file; it is read again when it changes.",
)
LOG_LINES_LOST = event(
    1007,
    "log-lines-lost",
    "warning",
    "{lines} log lines were dropped, {total} since the start.",
    "The reader of the log was too slow, or there was more detail than the bound allows. "
    "Warnings and errors go before detail.",
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
    "Target {target} of {service} at {address}, software {version}, is {state}, by revision"
    " {revision}.",
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
    "The process {by} answers at the address of {target}, by {source}.",
    "The target has restarted or its address was given away; its entry is ignored.",
)
TARGETS_READ = event(
    1023,
    "targets-read",
    "info",
    "A list of {targets} targets, {changed} of them changed, as of revision {revision}, from"
    " {source}.",
    "Told at the start, after changes were lost, and where a peer knew a newer list.",
)
WATCH_COMPACTED = event(
    1024,
    "gateway-watch-compacted",
    "warning",
    "The store has forgotten the changes after revision {revision}; all is read anew.",
    "Usual after an outage or a long pause.",
)
TARGETS_UNREADABLE = event(
    1028,
    "targets-unreadable",
    "error",
    "A list of targets that a VM told can't be read: {error}",
    "What is known stays, and is asked for again. Look whether all VMs are of one release.",
)
REPLACEMENT_FOUND = event(
    1025,
    "replacement-found",
    "info",
    "{target} has the place of {former}, which is lost, and has no entry yet; by {source}.",
    "Usual while the store is away: a target that was started again can't register.",
)
NO_REPLACEMENT = event(
    1026,
    "no-replacement",
    "info",
    "Nobody answers yet at the address of {target}, which is lost: {error}",
    "Asked twice, while an address can't have been given to another service.",
)
TARGET_STARTED_AGAIN = event(
    1027,
    "target-started-again",
    "notice",
    "{target} has started again under its id, at {started_ms} after {former_ms}; by {source}.",
    "Copies of runs that it held, prompts that it kept and what was learnt of it are void. Its "
    "runs go on from copies elsewhere.",
)
PROMPT_REFUSED = event(
    1053,
    "prompt-refused",
    "info",
    "{request} is refused: engines of {service} read prompts for {share} of their time, and "
    "answers end in time up to {most}.",
    "Overload: with more prompts nobody's answer would end in time. The caller is told when to "
    "come back. Add engines, or look why those that there are read slowly.",
)
PACES_RECALLED = event(
    1054,
    "paces-recalled",
    "info",
    "What was learnt of engines before this start: {paces}, by revision {revision}.",
    "Used until streams show the same or another thing.",
)
PACES_UNREADABLE = event(
    1055,
    "paces-unreadable",
    "warning",
    "What was kept of engines' speeds can't be read and is not used: {error}",
    "Another program wrote there. It is written over once streams were seen.",
)
TARGET_ENDED_UNDER = event(
    1056,
    "target-ended-under",
    "warning",
    "{target} ended under {request} on {route} of {organisation}, sharing {shared}: the {ended}. "
    "end under fingerprint {fingerprint}, of weight {weight}. No answer has begun on {unproven}, "
    "against which it weighs {parts_weight}.",
    "One end may be an accident; the weight is a half where the request may only have waited "
    "there. Where several targets end under one fingerprint, the request is "
    "the cause: look at its body at its organisation, and at the targets' own logs.",
)
LOSS_JUDGED = event(
    1039,
    "loss-judged",
    "info",
    "{target} was lost under {request}, and no VM could say at once why: {fate} after"
    " {seconds:.2f} s, of weight {weight}, and {parts_weight} against the parts that it shares.",
    "The target may have ended, or may only be out of reach. `gone` counts as an end under the"
    " request, `lives` and `unknown` do not.",
)
REQUEST_BARRED = event(
    1057,
    "request-barred",
    "error",
    "{ended} targets ended under fingerprint {fingerprint}: its requests are stopped, and refused "
    "for {for_s:.0f} s.",
    "A request ends the targets that run it. Tell its organisation, and mend the targets. It may "
    "be tried once more after that time, and is barred again by one more end.",
)
PART_BARRED = event(
    1037,
    "part-barred",
    "error",
    "{ended} targets ended as answers began on prompts with the part {barred_part}: requests with"
    " it are stopped, and refused for {for_s:.0f} s.",
    "A part that different requests share ends the targets that run it. Where several parts are"
    " named they can't be told apart, and only requests with all of them are refused.",
)
PART_DOUBTED = event(
    1050,
    "part-doubted",
    "warning",
    "{ended} targets ended under prompts with the part {doubted_part}, and nothing is known of the"
    " parts beside it: {request} waits until an answer clears the part, or it is barred.",
    "Two requests that end targets by themselves would explain all these ends. It takes some two"
    " seconds at most, and one request of all VMs is sent on meanwhile. A VM names the first that"
    " waits.",
)
PART_TRIED = event(
    1029,
    "part-tried",
    "notice",
    "{request} tries the part {barred_part}, whose bar is over or in doubt, after {ended} ends.",
    "No answer has cleared the part. This one request of all VMs is sent on; requests with the part"
    " are refused until it has shown whether the part is sound.",
)
REQUEST_TRIED = event(
    1078,
    "request-tried",
    "info",
    "{request} goes on after {ended} ends under fingerprint {fingerprint}.",
    "Several targets have ended under the request, which may be chance. One copy of it at a time is"
    " sent on, by any VM; others are refused meanwhile.",
)
PART_REFUSED = event(
    1038,
    "part-refused",
    "notice",
    "{request} is refused, as its prompt has the part {barred_part}.",
    "`lagoonlever explain` leads from the request to the targets that ended under the part.",
)
REQUEST_CLEARED = event(
    1058,
    "request-cleared",
    "info",
    "{request} was answered: the ends under fingerprint {fingerprint} were no fault of it.",
    "Usual after a crash of targets: requests that were there are served elsewhere.",
)
CRASHES_RECALLED = event(
    1059,
    "crashes-recalled",
    "info",
    "Targets ended under {requests} requests before this start, by revision {revision}.",
    "Requests under which too many ended stay refused.",
)
CRASHES_UNREADABLE = event(
    1060,
    "crashes-unreadable",
    "warning",
    "The record of requests that end targets can't be read and is not used: {error}",
    "Another program wrote there. It is written over at the next end.",
)
FELLOW_LISTED = event(
    1030,
    "fellow-listed",
    "info",
    "Gateway {vm} ({life}) is {state}.",
    "`registered` and `gone` are of the store's register, `heard` is its own word.",
)
FELLOW_UNREADABLE = event(
    1032,
    "fellow-unreadable",
    "error",
    "An entry of the register of gateways can't be read: {error}",
    "That VM is known only by its own word.",
)
FELLOW_SILENT = event(
    1033,
    "fellow-silent",
    "info",
    "Gateway {vm} has fallen silent; callers are not sent there.",
    "It is dead, paused or cut off from this VM.",
)
ROLES = event(
    1035,
    "roles",
    "info",
    "This VM reads the store for others: {reads}; is a hub: {hub}; speaks to every VM: {mesh}.",
    "Roles follow from who is there. A reader pushes what changes; a hub gathers who lives.",
)
HUB_PASSED_OVER = event(
    1036,
    "hub-passed-over",
    "info",
    "Hub {vm} does not answer this VM, which speaks to another one for some seconds.",
    "The hub is dead, paused or cut off. Where all hubs fail, the VM reads the store itself.",
)
FELLOW_HEARD = event(
    1034,
    "fellow-heard",
    "info",
    "Gateway {vm} is heard again.",
    "Its address is told to callers again.",
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
    "{request} on {route} of {organisation}: {status} {outcome} after {seconds:.3f} of"
    " {allowed_s} s, {attempts} attempts, last at {target}: {detail}",
    "One line for each request. `attempts` counts what was sent to targets; `allowed_s` is"
    " the shorter of the caller's deadline and the route's timeout.",
)
ATTEMPT_SENT = event(
    1041,
    "attempt-sent",
    "info",
    "{request} with prompt {part}, sharing {shared}, goes to {target} of software {version} as"
    " attempt {attempt} after event {position}, copy at {copy}, rank {rank}: {reason}",
    "Where a request was placed, and by which inputs. `shared` are the parts of its prompt that"
    " others may have as well. `rank` is what its engine was told, or None"
    " where the routes of the service don't differ.",
)
ATTEMPT_ENDED = event(
    1042,
    "attempt-ended",
    "info",
    "{request} at {target} ended after {seconds:.3f} s and event {position}: {outcome}",
    "What became of an attempt that did not give the whole answer. `fingerprint` is alike for "
    "requests with the same organisation, path and body; `stage` tells what had come of the "
    "answer: `nothing`, `part-of-head`, `head`, `part-of-event`, `begun` (events for less than "
    "0.3 s) or `flowing`. `via` is the VM by way of which the target was reached, `reported` what "
    "the target last said of the request: `running`, `queued` or nothing.",
)
FIRST_EVENT = event(
    1043,
    "first-event",
    "info",
    "{request} at {target} of software {version} gave its first event, {position}, after"
    " {seconds:.3f} s",
    "How long an attempt took to begin: prompt, queue and connection. The events of one stream must"
    " all come from one version of the software.",
)
PAUSE = event(
    1044,
    "pause",
    "info",
    "{request} at {target} paused for {seconds:.3f} s before event {position}",
    "A pause within an attempt. Several prompts that are read at once make such pauses.",
)
ENGINE_ASKED = event(
    1045,
    "engine-asked",
    "info",
    "{request} is silent for {silent_s:.3f} s; {target} says {answer}: {report}",
    "A stream was late, and its engine was asked whether it runs it. `none` is no answer.",
)
STREAM_ENDED = event(
    1046,
    "stream-ended",
    "info",
    "{request} on {route} of {organisation}: {status} {outcome} after {seconds:.3f} of"
    " {allowed_s} s and event {position}, {attempts} attempts, first event after {first_s} s,"
    " longest pause {pause_s:.3f} s: {detail}",
    "One line for each stream. The pause counts over all attempts of this VM.",
)
RUN_COPIED = event(
    1047,
    "run-copied",
    "info",
    "{request} at {target}: its copy at {holder} was {outcome}",
    "The engine that held the copy of a run's memory is lost or leaves; another one gets it.",
)
COPY_NOT_FREED = event(
    1048,
    "copy-not-freed",
    "info",
    "{request}: its copy at {holder} could not be given back: {outcome}",
    "The engine gives the memory back by itself some seconds later.",
)
REPEAT_WAITS = event(
    1049,
    "repeat-waits",
    "info",
    "{request} has to wait for its next attempt: the repeats allowed at {service} are spent.",
    "All VMs share a bound on attempts beyond the first; many engines were lost of late.",
)
HUB_SILENT = event(
    1052,
    "hub-silent",
    "info",
    "Hub {vm} did not answer a question about a run within {seconds:g} s.",
    "Another hub is asked, or this VM decides by what it knows itself: a worse place at most.",
)
NEWS_UNREADABLE = event(
    1051,
    "news-unreadable",
    "warning",
    "News of runs from {vm} can't be read: {error}",
    "A VM of another release, or a fault. Placement knows less until that VM says more.",
)
ROLLOUT_ORDERED = event(
    1070,
    "rollout-ordered",
    "notice",
    "Version {version} of {service} is ordered, to be decided within {duration_s:g} s, by revision"
    " {revision}.",
    "Its targets get a small share of the work until their answers have shown what it is.",
)
ROLLOUT_PHASE = event(
    1071,
    "rollout-phase",
    "info",
    "Version {version} of {service} is {phase} here, by {source}.",
    "`trial`: it gets chosen requests. `moving`: all new work. `held`: nothing, as no VM that leads"
    " the roll-out was heard for a second, or none has allowed it yet.",
)
ROLLOUT_JUDGED = event(
    1072,
    "rollout-judged",
    "notice",
    "Version {version} of {service} is to be {state}: {reason}. It got {exposed} of {arrivals}"
    " requests; logarithms of how much likelier its answers are of a bad version: {ratio} by all,"
    " {worst} by the worst kind of request, {moved} of those sent when all work went there. Targets"
    " listed by version: {listed}; answers of other versions: {answers}; the list settles in"
    " {settles_s} s.",
    "Told by the VM that leads, before it writes the status. Below -4.6 a version is sound, beyond"
    " 6.2 it is bad. Until the list has settled it may name targets that are gone, or lack some"
    " that live.",
)
ROLLOUT_DECIDED = event(
    1073,
    "rollout-decided",
    "notice",
    "Version {version} of {service} is {state}, by {source}.",
    "It never changes for this order. The VM acts on it from now on.",
)
ROLLOUT_UNREADABLE = event(
    1074,
    "rollout-unreadable",
    "error",
    "An order or a status of a roll-out can't be read: {error}",
    "It changes nothing. Look at what was written there.",
)
SERVICE_SHUT_OUT = event(
    1075,
    "service-shut-out",
    "error",
    "No target of {service} may be used: version {version} was rolled back, and its {targets}"
    " targets are the only ones left.",
    "Every request to the service is refused until an operator orders a version anew or starts"
    " targets of another one. Event 1072 tells why the version was rolled back.",
)
SERVICE_SERVED_AGAIN = event(
    1076,
    "service-served-again",
    "notice",
    "Targets of {service} may be used again.",
    "It was shut out before.",
)
ROLLOUT_STATUS = event(
    1077,
    "rollout-status",
    "info",
    "The status of {service} is {state} of version {version}, by revision {revision}; before it"
    " {former}. The order is of revision {ordered_at}.",
    "Told by the VM that wrote it. A status before the order's revision is of a former order, also"
    " where that was of the same version.",
)
TARGET_LIMIT = event(
    1080,
    "target-limit",
    "notice",
    "Target {target} takes {limit} from all VMs together, by {source}; before it {former}.",
    "A target in need names how many requests a second it takes. None: it names no limit any more.",
)
LIMITED_SENDS = event(
    1081,
    "limited-sends",
    "info",
    "{first} first attempts and {later} later ones were sent to target {target} in {seconds:.1f} s;"
    " it takes {limit} from all VMs together, as was heard {age_s:.1f} s ago.",
    "At most once a second for each target that names a limit. Add up the lines of all VMs to see"
    " what the target got.",
)
TARGET_FIELD_UNREADABLE = event(
    1082,
    "target-field-unreadable",
    "warning",
    "Target {target} says of itself what can't be read: {fields}",
    "The field counts as not said, and what was known before stays. Look at the target.",
)
COUNTER_SILENT = event(
    1083,
    "permit-not-answered",
    "info",
    "VM {vm}, which counts the requests to target {target}, did not answer within {seconds:g} s.",
    "Another VM stands in with a part of the limit, once it finds the same. If it lasts beyond some"
    " seconds, look at that VM and at the links to it.",
)
TARGET_SAYS_LEAVING = event(
    1084,
    "target-says-leaving",
    "notice",
    "Target {target} says in an answer that it leaves, by {source}.",
    "It gets no new work from now on; what runs there goes on. The store may tell it later.",
)
TARGET_RESTS = event(
    1085,
    "target-rests",
    "info",
    "Target {target} has turned a request away and wants nothing from this VM for {seconds:g} s.",
    "One line for each such answer. Nothing is sent to it meanwhile.",
)
LINE_QUEUED = event(
    1090,
    "prompt-queued",
    "info",
    "Request {request} of rank {rank} waits in line for an engine of service {service}: {ahead} go"
    " first, its first event is on time for {in_time_s:g} s yet, and engines can read {per_s:g}"
    " prompts a second.",
    "No engine could begin it well at once. It goes out as soon as one can.",
)
LINE_BEGUN = event(
    1091,
    "prompt-begun",
    "info",
    "Request {request} of rank {rank} has left the line of service {service} for engine {engine}"
    " after {seconds:g} s; {waiting} still wait, and it could have waited for {left_s:g} s more.",
    "Its wait is over. Below 0 s its first event is late.",
)
LINE_REFUSED = event(
    1092,
    "prompt-turned-away",
    "info",
    "Request {request} of rank {rank} can't get an engine of service {service} in its time:"
    " {detail}. {waiting} wait, its first event is on time for {in_time_s:g} s yet, and its caller"
    " is to come back after {seconds:g} s.",
    "It has not run. If there are many, the service has too few engines for its load.",
)
LINE_LEFT = event(
    1093,
    "prompt-not-asked-for",
    "info",
    "Request {request} was dropped from the line, as VM {vm} did not ask for it again.",
    "Its VM is gone or asks elsewhere; nothing of the request has run by this line.",
)
LINE_KEEPER_SILENT = event(
    1094,
    "line-keeper-silent",
    "info",
    "VM {vm}, which keeps a line for engines, has not answered; it was asked for {seconds:.2f} s.",
    "The next VM is asked for a moment. If it lasts, look at that VM and at the links to it.",
)
LINE_PASSED_BY = event(
    1095,
    "prompt-passed-by",
    "info",
    "Request {request} of rank {rank} waits in the line of service {service} since {seconds:g} s"
    " and can't be on time any more; {waiting} wait.",
    "Others were more urgent, or engines were lost since it came. It goes out once no prompt"
    " waits that can still be on time.",
)
ENGINE_BY_PACE = event(
    1096,
    "engine-chosen-by-pace",
    "debug",
    "Request {request} goes to {target} (pace {pace}, slowness {slowness}), and not to {other}"
    " (pace {other_pace}, slowness {other_slowness}, told {age_s} s ago, by {source}).",
    "The other engine was less busy. A pace is how many times as long as its service an engine"
    " takes by its last runs; slowness is what its machine told, as far as it still counts.",
)
