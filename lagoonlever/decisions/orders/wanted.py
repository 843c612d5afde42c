"""Changes of the states that operators want of engines, and when two of them clash.

A change names, for each engine, the whole state that its author saw and the whole
state wanted. It is made only where the seen state still stands, so that of two
operators who race for one engine the second is told; others' engines are kept.
"""

from __future__ import annotations

import re
from collections.abc import Collection, Iterator, Sequence
from dataclasses import dataclass

import attrs

from lagoonlever.decisions.orders.orders import WantedState
from lagoonlever.decisions.targets.targets import ModelKey
from lagoonlever.exceptions import Fault

MODEL_PART = re.compile(r"[^@:\s]{1,200}\Z")
"""A model's name, version or adapter; the other characters part them."""
ROLE = re.compile(r"[a-z][a-z0-9-]{0,62}\Z")


@attrs.frozen(kw_only=True)
class WantedEngines:
    """The state wanted of each engine by name; an engine not named is left alone."""

    engines: dict[str, WantedState] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class WantedEdit:
    """One engine's change; None is an engine that is left alone."""

    engine: str
    expected: WantedState | None
    wanted: WantedState | None


@attrs.frozen(kw_only=True)
class EngineConflict:
    """An engine for which somebody else wanted something meanwhile."""

    engine: str
    expected: WantedState | None
    found: WantedState | None
    wanted: WantedState | None


@dataclass(frozen=True, kw_only=True)
class WantedStored:
    """All that was asked for stands at ``revision``; ``made`` is False if it stood already."""

    tag = "stored"
    revision: int
    made: bool = True


@dataclass(frozen=True, kw_only=True)
class WantedConflict:
    """Nothing was stored: look at what stands now, and decide again."""

    tag = "conflict"
    revision: int
    engines: tuple[EngineConflict, ...]


@dataclass(frozen=True, kw_only=True)
class WantedNotStored:
    """The platform did not take the change; it may be asked for again."""

    tag = "not-stored"
    message: str


@dataclass(frozen=True, kw_only=True)
class WantedUndetermined:
    """An answer was lost, and what became of the change can't be found out."""

    tag = "undetermined"
    message: str


WantedOutcome = WantedStored | WantedConflict | WantedNotStored | WantedUndetermined


def find_conflicts(
    document: WantedEngines, edits: Sequence[WantedEdit]
) -> tuple[EngineConflict, ...]:
    """Give the engines that have neither the state that was seen nor the one wanted."""
    return tuple(
        EngineConflict(engine=edit.engine, expected=edit.expected, found=found, wanted=edit.wanted)
        for edit in edits
        if not _same(found := document.engines.get(edit.engine), edit.expected)
        and not _same(found, edit.wanted)
    )


def is_applied(document: WantedEngines, edits: Sequence[WantedEdit]) -> bool:
    """Tell whether everything that the edits want stands already."""
    return all(_same(document.engines.get(edit.engine), edit.wanted) for edit in edits)


def apply_edits(document: WantedEngines, edits: Sequence[WantedEdit]) -> WantedEngines:
    """Give the document with the edits made."""
    engines = dict(document.engines)
    for edit in edits:
        engines.pop(edit.engine, None)
        if edit.wanted is not None:
            engines[edit.engine] = edit.wanted
    return WantedEngines(engines=engines)


def find_faults(edits: Sequence[WantedEdit], *, known: Collection[str]) -> tuple[Fault, ...]:
    """Give every fault of the edits; ``known`` are the engines there are."""
    faults = [fault for edit in edits for fault in _faults_of_edit(edit, known)]
    names = [edit.engine for edit in edits]
    for name in sorted({name for name in names if names.count(name) > 1}):
        faults.append(Fault(path=name, message="is named twice"))
    if not edits:
        faults.append(Fault(path="edits", message="name no engine"))
    return tuple(faults)


def _faults_of_edit(edit: WantedEdit, known: Collection[str]) -> Iterator[Fault]:
    if edit.wanted is None:
        return
    if edit.engine not in known:
        yield Fault(path=edit.engine, message="is no engine that this VM knows")
    if ROLE.match(edit.wanted.role) is None:
        message = f"{edit.wanted.role!r} is no role; give a word such as 'both'"
        yield Fault(path=f"{edit.engine}.role", message=message)
    for model in edit.wanted.models:
        for message in _faults_of_model(model, edit.wanted.models):
            yield Fault(path=f"{edit.engine}.models", message=message)


def _faults_of_model(model: ModelKey, models: Sequence[ModelKey]) -> Iterator[str]:
    for part in (model.name, model.version, model.adapter):
        if part is not None and MODEL_PART.match(part) is None:
            yield f"{part!r} must be 1 to 200 characters without '@', ':' and spaces"
    base = attrs.evolve(model, adapter=None)
    if base not in models:
        yield f"the adapter {model.adapter} needs its model {base.name}@{base.version} as well"


def _same(one: WantedState | None, other: WantedState | None) -> bool:
    if one is None or other is None:
        return one is other
    return one.same_as(other)
