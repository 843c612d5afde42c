"""Judges each form of BUDGET over what targets and callers have seen."""

from __future__ import annotations

import itertools
from bisect import bisect_right
from collections import Counter, defaultdict
from collections.abc import Iterator

import attrs

from lagoonlever.tests.incident_history import Arrival, Attempt, History

STABLE_S = 3.0
WINDOW_S = 10.0
REPEAT_RATIO = 0.8
REPEAT_SLACK = 150
MOST_BEYOND_ATTEMPTS = 3
TIME_SLACK_S = 0.5
MOST_LONGER, MOST_LONGER_SHARE = 20, 0.2
MOST_ENDED, MOST_ENDED_BY_PART = 3, 5
"""Engines that a request ends, or a part, before what follows counts as late."""
MOST_LATE = 3
REST_KNOWN_S = 0.5
MOST_IN_REST = 2


@attrs.frozen(kw_only=True)
class Finding:
    """One broken form of a rule, and its first cases."""

    rule: str
    form: str
    detail: str

    def __str__(self) -> str:
        return f"{self.rule} ({self.form}): {self.detail}"


def judge_budget(history: History) -> Iterator[Finding]:
    """Return what breaks BUDGET."""
    for form, found in (
        ("window", _judge_window(history)),
        ("attempts", _judge_attempts(history)),
        ("time", _judge_time(history)),
        ("deadly", _judge_deadly(history)),
        ("rest", _judge_rests(history)),
    ):
        yield from (Finding(rule="BUDGET", form=form, detail=detail) for detail in found)


def most_repeats(history: History) -> dict[str, int]:
    """Return the most repeats in a window by service, for the report of a play."""
    return {
        service: max(_count(times, at - WINDOW_S, at) for at in times)
        for service, times in _repeats(history).items()
    }


def late_by_cause(history: History) -> Counter[str]:
    """Return how many requests with each deadly prompt or part reached engines too late."""
    return Counter({cause: len(late) for cause, late in _late(history).items() if late})


def _repeats(history: History) -> dict[str, list[float]]:
    """Return the times of arrivals beyond the first of their requests, by service."""
    seen: set[tuple[str, str]] = set()
    repeats: dict[str, list[float]] = defaultdict(list)
    for arrival in sorted(history.arrivals, key=lambda each: each.at):
        key = (arrival.service, arrival.request)
        if key in seen:
            repeats[arrival.service].append(arrival.at)
        seen.add(key)
    return repeats


def _judge_window(history: History) -> Iterator[str]:
    for service, times in _repeats(history).items():
        sent = sorted(a.sent_at for a in history.attempts.values() if a.service == service)
        for at in times:
            found = _count(times, at - WINDOW_S, at)
            spans = (at, at - WINDOW_S / 2, at - WINDOW_S)
            requests = max(_count(sent, until - WINDOW_S, until) for until in spans)
            if found > REPEAT_RATIO * requests + REPEAT_SLACK:
                yield f"{service}: {found} repeats of {requests} requests in the 10 s to {at:.2f}"
                break


def _count(times: list[float], after: float, until: float) -> int:
    return bisect_right(times, until) - bisect_right(times, after)


def _judge_attempts(history: History) -> Iterator[str]:
    beyond = [
        attempt
        for attempt in history.attempts.values()
        if len(attempt.sound_targets) > attempt.max_attempts
    ]
    if len(beyond) > MOST_BEYOND_ATTEMPTS:
        first = beyond[0]
        yield f"{len(beyond)} requests, first {first.request} on {sorted(first.sound_targets)}"


def _judge_time(history: History) -> Iterator[str]:
    by_request: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in sorted(history.arrivals, key=lambda each: each.at):
        by_request[arrival.request].append(arrival)
    longer: list[str] = []
    late: set[str] = set()
    for request, arrivals in by_request.items():
        attempt = history.attempts.get(request)
        if attempt is None or attempt.is_stream:
            continue
        first = arrivals[0]
        if any(a.in_touch and a.at - first.at > TIME_SLACK_S for a in arrivals[1:]):
            late.add(request)
        if any(a.in_touch and _is_longer(a, first, attempt) for a in arrivals):
            longer.append(request)
    if len(longer) > MOST_LONGER and len(longer) > MOST_LONGER_SHARE * len(late.union(longer)):
        yield f"{len(longer)} requests got more time than is left, first {longer[:3]}"


def _is_longer(arrival: Arrival, first: Arrival, attempt: Attempt) -> bool:
    """Check whether a target was told more time than its client's request has left."""
    if arrival.deadline_s is None or arrival.deadline_s > attempt.deadline_s + TIME_SLACK_S:
        return True
    if arrival.at - first.at <= TIME_SLACK_S or first.deadline_s is None:
        return False
    latest = max(first.at + first.deadline_s, attempt.sent_at + attempt.deadline_s)
    return arrival.at + arrival.deadline_s > latest + TIME_SLACK_S


def _late(history: History) -> dict[str, list[Arrival]]:
    """Return what VMs in touch sent a stable window after enough engines had ended, by cause."""
    ended: dict[str, list[float]] = defaultdict(list)
    for end in sorted(history.ends, key=lambda each: each.at):
        ended[end.deadly].append(end.at)
    late: dict[str, list[Arrival]] = {}
    for cause, times in ended.items():
        most = MOST_ENDED_BY_PART if cause in history.shared else MOST_ENDED
        if len(times) < most:
            continue
        since = times[most - 1] + STABLE_S
        late[cause] = [
            a for a in history.arrivals if cause in a.deadly and a.in_touch and a.at > since
        ]
    return late


def _judge_deadly(history: History) -> Iterator[str]:
    for cause, late in _late(history).items():
        if len(late) > MOST_LATE:
            what = "part" if cause in history.shared else "request"
            first = ", ".join(f"{a.request} at {a.at:.2f}" for a in late[:4])
            yield f"{what} {cause}: {len(late)} came late: {first}"


def _judge_rests(history: History) -> Iterator[str]:
    for rest in history.rests:
        since, until = rest.at + REST_KNOWN_S, rest.at + rest.rest_s
        harmed = history.disturbed.get(rest.vm, [])
        if any(rest.at - STABLE_S <= at <= until for at in harmed):
            continue
        came = [
            arrival.request
            for arrival in history.arrivals
            if arrival.target == rest.target
            and since < arrival.at < until
            and (attempt := history.attempts.get(arrival.request)) is not None
            and attempt.vm == rest.vm
        ]
        if len(came) > MOST_IN_REST:
            first = list(itertools.islice(came, 3))
            yield f"{rest.target} got {len(came)} from {rest.vm} in its rest, first {first}"
