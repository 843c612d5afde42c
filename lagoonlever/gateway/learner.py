"""Takes what the store or a peer tells into the beliefs, newest first, and logs each change."""

from __future__ import annotations

from collections.abc import Iterable

import attrs
import logbook

from lagoonlever.decisions.configuration import newer
from lagoonlever.decisions.target_registry import ListedTarget
from lagoonlever.gateway import events
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.platform.configuration import UnreadableConfiguration, read_configuration
from lagoonlever.timers import TimerService

log = logbook.Logger(__name__)


@attrs.define(kw_only=True, eq=False)
class Learner:
    """The one place that changes the configuration and the list of targets."""

    _beliefs: Beliefs
    _timers: TimerService

    def take_configuration(self, value: bytes, *, source: str) -> None:
        """Put a stored configuration in force unless a newer one is."""
        try:
            offered = read_configuration(value)
        except UnreadableConfiguration as error:
            events.CONFIGURATION_UNREADABLE.log(log, error=str(error))
            return
        known = self._beliefs.configuration.value
        if newer(known, offered) is known:
            return
        former = known.version if known else None
        events.CONFIGURATION.log(log, version=offered.version, source=source, former=former)
        self._beliefs.configuration_value = value
        self._beliefs.configuration.publish(offered)
        self._note_known()

    def take_list(
        self,
        targets: Iterable[ListedTarget],
        *,
        revision: int,
        source: str,
        store_back_at: float | None = None,
    ) -> None:
        """Take the whole list of targets unless what is known is newer."""
        registry = self._beliefs.targets
        if revision <= registry.as_of:
            return
        registry.read(targets, revision=revision, now=self._timers.now, store_back_at=store_back_at)
        known = len(registry.targets)
        events.TARGETS_READ.log(log, targets=known, revision=revision, source=source)
        self._note_known()

    def take_target(
        self,
        target_id: str,
        target: ListedTarget | None,
        *,
        revision: int,
        store_back_at: float | None,
    ) -> None:
        """Take one change of the list of targets; None for a removal."""
        registry = self._beliefs.targets
        known = target or registry.find(target_id)
        registry.change(
            target_id,
            target,
            revision=revision,
            now=self._timers.now,
            store_back_at=store_back_at,
        )
        if known is None:
            return
        state = "removed" if target is None else "draining" if target.draining else "ready"
        events.TARGET_LISTED.log(
            log,
            target=target_id,
            service=known.service,
            address=str(known.address),
            state=state,
            revision=revision,
        )

    def take_replaced(self, target_id: str, *, source: str) -> None:
        """Note that another process answers at a target's address."""
        registry = self._beliefs.targets
        if not registry.takes_work(target_id):
            return
        events.TARGET_REPLACED.log(log, target=target_id, source=source)
        registry.replaced(target_id, self._timers.now)

    def _note_known(self) -> None:
        if self._beliefs.version and self._beliefs.targets.as_of:
            self._beliefs.known.set()
