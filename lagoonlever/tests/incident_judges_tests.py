"""Each judge of incidents is red on a made-up history that breaks its form, and green beside it."""

from __future__ import annotations

from collections.abc import Iterable

import pytest

from lagoonlever.tests.incident_history import (
    Arrival,
    Attempt,
    EngineEnd,
    HeldEvent,
    History,
    Job,
    Rest,
)
from lagoonlever.tests.incident_judges import judge_all

PART, PROMPT = "bad-part", "bad-prompt"


def _attempt(number: int, **known: object) -> Attempt:
    fields: dict[str, object] = {
        "request": f"r-{number}",
        "job": f"job-{number}",
        "kind": "lookup",
        "service": "apps",
        "sent_at": 0.0,
        "deadline_s": 1.0,
        "max_attempts": 2,
        "vm": "vm-0",
    }
    return Attempt(**{**fields, **known})  # type: ignore[arg-type]


def _arrival(number: int, at: float, **known: object) -> Arrival:
    fields: dict[str, object] = {
        "at": at,
        "request": f"r-{number}",
        "service": "apps",
        "target": "apps-1",
        "ran": True,
        "deadline_s": 0.5,
    }
    return Arrival(**{**fields, **known})  # type: ignore[arg-type]


def _history(
    attempts: Iterable[Attempt] = (),
    arrivals: Iterable[Arrival] = (),
    ends: Iterable[EngineEnd] = (),
    rests: Iterable[Rest] = (),
    jobs: Iterable[Job] = (),
) -> History:
    return History(
        attempts={attempt.request: attempt for attempt in attempts},
        arrivals=list(arrivals),
        ends=list(ends),
        rests=list(rests),
        jobs=list(jobs),
        shared=frozenset({PART}),
    )


def _broken(history: History) -> set[tuple[str, str]]:
    return {(finding.rule, finding.form) for finding in judge_all(history)}


@pytest.mark.parametrize(("repeats", "broken"), [(230, False), (231, True)])
def test_repeats_beyond_the_window_are_found(repeats: int, broken: bool) -> None:
    """A hundred requests allow 0.8 of them and 150 repeats in ten seconds."""
    attempts = [_attempt(number, sent_at=number / 20) for number in range(100)]
    firsts = [_arrival(number, number / 20) for number in range(100)]
    more = [_arrival(number % 100, 5.0 + number / 50) for number in range(repeats)]
    found = _broken(_history(attempts, firsts + more))
    assert (("BUDGET", "window") in found) is broken


@pytest.mark.parametrize(("requests", "broken"), [(3, False), (4, True)])
def test_requests_run_on_more_targets_than_allowed_are_found(requests: int, broken: bool) -> None:
    """Three may run on more sound targets than their kind allows."""
    three = frozenset({"apps-1", "apps-2", "apps-3"})
    attempts = [_attempt(number, sound_targets=three) for number in range(requests)]
    assert (("BUDGET", "attempts") in _broken(_history(attempts))) is broken


@pytest.mark.parametrize("deadline_s", [None, 1.6])
@pytest.mark.parametrize(("longer", "broken"), [(20, False), (21, True)])
def test_targets_that_get_more_time_than_is_left_are_found(
    deadline_s: float | None, longer: int, broken: bool
) -> None:
    """None at all, or half a second more than the client named."""
    attempts = [_attempt(number) for number in range(longer)]
    arrivals = [_arrival(number, 0.1, deadline_s=deadline_s) for number in range(longer)]
    assert (("BUDGET", "time") in _broken(_history(attempts, arrivals))) is broken


@pytest.mark.parametrize(("deadline_s", "broken"), [(0.3, False), (0.95, True)])
def test_retries_that_get_the_time_of_the_first_attempt_are_found(
    deadline_s: float, broken: bool
) -> None:
    """A target that is asked 0.7 s later is to be told that less is left."""
    attempts = [_attempt(number) for number in range(30)]
    firsts = [_arrival(number, 0.0, deadline_s=1.0) for number in range(30)]
    more = [_arrival(number, 0.7, deadline_s=deadline_s) for number in range(30)]
    assert (("BUDGET", "time") in _broken(_history(attempts, firsts + more))) is broken


@pytest.mark.parametrize(("cause", "most"), [(PART, 5), (PROMPT, 3)])
@pytest.mark.parametrize(
    ("late", "in_touch", "broken"), [(3, True, 0), (4, True, 1), (4, False, 0)]
)
def test_deadly_requests_that_come_late_are_found(
    cause: str, most: int, late: int, in_touch: bool, broken: int
) -> None:
    """Three may come three seconds after the last end that is allowed."""
    ends = [
        EngineEnd(at=float(number), target=f"e-{number}", deadly=cause, requests=())
        for number in range(most)
    ]
    holds = frozenset({cause})
    early = [_arrival(number, most + 1.5, deadly=holds) for number in range(10)]
    after = [
        _arrival(100 + number, most + 2.1, deadly=holds, in_touch=in_touch)
        for number in range(late)
    ]
    found = _broken(_history(arrivals=early + after, ends=ends))
    assert (("BUDGET", "deadly") in found) is bool(broken)


@pytest.mark.parametrize(
    ("came", "vm", "broken"), [(2, "vm-0", False), (3, "vm-0", True), (3, "vm-1", False)]
)
def test_requests_in_a_rest_are_found(came: int, vm: str, broken: bool) -> None:
    """Two of the VM that was told may come later than half a second after."""
    rests = [Rest(at=1.0, target="apps-1", vm="vm-0", rest_s=3.0)]
    attempts = [_attempt(number, vm=vm) for number in range(came)]
    arrivals = [_arrival(number, 1.6 + number / 10) for number in range(came)]
    found = _broken(_history(attempts, arrivals, rests=rests))
    assert (("BUDGET", "rest") in found) is broken


def _job(number: int, **known: object) -> Job:
    fields: dict[str, object] = {
        "id": f"job-{number}",
        "kind": "digest",
        "organisation": "org-1",
        "asked_at": float(number),
        "served": True,
    }
    return Job(**{**fields, **known})  # type: ignore[arg-type]


@pytest.mark.parametrize("field", ["kind", "organisation"])
@pytest.mark.parametrize(("served", "broken"), [(5, False), (4, True)])
def test_a_starved_kind_or_organisation_is_found(field: str, served: int, broken: bool) -> None:
    """Of twenty it needs a quarter of the share of all."""
    others = [_job(number) for number in range(80)]
    few = [_job(100 + n, served=n < served, **{field: "few"}) for n in range(20)]
    found = _broken(_history(jobs=others + few))
    assert (("STARVED", field) in found) is broken


@pytest.mark.parametrize(("starved", "broken"), [(4, False), (5, True)])
def test_subjects_that_are_never_served_are_found(starved: int, broken: bool) -> None:
    """Of fifty subjects, four are two and four in a hundred."""
    jobs = [
        _job(
            10 * subject + turn,
            asked_at=3.0 * turn,
            subject=f"s-{subject}",
            served=subject >= starved,
        )
        for subject in range(50)
        for turn in range(4)
    ]
    assert (("STARVED", "subject") in _broken(_history(jobs=jobs))) is broken


def test_subjects_that_chance_leaves_unserved_are_not_found() -> None:
    """Where one in ten is served, most of those asked for four times are not."""
    jobs = [
        _job(10 * subject + turn, asked_at=3.0 * turn, subject=f"s-{subject}", served=False)
        for subject in range(10)
        for turn in range(4)
    ]
    jobs += [_job(1_000 + number, served=number % 9 == 0) for number in range(400)]
    assert not _broken(_history(jobs=jobs))


def _event(made: int, **known: object) -> HeldEvent:
    fields: dict[str, object] = {
        "request": "r-1",
        "number": made,
        "part": "own",
        "made": made,
        "version": "v1",
        "run": "e-1",
        "begun_after": 0,
    }
    return HeldEvent(**{**fields, **known})  # type: ignore[arg-type]


def _stream(events: list[HeldEvent], number: int = 0, **known: object) -> Job:
    fields: dict[str, object] = {"part": "own", "expected": 4, "ended_whole": True}
    return _job(number, events=events, **{**fields, **known})


WHOLE = [_event(made) for made in (1, 2, 3, 4)]
RESUMED = [*WHOLE[:2], *(_event(made, run="e-2", begun_after=2) for made in (3, 4))]


@pytest.mark.parametrize("events", [WHOLE, RESUMED])
def test_whole_streams_are_in_order(events: list[HeldEvent]) -> None:
    """A new run may go on where it was asked to."""
    assert not _broken(_history(jobs=[_stream(events)]))


@pytest.mark.parametrize(
    ("form", "events"),
    [
        ("missing", [WHOLE[0], *WHOLE[2:]]),
        ("twice", [*WHOLE[:2], *WHOLE[1:]]),
        ("number", [*WHOLE[:3], _event(4, number=5)]),
        ("foreign", [*WHOLE[:3], _event(4, part="another")]),
        ("two runs", [*WHOLE[:2], *(_event(made, run="e-2") for made in (3, 4))]),
        ("ended early", WHOLE[:3]),
    ],
)
def test_a_stream_out_of_order_is_found(form: str, events: list[HeldEvent]) -> None:
    """One is enough."""
    assert ("ORDER", form) in _broken(_history(jobs=[_stream(events)]))


@pytest.mark.parametrize(("streams", "broken"), [(2, False), (3, True)])
def test_streams_of_two_versions_are_found(streams: int, broken: bool) -> None:
    """Two may hold events of two versions, over all tries of their callers."""
    events = [*WHOLE[:2], *(_event(m, run="e-2", begun_after=2, version="v2") for m in (3, 4))]
    jobs = [_stream(events, number) for number in range(streams)]
    assert (("ORDER", "versions") in _broken(_history(jobs=jobs))) is broken
