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
