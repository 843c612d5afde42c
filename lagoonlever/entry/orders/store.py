"""Reads and changes the wanted states of engines on the platform."""

from __future__ import annotations

from collections.abc import Sequence

import attrs
import msgspec
import trio

from lagoonlever.decisions.orders.wanted import (
    WantedConflict,
    WantedEdit,
    WantedEngines,
    WantedNotStored,
    WantedOutcome,
    WantedStored,
    WantedUndetermined,
    apply_edits,
    find_conflicts,
    is_applied,
)
from lagoonlever.exceptions import PlatformAnswerLost, PlatformError, PlatformUnavailable
from lagoonlever.store.port import ABSENT, ChangeRefused, Platform, Swapped

WANTED_KEY = "lagoonlever/orders/wanted"
CHANGE_ATTEMPTS = 8
"""Races with other operators that one change goes through before it gives up."""
READ_BACK_LIMIT_S = 10.0
"""How long a writer whose answer was lost tries to find out what became of its change."""
READ_BACK_INTERVAL_S = 0.25


class WantedUnreadable(PlatformError):
    """The platform holds wanted states that this release can't read."""


@attrs.frozen(kw_only=True)
class ReadWanted:
    """The wanted states, and the revision of their key, 0 where there is none."""

    document: WantedEngines
    revision: int


@attrs.frozen(kw_only=True)
class WantedStore:
    """The key of the wanted states on the platform."""

    _platform: Platform
    _read_back_limit_s: float = READ_BACK_LIMIT_S

    async def read(self) -> ReadWanted:
        """Read the wanted states; raises ``PlatformUnavailable`` or ``WantedUnreadable``."""
        entry = (await self._platform.get(WANTED_KEY)).entry
        if entry is None:
            return ReadWanted(document=WantedEngines(), revision=ABSENT)
        try:
            document = msgspec.json.decode(entry.value, type=WantedEngines)
        except msgspec.MsgspecError as error:
            raise WantedUnreadable(str(error), step="read wanted", peer="platform") from error
        return ReadWanted(document=document, revision=entry.revision.number)

    async def change(self, edits: Sequence[WantedEdit]) -> WantedOutcome:
        """Make a change, beside others' changes of other engines.

        Guards against an answer that is lost after the change took effect: the
        states are read back, and stand as wanted or as they were seen. A write
        still on its way can't harm: it names the revision it was made of, and
        either is the next change or meets another revision and does nothing.
        """
        sent = False
        for _ in range(CHANGE_ATTEMPTS):
            try:
                read = await self._read_to_change(patient=sent)
            except PlatformError as error:
                return _failed(str(error), sent=sent)
            planned = _settled(read, edits, sent=sent)
            if planned is not None:
                return planned
            try:
                stored = await self._swap(read, edits)
            except PlatformAnswerLost:
                sent = True
                continue
            except (PlatformUnavailable, ChangeRefused) as error:
                return _failed(str(error), sent=sent)
            if stored is not None:
                return stored
        return _failed("others change the wanted states too often now", sent=sent)

    async def _read_to_change(self, *, patient: bool) -> ReadWanted:
        deadline = trio.current_time() + (self._read_back_limit_s if patient else 0.0)
        while True:
            try:
                return await self.read()
            except PlatformUnavailable:
                if trio.current_time() >= deadline:
                    raise
                await trio.sleep(READ_BACK_INTERVAL_S)

    async def _swap(self, read: ReadWanted, edits: Sequence[WantedEdit]) -> WantedStored | None:
        result = await self._platform.compare_and_swap(
            WANTED_KEY,
            expected_revision=read.revision,
            value=msgspec.json.encode(apply_edits(read.document, edits)),
        )
        return (
            WantedStored(revision=result.revision.number) if isinstance(result, Swapped) else None
        )


def _settled(read: ReadWanted, edits: Sequence[WantedEdit], *, sent: bool) -> WantedOutcome | None:
    """Give the outcome where nothing is left to write, or None."""
    if is_applied(read.document, edits):
        return WantedStored(revision=read.revision, made=sent)
    conflicts = find_conflicts(read.document, edits)
    if not conflicts:
        return None
    if sent:
        names = ", ".join(conflict.engine for conflict in conflicts)
        return WantedUndetermined(message=f"someone else has changed it since: {names}")
    return WantedConflict(revision=read.revision, engines=conflicts)


def _failed(message: str, *, sent: bool) -> WantedOutcome:
    return WantedUndetermined(message=message) if sent else WantedNotStored(message=message)
