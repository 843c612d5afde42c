"""The fields of a target's answer that say how busy or brittle it is, and of a caller's request."""

from __future__ import annotations

import pytest

from lagoonlever.decisions.targets.reported_load import ReportedLoad
from lagoonlever.http.messages import Headers
from lagoonlever.platform.headers import BRITTLE, LOAD, read_answer, read_caller

OK = 200


def _read(text: str):
    return read_answer(OK, Headers(((LOAD, text),)))


@pytest.mark.parametrize(
    ("text", "load"),
    [
        ("3,0,8", ReportedLoad(running=3, waiting=0, slots=8)),
        ("3,0,8,100", ReportedLoad(running=3, waiting=0, slots=8, slowness=1.0)),
        ("3, 2, 8, 250", ReportedLoad(running=3, waiting=2, slots=8, slowness=2.5)),
        ("1.5,0.25,6,87.5", ReportedLoad(running=1.5, waiting=0.25, slots=6, slowness=0.875)),
        ("3,0,8,100,7,new", ReportedLoad(running=3, waiting=0, slots=8, slowness=1.0)),
    ],
)
def test_a_load_of_three_figures_or_more_is_read(text: str, load: ReportedLoad):
    head = _read(text)
    assert head.load == load
    assert head.unreadable == ()


@pytest.mark.parametrize(
    "text", ["", "3", "3,0", "3,0,x", "3,0,8,fast", "-1,0,8", "3,0,8,nan", "3,0,8,inf", "3,0,8,0"]
)
def test_an_odd_load_is_told_and_harms_nothing_else(text: str):
    head = _read(text)
    assert head.load is None
    assert len(head.unreadable) == 1
    assert head.tells_limit
    assert not head.refused


def test_an_answer_without_a_load_says_nothing_odd():
    head = read_answer(OK, Headers(()))
    assert head.load is None
    assert head.unreadable == ()


@pytest.mark.parametrize(("text", "borne"), [("0", 0), ("7", 7), ("1000000", 1_000_000)])
def test_a_target_says_how_many_refusals_it_bears(text: str, borne: int):
    head = read_answer(OK, Headers(((BRITTLE, text),)))
    assert (head.brittle, head.tells_brittle, head.unreadable) == (borne, True, ())


@pytest.mark.parametrize(
    "text", ["", " ", "-1", "2.5", "1e3", "9" * 40, "9" * 5_000, "seven", "\xb2", "+3"]
)
def test_an_odd_word_on_refusals_is_told_and_harms_nothing_else(text: str):
    head = read_answer(OK, Headers(((BRITTLE, text), (LOAD, "3,0,8"))))
    assert (head.brittle, head.tells_brittle) == (None, False)
    assert len(head.unreadable) == 1
    assert head.load == ReportedLoad(running=3, waiting=0, slots=8)


def test_a_caller_that_goes_on_names_the_attempt_that_brought_its_first_event() -> None:
    fields = (("Host", "h"), ("Request-Id", "r-2"), ("Last-Event-Id", "7"), ("Resumes", "r-1"))
    caller = read_caller(Headers(fields))
    assert (caller.last_event_id, caller.resumes) == (7, "r-1")
    assert read_caller(Headers(fields[:3])).resumes is None


@pytest.mark.parametrize(
    ("text", "idle_s"),
    [
        ("timeout=5", 5.0),
        ("max=9, Timeout=0", 0.0),
        ("timeout=\xb2", None),
        ("timeout=\xb2, timeout=3", 3.0),
        ("timeout=" + "9" * 5_000, None),
        ("timeout=-1", None),
        ("timeout=", None),
        ("timeout", None),
        ("\xb2=\xb2", None),
    ],
)
def test_an_odd_keep_alive_says_nothing(text: str, idle_s: float | None):
    """A superscript two counts as a digit but makes no number; the answer it came with was lost."""
    assert read_answer(OK, Headers((("Keep-Alive", text),))).idle_s == idle_s
