"""Bids at real gateways and runners: what was answered as not run has not run, nor runs later.

``LAGOONLEVER_REFUSED_BIDS_CODE`` names the root of another state of the code for the gateways, and
``LAGOONLEVER_REFUSED_BIDS_SEED`` another seed.
"""

from __future__ import annotations

import os
from pathlib import Path

import msgspec
import pytest

from lagoonlever.tests.refused_bids_judge import SentRequest, Verdict, judge
from lagoonlever.tests.refused_bids_plays import PLAYS, run_play
from lagoonlever.tests.refused_bids_runner import BookEvent, BookLine
from lagoonlever.tests.refused_bids_site import OWN_CODE

CODE = Path(os.environ.get("LAGOONLEVER_REFUSED_BIDS_CODE", OWN_CODE))
SEED = int(os.environ.get("LAGOONLEVER_REFUSED_BIDS_SEED", "1"))
SECONDS = 7.0
VMS = 4
FEWEST_TROUBLES = 40
"""Copies, junk or failures; fewer would show nothing."""


def play(name: str, folder: Path) -> Verdict:
    verdict = run_play(
        PLAYS[name],
        folder,
        seed=SEED,
        seconds=SECONDS,
        vms=VMS,
        code=CODE,
        fewest=FEWEST_TROUBLES + 1,
    )
    assert verdict.statuses["200"] > verdict.bids / 10, verdict.statuses
    return verdict


def assert_none(verdict: Verdict) -> None:
    shown = "\n".join(map(str, verdict.cases[:5]))
    assert not verdict.cases, f"{len(verdict.cases)} cases: {dict(verdict.forms)}\n{shown}"


def test_a_late_copy_of_a_refusal_is_not_taken_for_that_of_a_bid_that_runs(tmp_path: Path) -> None:
    """A VM believed the refusal of an earlier request on a kept connection, named or not."""
    verdict = play("copies-named-or-not", tmp_path)
    assert verdict.copies > FEWEST_TROUBLES
    assert_none(verdict)


def test_the_status_of_a_runner_that_has_run_a_bid_promises_nothing(tmp_path: Path) -> None:
    """A VM passed on the 503 of a runner that had run a bid and did not say otherwise."""
    verdict = play("busy", tmp_path)
    assert verdict.failures > FEWEST_TROUBLES
    assert_none(verdict)


def test_bytes_that_are_no_answer_do_not_call_a_bid_unrun_that_runs(tmp_path: Path) -> None:
    """A VM read a refusal that broke off and the bid's own answer behind it as one head."""
    verdict = play("junk-late", tmp_path)
    assert verdict.junk > FEWEST_TROUBLES
    assert_none(verdict)


def test_no_bid_runs_that_was_refused_while_all_goes_wrong(tmp_path: Path) -> None:
    """Parts stop, end and come back, paths and answers are lost, and runners send copies."""
    verdict = play("all", tmp_path)
    assert verdict.copies + verdict.failures > FEWEST_TROUBLES
    assert_none(verdict)


def write_book(folder: Path, *lines: BookLine) -> None:
    book = b"".join(msgspec.json.encode(line) + b"\n" for line in lines)
    folder.joinpath("runner-0.book").write_bytes(book)


def line(event: BookEvent, at: float, status: int = 0) -> BookLine:
    return BookLine(
        at=at, runner="runner-0", event=event, request="r-1", status=status, served_before=1
    )


def sent(status: int | None, *, is_bid: bool = True) -> SentRequest:
    return SentRequest(
        id="r-1", vm="vm-0", is_bid=is_bid, sent_at=1.0, status=status, answered_at=2.0
    )


@pytest.mark.parametrize("status", [408, 421, 429, 503])
@pytest.mark.parametrize("ran_at", [1.5, 9.0])
def test_the_judge_finds_a_run_before_the_answer_or_after(
    status: int, ran_at: float, tmp_path: Path
) -> None:
    write_book(tmp_path, line(BookEvent.RAN, ran_at), line(BookEvent.ANSWERED, ran_at + 0.1, 200))
    verdict = judge([sent(status)], tmp_path)
    assert [case.request.id for case in verdict.cases] == ["r-1"]
    assert verdict.forms == {"no line of the VM; the runner answered 200": 1}


def test_the_judge_lets_pass_what_did_not_run_or_promised_nothing(tmp_path: Path) -> None:
    write_book(tmp_path, line(BookEvent.REFUSED, 1.5, 503))
    assert not judge([sent(503)], tmp_path).cases
    write_book(tmp_path, line(BookEvent.RAN, 1.5))
    for request in (sent(200), sent(502), sent(None), sent(503, is_bid=False)):
        assert not judge([request], tmp_path).cases
