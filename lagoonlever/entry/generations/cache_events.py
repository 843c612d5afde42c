"""Feeds engines' cache events to routing; late and gappy ones only cost a prefill."""

from __future__ import annotations

import attrs

from lagoonlever.decisions.routing.routing import Router
from lagoonlever.decisions.targets.targets import Target
from lagoonlever.targets.probes import CacheEvent


@attrs.define(kw_only=True)
class CacheEventSink:
    """Takes the events that the prober reads."""

    _router: Router

    def take(self, target: Target, events: tuple[CacheEvent, ...]) -> None:
        """Note what an engine has cached or dropped."""
        for event in events:
            if event.kind == "stored":
                self._router.cache_stored(target.name, event.blocks)
            elif event.kind == "removed":
                self._router.cache_removed(target.name, event.blocks)
            else:
                self._router.cache_cleared(target.name)
