"""Runs requests under their keys: each at most once, its answer kept and repeated."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import logbook
import trio

from lagoonlever.decisions.claims.key_table import (
    ExpiryTooFar,
    FingerprintMismatch,
    InProgress,
    KeyExpired,
    KeyRecord,
    KeyState,
    KeyTable,
    RepeatAnswer,
    Run,
    StoredAnswer,
    TableFull,
    WrongHome,
)
from lagoonlever.decisions.claims.keys import KEY_HEADER, HomedKey, request_fingerprint
from lagoonlever.decisions.targets.targets import Target
from lagoonlever.entry.services.answers import (
    RETRY_NEW_KEY,
    RETRY_SAME_KEY,
    ComeBack,
    not_run,
    unknown,
)
from lagoonlever.entry.services.call import ServiceCall
from lagoonlever.entry.services.dispatch import Dispatcher
from lagoonlever.entry.services.events import CALL_FAILED
from lagoonlever.entry.services.settings import ServiceSettings
from lagoonlever.history.events_services import DispatchWritten
from lagoonlever.history.recorder import Recorder
from lagoonlever.outcomes import Reason
from lagoonlever.timers import TimerService


def used_for_another() -> StoredAnswer:
    """Give the answer for a key that another request has used: this one never runs."""
    return not_run(
        Reason.BAD_REQUEST,
        f"{KEY_HEADER}: was used for another request; {RETRY_NEW_KEY}",
        status=422,
    )


log = logbook.Logger("services")


@attrs.define(kw_only=True)
class KeyedCalls:
    """Owns the keys of this incarnation and the tasks that run their requests.

    A request runs in a task of its own, so that its answer is kept for a repeat
    also when the caller that sent it has gone.
    """

    _table: KeyTable
    _dispatcher: Dispatcher
    _timers: TimerService
    _settings: ServiceSettings
    _come_back: ComeBack
    _on_settled: Callable[[KeyRecord], None]
    _recorder: Recorder | None = None
    _nursery: trio.Nursery | None = None
    _settled: dict[HomedKey, trio.Event] = attrs.field(factory=dict)

    @property
    def open_keys(self) -> int:
        """The number of requests that are being run; a planned stop waits for none."""
        return len(self._settled)

    async def run(self) -> None:
        """Run requests until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            try:
                await trio.sleep_forever()
            finally:
                self._nursery = None

    async def call(self, call: ServiceCall, key: HomedKey) -> StoredAnswer:
        """Run a request under a key of this home, or tell what has become of it."""
        admission = self._table.admit(
            key, fingerprint=request_fingerprint(call.request), now=self._timers.now
        )
        match admission:
            case Run(record=record):
                return await self._start(call, record)
            case InProgress(record=record):
                return await self._wait(call, record)
            case RepeatAnswer(answer=answer):
                return answer
            case FingerprintMismatch():
                return used_for_another()
            case WrongHome():
                return unknown(
                    Reason.HOME_UNREACHABLE,
                    "the VM that held this key has ended; look up the request's effect",
                )
            case KeyExpired():
                return unknown(
                    Reason.KEY_EXPIRED,
                    "the key has expired: it will not run, and whether it ran is no longer kept",
                )
            case ExpiryTooFar():
                return unknown(
                    Reason.BAD_REQUEST,
                    f"{KEY_HEADER}: expires later than keys may live; {RETRY_NEW_KEY}",
                )
            case TableFull():
                return not_run(
                    Reason.OVERLOADED,
                    f"no memory for another key; {RETRY_NEW_KEY}",
                    retry_after_s=self._come_back.after_s(),
                )

    async def _start(self, call: ServiceCall, record: KeyRecord) -> StoredAnswer:
        if self._nursery is None:
            self._settle(record, not_run(Reason.STARTING, f"not serving yet; {RETRY_NEW_KEY}"))
        else:
            self._settled[record.key] = trio.Event()
            self._nursery.start_soon(self._run, call, record)
        return await self._wait(call, record)

    async def _run(self, call: ServiceCall, record: KeyRecord) -> None:
        """Run one request; its failure must not end the others' tasks."""

        def on_write(target: Target) -> bool:
            if record.state is not KeyState.ADMITTED:
                return False
            self._table.mark_written(record)
            self._note_written(call, record, target)
            return True

        life_left_s = record.key.expires_at_age_s - self._table.age_s(self._timers.now)
        answer: StoredAnswer | None = None
        try:
            answer = await self._dispatcher.dispatch(
                call, key_expires_at=self._timers.now + life_left_s, on_write=on_write
            )
        except Exception:
            CALL_FAILED.log(log, path=call.request.path, exc_info=True)
        finally:
            if record.answer is None:
                self._settle(record, answer or self._interrupted(record))

    def _interrupted(self, record: KeyRecord) -> StoredAnswer:
        if record.state is KeyState.ADMITTED:
            return not_run(Reason.CANCELLED, f"stopped before it was sent; {RETRY_NEW_KEY}")
        return unknown(Reason.CANCELLED, "stopped after it was sent; look up its effect")

    def _settle(self, record: KeyRecord, answer: StoredAnswer) -> None:
        self._table.settle(record, answer)
        self._on_settled(record)
        event = self._settled.pop(record.key, None)
        if event is not None:
            event.set()

    async def _wait(self, call: ServiceCall, record: KeyRecord) -> StoredAnswer:
        """Wait for the answer until the caller's deadline."""
        event = self._settled.get(record.key)
        if event is not None:
            with trio.move_on_after(self._patience_s(call)):
                await event.wait()
        if record.answer is None and record.state is KeyState.ADMITTED and self._late(call):
            self._settle(record, not_run(Reason.DEADLINE, "its deadline passed before it was sent"))
        if record.answer is not None:
            return record.answer
        return unknown(
            Reason.IN_PROGRESS,
            f"it is being run; {RETRY_SAME_KEY}",
            retry_after_s=self._come_back.after_s(),
        )

    def _late(self, call: ServiceCall) -> bool:
        return call.left_s(self._timers.now) <= 0

    def _patience_s(self, call: ServiceCall) -> float:
        return min(self._settings.call_timeout_s, call.left_s(self._timers.now))

    def _note_written(self, call: ServiceCall, record: KeyRecord, target: Target) -> None:
        if self._recorder is None:
            return
        self._recorder.record(
            DispatchWritten(
                at=self._recorder.now,
                process=self._recorder.process,
                key=call.key_text,
                homed_key=str(record.key),
                target=target.name,
            )
        )
