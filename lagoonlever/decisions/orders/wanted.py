"""Edits of the wanted engine states, their validation, and the detection of conflicts.

Two operators may edit the wanted state of one engine at the same time. An edit
therefore names the whole state that its author saw and the whole state wanted, and
is applied only if the seen state is still current, like a compare-and-swap: the
second operator gets a conflict. Engines that an edit does not name are unchanged.
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
"""A model's name, version or adapter; ``@``, ``:`` and spaces are excluded as separators."""
ROLE = re.compile(r"[a-z][a-z0-9-]{0,62}\Z")


@attrs.frozen(kw_only=True)
class WantedEngines:
    """The wanted state of each engine by name; an engine that is missing gets no orders."""

    engines: dict[str, WantedState] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class WantedEdit:
    """An edit of one engine's wanted state; None stands for an engine that gets no orders."""

    engine: str
    expected: WantedState | None
    wanted: WantedState | None


@attrs.frozen(kw_only=True)
class EngineConflict:
    """An engine whose wanted state was changed by somebody else in the meantime."""

    engine: str
    expected: WantedState | None
    found: WantedState | None
    wanted: WantedState | None


@dataclass(frozen=True, kw_only=True)
class WantedStored:
    """All edits are stored as of ``revision``; ``made`` is False if they were stored already."""

    tag = "stored"
    revision: int
    made: bool = True


@dataclass(frozen=True, kw_only=True)
class WantedConflict:
    """Nothing was stored, because of conflicts; the operator must review the current state."""

    tag = "conflict"
    revision: int
    engines: tuple[EngineConflict, ...]


@dataclass(frozen=True, kw_only=True)
class WantedNotStored:
    """The platform did not store the change; the request may be retried."""

    tag = "not-stored"
    message: str


@dataclass(frozen=True, kw_only=True)
class WantedUndetermined:
    """A response was lost, and whether the change was stored can't be determined."""

    tag = "undetermined"
    message: str


WantedOutcome = WantedStored | WantedConflict | WantedNotStored | WantedUndetermined


def find_conflicts(
    document: WantedEngines, edits: Sequence[WantedEdit]
) -> tuple[EngineConflict, ...]:
    """Return the engines whose state is neither the expected nor the wanted one."""
    return tuple(
        EngineConflict(engine=edit.engine, expected=edit.expected, found=found, wanted=edit.wanted)
        for edit in edits
        if not _equal_states(found := document.engines.get(edit.engine), edit.expected)
        and not _equal_states(found, edit.wanted)
    )


def is_applied(document: WantedEngines, edits: Sequence[WantedEdit]) -> bool:
    """Return whether the document already has the wanted state of every edit."""
    return all(_equal_states(document.engines.get(edit.engine), edit.wanted) for edit in edits)


def apply_edits(document: WantedEngines, edits: Sequence[WantedEdit]) -> WantedEngines:
    """Return a copy of the document with the edits applied."""
    engines = dict(document.engines)
    for edit in edits:
        engines.pop(edit.engine, None)
        if edit.wanted is not None:
            engines[edit.engine] = edit.wanted
    return WantedEngines(engines=engines)


def find_faults(edits: Sequence[WantedEdit], *, known: Collection[str]) -> tuple[Fault, ...]:
    """Return all faults of the edits; ``known`` names the engines that this VM knows."""
    faults = [fault for edit in edits for fault in _edit_faults(edit, known)]
    names = [edit.engine for edit in edits]
    for name in sorted({name for name in names if names.count(name) > 1}):
        faults.append(Fault(path=name, message="is named twice"))
    if not edits:
        faults.append(Fault(path="edits", message="name no engine"))
    return tuple(faults)


def _edit_faults(edit: WantedEdit, known: Collection[str]) -> Iterator[Fault]:
    if edit.wanted is None:
        return
    if edit.engine not in known:
        yield Fault(path=edit.engine, message="is no engine that this VM knows")
    if ROLE.match(edit.wanted.role) is None:
        message = f"{edit.wanted.role!r} is no role; give a word such as 'both'"
        yield Fault(path=f"{edit.engine}.role", message=message)
    for model in edit.wanted.models:
        for message in _model_faults(model, edit.wanted.models):
            yield Fault(path=f"{edit.engine}.models", message=message)


def _model_faults(model: ModelKey, models: Sequence[ModelKey]) -> Iterator[str]:
    for part in (model.name, model.version, model.adapter):
        if part is not None and MODEL_PART.match(part) is None:
            yield f"{part!r} must be 1 to 200 characters without '@', ':' and spaces"
    base = attrs.evolve(model, adapter=None)
    if base not in models:
        yield f"the adapter {model.adapter} needs its model {base.name}@{base.version} as well"


def _equal_states(one: WantedState | None, other: WantedState | None) -> bool:
    if one is None or other is None:
        return one is other
    return one.same_as(other)
