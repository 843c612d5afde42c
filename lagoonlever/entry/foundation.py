"""What the parts of one VM stand on: its identity, sockets, clock, records and the platform."""

from __future__ import annotations

import random
from pathlib import Path

import attrs
import trio

from lagoonlever.config.vm import VmSettings
from lagoonlever.decisions.membership.membership import Member
from lagoonlever.entry.callers.request_metrics import RequestMetrics
from lagoonlever.history.recorder import Recorder
from lagoonlever.http.messages import Address
from lagoonlever.http.server_limits import ServerState
from lagoonlever.instruments import Metrics
from lagoonlever.peers.bus import PeerBus
from lagoonlever.report.objective_recorder import ObjectiveRecorder
from lagoonlever.store.port import Platform
from lagoonlever.store.registry import open_platform
from lagoonlever.timers import TimerService


@attrs.define(kw_only=True, eq=False)
class Foundation:
    """Given to the builders of the parts; ``background`` outlives single requests."""

    settings: VmSettings
    own: Member
    bus: PeerBus
    rng: random.Random
    timers: TimerService
    metrics: Metrics
    http: ServerState
    background: trio.Nursery
    recorder: Recorder | None = attrs.field(init=False)
    platform: Platform = attrs.field(init=False)
    objectives: ObjectiveRecorder = attrs.field(init=False)
    request_metrics: RequestMetrics = attrs.field(init=False)
    started_at: float = attrs.field(init=False)

    @recorder.default
    def _make_recorder(self) -> Recorder | None:
        file = self.settings.history_file
        if file is None:
            return None
        return Recorder(process=str(self.own.incarnation), path=Path(file))

    @platform.default
    def _make_platform(self) -> Platform:
        options = self.settings.platform
        return open_platform(
            options.adapter,
            addresses=[Address.parse(text) for text in options.addresses],
            metrics=self.metrics,
        )

    @objectives.default
    def _make_objectives(self) -> ObjectiveRecorder:
        return ObjectiveRecorder(
            metrics=self.metrics, settings=self.settings.objectives, recorder=self.recorder
        )

    @request_metrics.default
    def _make_request_metrics(self) -> RequestMetrics:
        return RequestMetrics(
            metrics=self.metrics, objectives=self.objectives, clock=lambda: self.timers.now
        )

    @started_at.default
    def _now(self) -> float:
        return self.timers.now
