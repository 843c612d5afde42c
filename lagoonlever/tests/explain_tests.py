"""A request is followed through the logs of several VMs."""

from __future__ import annotations

from pathlib import Path

import msgspec
from typer.testing import CliRunner

from lagoonlever.__main__ import app
from lagoonlever.report.explain import explain, read_lines


def line(second: int, process: str, name: str, **fields: object) -> str:
    return msgspec.json.encode(
        {
            "time": f"2026-01-01T00:00:{second:02d}.000000+00:00",
            "process": process,
            "event": 1,
            "name": name,
            "message": f"{name} {fields}",
            "fields": fields,
        }
    ).decode()


LOG_A = [
    line(1, "vm-a", "configuration-in-force", version=7),
    line(2, "vm-a", "target-listed", target="e1", state="ready"),
    line(3, "vm-a", "attempt-sent", request="r1", target="e1"),
    "no JSON at all",
    line(4, "vm-a", "platform-unreachable", step="watch"),
    line(5, "vm-a", "attempt-ended", request="r1", target="e1"),
]
LOG_B = [
    line(4, "vm-b", "attempt-sent", request="r2", target="e1"),
    line(6, "vm-b", "target-listed", target="e1", state="removed"),
]


def test_each_step_says_what_its_vm_believed() -> None:
    lines = [*read_lines(LOG_A, process="a"), *read_lines(LOG_B, process="b")]
    steps = explain(lines, "r1")
    assert [step.line.name for step in steps] == ["attempt-sent", "attempt-ended"]
    assert [step.configuration for step in steps] == [7, 7]
    assert [step.store_reached for step in steps] == [True, False]
    assert len(steps[0].target_news) == 1
    assert "ready" in steps[0].target_news[0]


def test_a_step_shows_whether_its_vm_reached_the_target_and_any_other_one() -> None:
    said = [
        line(1, "vm-a", "target-unreached", target="e1", error="refused"),
        line(2, "vm-a", "path-cut", target="e1", vm="vm-b"),
        line(2, "vm-b", "target-reached", target="e1", seconds=1.0),
        line(3, "vm-a", "cut-off-from-targets", paths=2),
        line(4, "vm-a", "attempt-sent", request="r1", target="e1"),
        line(5, "vm-a", "reaches-targets-again"),
        line(6, "vm-a", "attempt-ended", request="r1", target="e1"),
    ]
    first, last = explain(read_lines(said, process="a"), "r1")
    assert len(first.target_news) == 1
    assert "path-cut" in first.target_news[0]
    assert first.cut_off_since is not None
    assert last.cut_off_since is None


def test_a_step_shows_the_last_word_of_each_kind_of_its_target() -> None:
    said = [
        line(1, "vm-a", "target-listed", target="e1", state="ready"),
        line(2, "vm-b", "target-limit", target="e1", limit="9/s"),
        line(3, "vm-b", "target-limit", target="e1", limit="5/s"),
        line(3, "vm-b", "target-rests", target="e2", seconds=3.0),
        line(4, "vm-a", "attempt-sent", request="r1", target="e1"),
    ]
    step = explain(read_lines(said, process="a"), "r1")[0]
    assert len(step.target_news) == 2
    assert "5/s" in step.target_news[1]


def test_a_caller_that_came_back_under_another_id_is_followed() -> None:
    first = line(1, "vm-a", "attempt-sent", request="r1", target="e1", part="p1")
    second = line(2, "vm-b", "attempt-sent", request="r2", target="e2", part="p1")
    other = line(3, "vm-b", "attempt-sent", request="r3", target="e2", part="p2")
    lines = list(read_lines([first, second, other], process="a"))
    assert [step.line.request for step in explain(lines, "r1")] == ["r1", "r2"]


def test_a_caller_that_names_what_it_goes_on_with_is_followed() -> None:
    """Another request of the same session may have the prompt's own part, or none has one."""
    first = line(1, "vm-a", "first-event", request="r1", target="e1")
    second = line(2, "vm-b", "stream-taken-up", request="r2", resumes="r1")
    third = line(3, "vm-c", "stream-taken-up", request="r3", resumes="r1")
    other = line(4, "vm-c", "stream-taken-up", request="r4", resumes="r9")
    lines = list(read_lines([first, second, third, other], process="a"))
    for request in ("r1", "r2", "r3"):
        assert [step.line.request for step in explain(lines, request)] == ["r1", "r2", "r3"]


def test_requests_with_the_same_fingerprint_are_one_caller_s_work() -> None:
    first = line(1, "vm-a", "attempt-ended", request="r1", target="e1", fingerprint="f1")
    second = line(2, "vm-b", "attempt-ended", request="r2", target="e2", fingerprint="f1")
    other = line(3, "vm-b", "attempt-ended", request="r3", target="e2", fingerprint="f2")
    lines = list(read_lines([first, second, other], process="a"))
    assert [step.line.request for step in explain(lines, "r1")] == ["r1", "r2"]


def test_a_request_refused_for_a_part_leads_to_the_ends_that_count_against_it() -> None:
    one = line(1, "vm-a", "target-ended-under", request="r1", target="e1", unproven="x1,bad")
    two = line(2, "vm-b", "target-ended-under", request="r2", target="e2", unproven="bad")
    beside = line(3, "vm-b", "target-ended-under", request="r3", target="e3", unproven="other")
    barred = line(4, "vm-a", "part-barred", barred_part="bad", ended=2)
    refused = line(5, "vm-c", "part-refused", request="r9", barred_part="bad")
    lines = list(read_lines([one, two, beside, barred, refused], process="a"))
    names = [(step.line.name, step.line.request) for step in explain(lines, "r9")]
    assert names == [
        ("target-ended-under", "r1"),
        ("target-ended-under", "r2"),
        ("part-barred", None),
        ("part-refused", "r9"),
    ]


def test_what_is_decided_of_a_fingerprint_is_told_of_its_requests() -> None:
    """A request is barred by its fingerprint: that line names no request."""
    ended = line(1, "vm-a", "target-ended-under", request="r1", target="e1", fingerprint="f1")
    barred = line(2, "vm-b", "request-barred", ended=3, fingerprint="f1")
    other = line(3, "vm-b", "request-barred", ended=3, fingerprint="f2")
    lines = list(read_lines([ended, barred, other], process="a"))
    assert [step.line.name for step in explain(lines, "r1")] == [
        "target-ended-under",
        "request-barred",
    ]
    assert explain(lines, "nobody") == []


def test_the_command_reads_files_and_tells_what_went_on_meanwhile(tmp_path: Path) -> None:
    (tmp_path / "a.log").write_text("\n".join(LOG_A))
    (tmp_path / "b.log").write_text("\n".join(LOG_B))
    files = [str(tmp_path / "a.log"), str(tmp_path / "b.log")]
    told = CliRunner().invoke(app, ["explain", "r1", *files])
    assert told.exit_code == 0
    assert "configuration 7, store not reached" in told.output
    assert "| platform-unreachable" in told.output
    assert "r2" not in told.output


def test_an_unknown_request_is_told(tmp_path: Path) -> None:
    (tmp_path / "a.log").write_text("\n".join(LOG_A))
    told = CliRunner().invoke(app, ["explain", "nobody", str(tmp_path / "a.log")])
    assert told.exit_code == 1
