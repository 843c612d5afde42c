"""The log events of streams that a caller takes up again."""

from __future__ import annotations

from lagoonlever.events import event

STREAM_TAKEN_UP = event(
    1012,
    "stream-taken-up",
    "info",
    "{request} goes on after event {position} of the stream that {resumes} began, at software"
    " {version} by {source}.",
    "A caller is back with a part of its answer. `version` is that of the software that wrote the"
    " first event, `source` who knew it; without a version nothing is known of the beginning.",
)
FORMER_RUN = event(
    1018,
    "former-run",
    "info",
    "{request}, back after event {position}, follows {former} at {target}: the same question"
    " {same}, goes on from copy {copy}.",
    "The last run of a stream, or else of its session. `same` tells whether both ask the same. Only"
    " a caller that is back with a part of the answer to the same question goes on from a copy.",
)
VERSIONS_RECORDED = event(
    1013,
    "versions-recorded",
    "notice",
    "The versions in use are recorded as {versions}, at revision {revision}.",
    "A version of a service's software has come, or its last stream is over. While a service has"
    " several, the beginnings of its streams are recorded as well.",
)
VERSIONS_UNREADABLE = event(
    1014,
    "versions-unreadable",
    "error",
    "The record of versions in use can't be read, and is written anew: {error}",
    "Somebody else wrote `lagoonlever/versions`.",
)
ORIGINS_WRITTEN = event(
    1019,
    "origins-written",
    "info",
    "Wrote where {streams} streams began; of {unnamed} more no entry names the process.",
    "Several versions of a service's software are in use, or one has just come. A stream whose"
    " first event is later than the last such line of its VM is unknown after a loss of all VMs.",
)
ORIGINS_READ = event(
    1015,
    "origins-read",
    "info",
    "Read where streams began from the records of {vms} VMs; {known} are known now.",
    "A caller has taken up a stream of which no VM knew the beginning, as after a loss of all VMs.",
)
ORIGINS_UNREADABLE = event(
    1016,
    "origins-unreadable",
    "error",
    "A record of where streams began can't be read: {error}",
    "Somebody else wrote below `lagoonlever/origins/`. Its streams can't be taken up.",
)
STREAM_NOT_TAKEN_UP = event(
    1017,
    "stream-not-taken-up",
    "notice",
    "{request} can't go on with its stream: {detail}",
    "No engine is left of the version that began it, or nobody knows which version that was."
    " What two versions write doesn't fit together, so the caller has to begin anew.",
)
VERSION_UNRECORDED = event(
    1079,
    "version-unrecorded",
    "warning",
    "{request} begins nowhere: the store takes no record of {target}'s version {version}.",
    "Only engines of that version have room, and the record names one other or none. After a loss"
    " of all VMs the stream would be taken for one of the recorded version. New streams begin as"
    " soon as the store takes a write.",
)
WRITER_UNKNOWN = event(
    1099,
    "writer-unknown",
    "notice",
    "{target} did not tell which process writes {request}; it is asked again.",
    "Until it has answered, the software version of the stream is unknown, and the stream can't go"
    " on at another engine. Often, it says that questions to engines are lost.",
)
