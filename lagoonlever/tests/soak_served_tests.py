"""The soak's judge of who was served: each form of starving is seen, and each refusal told."""

from __future__ import annotations

import pytest

from lagoonlever.soak.deployments import LONG_STREAMS, MANY_ORGANISATIONS, TWO_KINDS, Shape
from lagoonlever.soak.judge import Judge
from lagoonlever.soak.served import LEAST_ASKED_FOR_S, Asked, Refusal, ServedBook, reason_of


def asked(kind: str = "stream-1", organisation: str = "org-1", subject: str | None = None) -> Asked:
    rank = kind if kind.startswith("stream") else None
    return Asked(kind=kind, organisation=organisation, rank=rank, subject=subject)


def record(book: ServedBook, what: Asked, *, times: int, served: int) -> None:
    """Record requests over twice the time that tells, those that were served last."""
    for number in range(times):
        at = 2 * LEAST_ASKED_FOR_S * number / times
        book.record(what, at, whole=number >= times - served)


def promises(book: ServedBook) -> list[str]:
    return [promise for promise, _ in book.starved()]


@pytest.mark.parametrize(("served", "broken"), [(19, 1), (25, 0)])
def test_a_kind_that_is_served_less_than_a_quarter_as_often_is_seen(
    served: int, broken: int
) -> None:
    """Of streams, nearly none is served, as calls are; their rank shows nothing of it."""
    book = ServedBook()
    record(book, asked("bid"), times=100, served=100)
    record(book, asked("look"), times=800, served=800)
    record(book, asked("stream-1"), times=100, served=served)
    assert promises(book) == ["every kind is served"] * broken


def test_a_kind_that_was_hardly_asked_for_is_not_judged() -> None:
    book = ServedBook()
    record(book, asked("bid"), times=100, served=100)
    record(book, asked("look"), times=19, served=0)
    assert promises(book) == []
    record(book, asked("look"), times=1, served=0)
    assert promises(book) == ["every kind is served"]


def test_an_organisation_that_is_starved_while_others_are_served_is_seen() -> None:
    book = ServedBook()
    for number in range(10):
        record(book, asked(organisation=f"org-{number}"), times=50, served=50 if number else 5)
    assert [detail.partition(":")[0] for _, detail in book.starved()] == ["org-0"]
    assert promises(book) == ["every organisation is served"]


def test_a_rank_that_is_starved_while_others_are_served_is_seen() -> None:
    """It is held against all streams, as before: calls alone would not hide or show it."""
    judge = Judge(organisation="org-1")
    record(judge.served, Asked(kind="a", organisation="o", rank="stream-0"), times=100, served=100)
    record(judge.served, Asked(kind="a", organisation="o", rank="stream-2"), times=100, served=10)
    record(judge.served, Asked(kind="a", organisation="o", rank="stream-3"), times=10, served=0)
    judge.judge_served()
    assert [v.promise for v in judge.violations] == ["every rank is served"]
    assert judge.violations[0].detail.startswith("stream-2: 10% of 100")


@pytest.mark.parametrize(("starved", "broken"), [(6, 0), (7, 1)])
def test_subjects_that_are_never_served_are_seen(starved: int, broken: int) -> None:
    """Of a hundred subjects 2 and 4 in 100 may be; chance would leave none here."""
    book = ServedBook()
    for number in range(100):
        served = 0 if number < starved else 8
        record(book, asked(subject=f"subject-{number}"), times=8, served=served)
    assert promises(book) == ["every subject is served"] * broken


def test_subjects_that_chance_leaves_are_not_held_against_the_gateways() -> None:
    """Half of all are served: of a hundred subjects with four requests chance leaves six."""
    book = ServedBook()
    for number in range(100):
        served = 0 if number < 18 else 2
        record(book, asked(subject=f"subject-{number}"), times=4, served=served)
    record(book, asked(), times=72, served=72)
    assert promises(book) == []
    for number in range(18, 32):
        record(book, asked(subject=f"other-{number}"), times=4, served=0)
    assert promises(book) == ["every subject is served"]


def test_subjects_are_told_apart_by_the_kind_of_request() -> None:
    """Guards against a subject of one kind that another kind's answers hide."""
    book = ServedBook()
    for number in range(20):
        record(book, asked("stream-1", subject=f"subject-{number}"), times=8, served=8)
        served = 4 if number >= 4 else 0
        record(book, asked("stream-2", subject=f"subject-{number}"), times=4, served=served)
    assert promises(book) == ["every subject is served"]


def test_a_subject_that_was_asked_for_within_a_moment_is_not_judged() -> None:
    book = ServedBook()
    for number in range(20):
        for _ in range(9):
            book.record(asked(subject=f"subject-{number}"), 1.0, whole=number > 10)
    assert promises(book) == []


def test_refusals_tell_who_was_refused_for_what() -> None:
    book = ServedBook()
    busy = reason_of(503, "no-target", "engines read for 87% of their time already")
    same = reason_of(503, "no-target", "engines read for 91% of their time already")
    assert busy == same == "503 no-target: engines read for # of their time already"
    long = asked("stream-1", "org-3", "subject-7")
    book.refuse(Refusal(asked=long, vm="vm-2", reason=busy))
    book.refuse(Refusal(asked=long, vm="vm-4", reason=same))
    book.refuse(Refusal(asked=asked("bid"), vm="vm-4", reason="closed"))
    assert book.summary() == [
        "never served: none",
        f"refused 2 times: {busy}",
        "  by VM: vm-2 1, vm-4 1",
        "  by kind: stream-1 2",
        "  by organisation: org-3 2",
        "  by rank: stream-1 2",
        "  by subject: subject-7 2",
        "refused 1 times: closed",
        "  by VM: vm-4 1",
        "  by kind: bid 1",
        "  by organisation: org-1 1",
    ]


@pytest.mark.parametrize("shape", [MANY_ORGANISATIONS, LONG_STREAMS, Shape()])
def test_each_organisation_has_callers_and_a_key_of_its_own(shape: Shape) -> None:
    names = [shape.organisation_of(number) for number in range(60)]
    configured = TWO_KINDS.configuration(1, ("key-a",), shape).organisations
    assert set(names) == {each.name for each in configured.values()}
    assert len(configured) == shape.organisations
    assert len(set(TWO_KINDS.stream_routes)) == len(TWO_KINDS.stream_ranks)
