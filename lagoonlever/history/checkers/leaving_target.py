"""A target that is listed as leaving, or no longer listed, takes no new work 3 s later.

Rests on what the platform listed and on what the targets themselves took, so a
VM can't hide a late dispatch. A target that takes out of its socket's buffer
what was written earlier, as after a freeze, counts as taking it then.
"""

from __future__ import annotations

from collections.abc import Sequence

from lagoonlever.history.checkers import Violation, checker
from lagoonlever.history.events import HistoryEvent
from lagoonlever.history.events_targets import EngineTook, ServiceExecuted, TargetListed

NAME = "leaving_target"
LIVE = "live"
GRACE_S = 3.0


@checker(NAME)
def check(events: Sequence[HistoryEvent]) -> list[Violation]:
    """Check every piece of work that a target took against the list."""
    not_live_since: dict[str, float] = {}
    violations: list[Violation] = []
    for event in sorted(events, key=lambda event: event.at):
        if isinstance(event, TargetListed):
            _note(event, not_live_since)
        elif isinstance(event, EngineTook | ServiceExecuted):
            violations += _judge(event, not_live_since)
    return violations


def _note(event: TargetListed, not_live_since: dict[str, float]) -> None:
    if event.state == LIVE:
        not_live_since.pop(event.target, None)
    else:
        not_live_since.setdefault(event.target, event.at)


def _judge(
    event: EngineTook | ServiceExecuted, not_live_since: dict[str, float]
) -> list[Violation]:
    since = not_live_since.get(event.target)
    if since is None or event.at - since <= GRACE_S:
        return []
    work = event.stream if isinstance(event, EngineTook) else event.key
    message = f"took {work} {event.at - since:.2f} s after it was listed as leaving"
    return [Violation(checker=NAME, subject=event.target, at=event.at, message=message)]
