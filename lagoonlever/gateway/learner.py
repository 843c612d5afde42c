"""Takes what the store or a peer tells into the beliefs, newest first, and logs each change."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import attrs
import logbook

from lagoonlever.decisions.settings.configuration import newer
from lagoonlever.decisions.targets.listed_target import ListedTarget, TargetChange
from lagoonlever.gateway import events
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.platform.configuration import UnreadableConfiguration, read_configuration
from lagoonlever.revisions import NOWHERE, Revision
from lagoonlever.timers import TimerService

log = logbook.Logger(__name__)


@attrs.define(kw_only=True, eq=False)
class Learner:
    """The one place that changes the configuration and the list of targets."""

    _beliefs: Beliefs
    _timers: TimerService
    _on_started_again: list[Callable[[str], None]] = attrs.field(factory=list)

    def on_started_again(self, notify: Callable[[str], None]) -> None:
        """Have ``notify`` called with each target that has started again under its id."""
        self._on_started_again.append(notify)

    def take_configuration(self, value: bytes, *, source: str) -> bool:
        """Put a stored configuration in force unless a newer one is; return whether it did."""
        try:
            offered = read_configuration(value)
        except UnreadableConfiguration as error:
            events.CONFIGURATION_UNREADABLE.log(log, error=str(error))
            return False
        known = self._beliefs.configuration.value
        if newer(known, offered) is known:
            return False
        former = known.version if known else None
        events.CONFIGURATION.log(log, version=offered.version, source=source, former=former)
        self._beliefs.configuration_value = value
        self._beliefs.configuration.publish(offered)
        self._note_known()
        return True

    def take_list(
        self,
        targets: Iterable[ListedTarget],
        *,
        revision: Revision,
        source: str,
        store_back_at: float | None = None,
    ) -> tuple[TargetChange, ...]:
        """Apply the whole list of targets unless what is known is newer; return what changed."""
        registry = self._beliefs.targets
        if revision < registry.as_of:
            return ()
        listed = tuple(targets)
        former = {target.id: registry.process_start(target.id) for target in listed}
        changes = registry.apply_list(
            listed, revision=revision, now=self._timers.now, store_back_at=store_back_at
        )
        for target in listed:
            self._note_start(target.id, former[target.id], source=source)
        if changes:
            events.TARGETS_READ.log(
                log,
                targets=len(registry.targets),
                changed=len(changes),
                revision=revision,
                source=source,
            )
        self._note_known()
        return changes

    def take_change(self, change: TargetChange, *, store_back_at: float | None = None) -> bool:
        """Apply one change of the list of targets; return whether it counts now."""
        registry = self._beliefs.targets
        known = change.target or registry.find(change.id)
        former = registry.process_start(change.id)
        if change.target is not None:
            self._note_machine(change.target)
        counts = registry.apply_change(change, now=self._timers.now, store_back_at=store_back_at)
        if counts and known is not None:
            self._log_change(change, known)
            self._note_start(change.id, former, source="list")
        return counts

    def take_start(self, target_id: str, started_ms: int) -> None:
        """Record the start of its process that a target tells in an answer."""
        former = self._beliefs.targets.process_start(target_id)
        if self._beliefs.targets.record_restart(target_id, started_ms):
            self._note_start(target_id, former, source="its own answer")

    def take_leaving(self, target_id: str, started_ms: int | None, *, source: str) -> bool:
        """Record that a target says that it leaves; return whether it is news."""
        registry = self._beliefs.targets
        if not registry.record_leave_announcement(
            target_id, started_ms=started_ms, now=self._timers.now
        ):
            return False
        events.TARGET_SAYS_LEAVING.log(log, target=target_id, source=source)
        return True

    def take_found(self, former: str, found: str, *, source: str) -> bool:
        """Use a process that has a lost target's place; return whether it counts."""
        counts = self._beliefs.targets.adopt_unlisted(former, found, self._timers.now)
        if counts:
            events.REPLACEMENT_FOUND.log(log, target=found, former=former, source=source)
        return counts

    def expire(self, *, store_away: bool) -> tuple[TargetChange, ...]:
        """Let removals count that were held; return them."""
        registry = self._beliefs.targets
        known = {target.id: target for target in registry.targets}
        changes = registry.expire(self._timers.now, store_away=store_away)
        for change in changes:
            self._log_change(change, known[change.id])
        return changes

    def take_replaced(
        self, target_id: str, *, by: str | None, started_ms: int | None, source: str
    ) -> None:
        """Record that the process ``by`` answers at the address of a target's process.

        ``started_ms`` is the start of the process that was replaced, None if it is not known.
        """
        registry = self._beliefs.targets
        took_work = registry.takes_work(target_id)
        registry.mark_replaced(target_id, self._timers.now, by=by, started_ms=started_ms)
        if took_work and not registry.takes_work(target_id):
            events.TARGET_REPLACED.log(log, target=target_id, by=by, source=source)

    def _note_machine(self, target: ListedTarget) -> None:
        """Take the pace of the engine that had a target's address before it."""
        for former in self._beliefs.targets.targets:
            if former.address == target.address and former.id != target.id:
                self._beliefs.book.timings.copy_to_successor(target.service, former.id, target.id)

    def _note_start(self, target_id: str, former: int | None, *, source: str) -> None:
        """Let go of what was learnt of a target's process, if another one has its id now."""
        target = self._beliefs.targets.find(target_id)
        if target is None or not target.has_restarted_since(former):
            return
        started_ms = target.started_ms
        assert started_ms is not None
        events.TARGET_STARTED_AGAIN.log(
            log, target=target_id, started_ms=started_ms, former_ms=former, source=source
        )
        self._beliefs.book.record_restart(target_id, started_ms, self._timers.now)
        for notify in self._on_started_again:
            notify(target_id)

    def _log_change(self, change: TargetChange, known: ListedTarget) -> None:
        target = change.target
        state = "removed" if target is None else "draining" if target.draining else "ready"
        events.TARGET_LISTED.log(
            log,
            target=change.id,
            service=known.service,
            address=str(known.address),
            version=known.version,
            state=state,
            revision=change.revision,
        )

    def _note_known(self) -> None:
        if self._beliefs.version and self._beliefs.targets.as_of > NOWHERE:
            self._beliefs.known.set()
