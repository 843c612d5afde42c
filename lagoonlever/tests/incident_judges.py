"""Judges STARVED and ORDER over what callers hold."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator

from lagoonlever.tests.incident_budget import Finding, judge_budget
from lagoonlever.tests.incident_history import HeldEvent, History, Job

LEAST_ASKED_ON = 4
"""Requests on a subject that tell whether it is served at all."""
LEAST_ASKED_FOR_S = 8.0
MOST_STARVED, MOST_STARVED_SHARE = 2, 0.04
BEYOND_CHANCE = 3.0
LEAST_SHARE = 0.25
MOST_OF_TWO_VERSIONS = 2


def judge_all(history: History) -> tuple[Finding, ...]:
    """Return all that is broken."""
    return (*judge_budget(history), *judge_starved(history), *judge_order(history))


def judge_starved(history: History) -> Iterator[Finding]:
    """Return what breaks STARVED."""
    jobs = owed(history)
    for form, name in (("kind", "kind"), ("organisation", "organisation")):
        for detail in _judge_shares(jobs, name):
            yield Finding(rule="STARVED", form=form, detail=detail)
    for detail in _judge_subjects(jobs):
        yield Finding(rule="STARVED", form="subject", detail=detail)


def judge_order(history: History) -> Iterator[Finding]:
    """Return what breaks ORDER, deadly prompts' streams too."""
    mixed = []
    for job in history.jobs:
        for form, detail in _faults(job):
            yield Finding(rule="ORDER", form=form, detail=f"{job.id}: {detail}")
        if len({event.version for event in job.events}) > 1:
            mixed.append(job)
    if len(mixed) > MOST_OF_TWO_VERSIONS:
        detail = f"{len(mixed)} streams, first {', '.join(job.id for job in mixed[:3])}"
        yield Finding(rule="ORDER", form="versions", detail=detail)


def streams_of_two_versions(history: History) -> list[str]:
    """Return the jobs that hold events of two versions, for the report of a play."""
    return [job.id for job in history.jobs if len({event.version for event in job.events}) > 1]


def owed(history: History) -> list[Job]:
    """Return the requests that were to be served, and whose end is known."""
    return [
        job for job in history.jobs if job.served is not None and not job.is_deadly and not job.left
    ]


def served_by(jobs: Iterable[Job], key: Callable[[Job], str | None]) -> dict[str, tuple[int, int]]:
    """Return how many were served and how many were asked for, by what ``key`` names."""
    asked: Counter[str] = Counter()
    served: Counter[str] = Counter()
    for job in jobs:
        name = key(job)
        if name is not None:
            asked[name] += 1
            served[name] += bool(job.served)
    return {name: (served[name], count) for name, count in sorted(asked.items())}


def _judge_shares(jobs: list[Job], name: str) -> Iterator[str]:
    all_served = sum(bool(job.served) for job in jobs) / max(1, len(jobs))
    for value, (served, asked) in served_by(jobs, lambda job: getattr(job, name)).items():
        if served / asked < LEAST_SHARE * all_served:
            yield f"{value}: {served} of {asked} were served, {all_served:.0%} of all"


def _judge_subjects(jobs: list[Job]) -> Iterator[str]:
    shares = {
        kind: served / asked
        for kind, (served, asked) in served_by(jobs, lambda job: job.kind).items()
    }
    groups: dict[tuple[str, str], list[Job]] = defaultdict(list)
    for job in jobs:
        if job.subject is not None:
            groups[job.kind, job.subject].append(job)
    asked = {key: group for key, group in groups.items() if _is_asked_for(group)}
    starved = [key for key, group in asked.items() if not any(job.served for job in group)]
    chance = sum((1.0 - shares[kind]) ** len(group) for (kind, _), group in asked.items())
    most = max(MOST_STARVED + MOST_STARVED_SHARE * len(asked), BEYOND_CHANCE * chance)
    if len(starved) > most:
        yield f"{len(starved)} of {len(asked)} subjects were never served, first {starved[:3]}"


def _is_asked_for(group: list[Job]) -> bool:
    times = [job.asked_at for job in group]
    return len(times) >= LEAST_ASKED_ON and max(times) - min(times) >= LEAST_ASKED_FOR_S


def _faults(job: Job) -> Iterator[tuple[str, str]]:
    """Return what is wrong with the pieces of one stream, and with its end."""
    former: HeldEvent | None = None
    for event in job.events:
        expected = 1 if former is None else former.made + 1
        if event.made != expected:
            what = "twice" if event.made < expected else "missing"
            yield what, f"{event.made} in place of {expected} in {event.request}"
        if event.number is not None and event.number != event.made:
            yield "number", f"{event.made} bears the number {event.number} in {event.request}"
        if event.part != job.part:
            yield "foreign", f"an event of {event.part} in {event.request}"
        is_new_run = former is None or former.run != event.run
        if is_new_run and event.begun_after != (0 if former is None else former.made):
            begun = f"{event.run}, begun after {event.begun_after}"
            yield "two runs", f"{event.made} is by {begun}, in {event.request}"
        former = event
    if job.ended_whole and len(job.events) != job.expected:
        yield "ended early", f"as whole with {len(job.events)} of {job.expected} events"
