"""Gathers what the logs of all VMs say of one request, with the beliefs behind each step.

A caller that comes back brings another id for the same prompt; the lines that name the
prompt's own part, or the request's fingerprint, tie the two together where a VM has logged it.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any

import attrs
import msgspec

CONFIGURATION = "configuration-in-force"
TARGET_NEWS = frozenset({"target-listed", "target-replaced", "targets-read"})
TARGET_WORDS = frozenset({"target-limit", "target-says-leaving", "target-rests", "target-brittle"})
"""What targets say of themselves; the last word of each kind counts."""
PATH_NEWS = frozenset({"target-unreached", "target-reached", "path-cut"})
"""What a VM has found of its own path to a target; the last counts, for that VM alone."""
CUT_OFF = "cut-off-from-targets"
NOT_CUT_OFF = "reaches-targets-again"
FELLOW_NEWS = frozenset({"fellow-silent", "fellow-heard", "fellow-listed"})
LIFE_NEWS = frozenset({"gateway-started", "gateway-stopping", "gateway-stopped"})
STORE_NEWS = frozenset({"platform-unreachable", "platform-reached"})


@attrs.frozen(kw_only=True)
class LogLine:
    """One line of a VM's log; ``time`` orders lines of all VMs as far as their clocks agree."""

    time: str
    process: str
    name: str
    message: str
    fields: dict[str, Any]

    @property
    def request(self) -> str | None:
        """The request that the line is about."""
        request = self.fields.get("request")
        return request if isinstance(request, str) else None

    @property
    def part(self) -> str | None:
        """The own part of the prompt of the line's request."""
        part = self.fields.get("part")
        return part if isinstance(part, str) else None

    @property
    def fingerprint(self) -> str | None:
        """What the line's request has in common with its caller's returns."""
        fingerprint = self.fields.get("fingerprint")
        return fingerprint if isinstance(fingerprint, str) else None

    @property
    def resumes(self) -> str | None:
        """The request that began the stream which the line's request goes on with."""
        resumes = self.fields.get("resumes")
        return resumes if isinstance(resumes, str) else None

    @property
    def barred_parts(self) -> frozenset[str]:
        """The parts of prompts that the line says are barred."""
        return _names(self.fields.get("barred_part"))

    @property
    def unproven_parts(self) -> frozenset[str]:
        """The parts that a target's end counts against."""
        return _names(self.fields.get("unproven"))


def _names(text: Any) -> frozenset[str]:
    names = text.split(",") if isinstance(text, str) else ()
    return frozenset(name.strip() for name in names if name.strip())


@attrs.frozen(kw_only=True)
class Step:
    """One line of the request, with what its VM believed then."""

    line: LogLine
    configuration: int | None
    """The version in force on that VM."""
    store_reached: bool
    cut_off_since: str | None
    """Since when that VM has reached no target by its own paths; None while it reached some."""
    target_news: tuple[str, ...]
    """The last news of the target that the line names: of the list, and of its own words."""


def read_lines(texts: Iterable[str], *, process: str) -> Iterator[LogLine]:
    """Read a log; what stands before the JSON of a line, and lines without any, are skipped."""
    for text in texts:
        begin = text.find("{")
        if begin < 0:
            continue
        try:
            raw = msgspec.json.decode(text[begin:])
        except msgspec.DecodeError:
            continue
        if not isinstance(raw, dict) or "event" not in raw:
            continue
        yield LogLine(
            time=str(raw.get("time", "")),
            process=str(raw.get("process") or process),
            name=str(raw.get("name", "")),
            message=str(raw.get("message", "")),
            fields=raw.get("fields") or {},
        )


def explain(lines: Iterable[LogLine], request: str) -> list[Step]:
    """Give the steps of a request over all VMs, in the order of their times.

    Requests for the same prompt, or with the same fingerprint, belong to it: its caller
    came back under another id. If it was refused for a part of its prompt, the ends of targets
    that count against the part belong to it, too.
    """
    lines = sorted(lines, key=lambda line: line.time)
    own = [line for line in lines if line.request == request]
    parts = {line.part for line in own} - {None}
    prints = {line.fingerprint for line in own} - {None}
    same = (line for line in lines if line.part in parts or line.fingerprint in prints)
    began = {request} | ({line.resumes for line in own} - {None})
    resumed = {line.request for line in lines if line.resumes in began}
    wanted = ({line.request for line in same} | resumed | began) - {None}
    prints |= {line.fingerprint for line in lines if line.request in wanted} - {None}
    barred = frozenset[str]().union(*(line.barred_parts for line in own))
    configuration: dict[str, int] = {}
    unreachable: set[str] = set()
    targets: dict[str, dict[str, str]] = {}
    paths: dict[tuple[str, str], str] = {}
    cut_off: dict[str, str] = {}
    steps: list[Step] = []
    for line in lines:
        if line.name == CONFIGURATION:
            configuration[line.process] = int(line.fields.get("version") or 0)
        elif line.name == "platform-unreachable":
            unreachable.add(line.process)
        elif line.name == "platform-reached":
            unreachable.discard(line.process)
        elif line.name == CUT_OFF:
            cut_off[line.process] = line.time
        elif line.name == NOT_CUT_OFF:
            cut_off.pop(line.process, None)
        elif line.name in PATH_NEWS:
            known_path = (line.process, str(line.fields.get("target")))
            paths[known_path] = f"{line.time} {line.message}"
        elif line.name in TARGET_NEWS:
            _note(targets, line, kind="listed")
        elif line.name in TARGET_WORDS:
            _note(targets, line, kind=line.name)
        is_about_all = line.request is None and line.fingerprint in prints
        is_about_all |= not barred.isdisjoint(line.barred_parts | line.unproven_parts)
        if line.request not in wanted and not is_about_all:
            continue
        target = str(line.fields.get("target"))
        own_path = paths.get((line.process, target))
        steps.append(
            Step(
                line=line,
                configuration=configuration.get(line.process),
                store_reached=line.process not in unreachable,
                cut_off_since=cut_off.get(line.process),
                target_news=(*targets.get(target, {}).values(), *([own_path] if own_path else [])),
            )
        )
    return steps


def _note(targets: dict[str, dict[str, str]], line: LogLine, *, kind: str) -> None:
    known = targets.setdefault(str(line.fields.get("target")), {})
    known[kind] = f"{line.time} {line.message}"


def surroundings(lines: Iterable[LogLine], steps: list[Step]) -> list[LogLine]:
    """Give what the VMs of a request noticed of themselves and others while it lasted."""
    if not steps:
        return []
    first, last = steps[0].line.time, steps[-1].line.time
    processes = {step.line.process for step in steps}
    news = FELLOW_NEWS | LIFE_NEWS | STORE_NEWS | PATH_NEWS | {CONFIGURATION, CUT_OFF, NOT_CUT_OFF}
    found = [
        line
        for line in lines
        if first <= line.time <= last and line.process in processes and line.name in news
    ]
    return sorted(found, key=lambda line: line.time)


def format_steps(steps: list[Step], around: list[LogLine]) -> list[str]:
    """Give the text for people: each step, what was believed, and what went on meanwhile."""
    rows: list[tuple[str, str]] = []
    for step in steps:
        line = step.line
        beliefs = f"configuration {step.configuration}"
        if not step.store_reached:
            beliefs += ", store not reached"
        if step.cut_off_since is not None:
            beliefs += f", no target reached by its own paths since {step.cut_off_since}"
        text = f"{line.time} {line.process} {line.name}: {line.message}\n    believed: {beliefs}"
        for news in step.target_news:
            text += f"\n    of the target: {news}"
        rows.append((line.time, text))
    rows += [(line.time, f"{line.time} {line.process} | {line.message}") for line in around]
    return [text for _, text in sorted(rows)]
