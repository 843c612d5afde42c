"""Reads and changes the settings on the platform, each change exactly once or not at all."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import trio

from lagoonlever.codec import UnknownMessage
from lagoonlever.exceptions import PlatformAnswerLost, PlatformError, PlatformUnavailable
from lagoonlever.revisions import Revision
from lagoonlever.store.port import ChangeRefused, KeyRead, KeyValue, Platform, Swapped
from lagoonlever.tree.change_plan import (
    ChangeOutcome,
    ChangeRequest,
    HeadWrite,
    NotStored,
    Stored,
    Undetermined,
    plan_change,
)
from lagoonlever.tree.head import HEAD_KEY, Head, decode_head, empty_head

CHANGE_ATTEMPTS = 8
"""Races with other operators that one change goes through before it gives up."""
READ_BACK_LIMIT_S = 10.0
"""How long a writer whose answer was lost tries to find out what became of its change."""
READ_BACK_INTERVAL_S = 0.25


class SettingsUnreadable(PlatformError):
    """The platform holds settings that this release can't read."""


@attrs.frozen(kw_only=True)
class ReadHead:
    """The head, and the platform's revision as of the read, from which to watch on."""

    head: Head
    revision: Revision


@attrs.frozen(kw_only=True)
class SettingsStore:
    """The head's key on the platform; ``wall_clock_ms`` only dates the records."""

    _platform: Platform
    _wall_clock_ms: Callable[[], int]
    _read_back_limit_s: float = READ_BACK_LIMIT_S

    async def read(self) -> ReadHead:
        """Read the head; raises ``PlatformUnavailable`` or ``SettingsUnreadable``."""
        read = await self._platform.get(HEAD_KEY)
        return ReadHead(head=head_of(read), revision=read.revision)

    async def change(self, request: ChangeRequest) -> ChangeOutcome:
        """Make a change, merged with others' changes of other options.

        After a lost answer the head is read back: the change's id on record
        means that it took effect. A swap that is still on its way can't harm:
        it names the revision it was made of, and either is the next change or
        meets another revision and does nothing.
        """
        sent = False
        for _ in range(CHANGE_ATTEMPTS):
            try:
                head = await self._read_to_change(patient=sent)
            except (PlatformUnavailable, SettingsUnreadable) as error:
                return _failed(request, str(error), sent=sent)
            plan = await self._plan(head, request)
            if not isinstance(plan, HeadWrite):
                return plan
            try:
                stored = await self._swap(plan)
            except PlatformAnswerLost:
                sent = True
                continue
            except (PlatformUnavailable, ChangeRefused) as error:
                return _failed(request, str(error), sent=sent)
            if stored is not None:
                return stored
        return _failed(request, "others change the settings too often now", sent=sent)

    async def _read_to_change(self, *, patient: bool) -> Head:
        if not patient:
            return (await self.read()).head
        deadline = trio.current_time() + self._read_back_limit_s
        while True:
            try:
                return (await self.read()).head
            except PlatformUnavailable:
                if trio.current_time() > deadline:
                    raise
                await trio.sleep(READ_BACK_INTERVAL_S)

    async def _plan(self, head: Head, request: ChangeRequest) -> HeadWrite | ChangeOutcome:
        # Checking and editing a large text takes tens of milliseconds, during
        # which the callers' streams on this VM must go on.
        return await trio.to_thread.run_sync(
            lambda: plan_change(head, request, at_ms=self._wall_clock_ms())
        )

    async def _swap(self, write: HeadWrite) -> Stored | None:
        result = await self._platform.compare_and_swap(
            HEAD_KEY, expected_revision=write.expected_version, value=write.value
        )
        if not isinstance(result, Swapped):
            return None
        return Stored(version=result.revision.number, merged=write.merged, edits=write.edits)


def head_of(read: KeyRead) -> Head:
    """Give the head as read, or the empty one; raises ``SettingsUnreadable``."""
    return empty_head() if read.entry is None else head_of_entry(read.entry)


def head_of_entry(entry: KeyValue) -> Head:
    """Give the head in a key's value; raises ``SettingsUnreadable``."""
    try:
        return decode_head(entry.value, version=entry.revision.number)
    except UnknownMessage as error:
        message = f"version {entry.revision.number}: {error}"
        raise SettingsUnreadable(message, step="read settings", peer="platform") from error


def _failed(request: ChangeRequest, message: str, *, sent: bool) -> ChangeOutcome:
    if sent:
        return Undetermined(change_id=request.change_id, message=message)
    return NotStored(message=message)
