"""Tells operators and scrapers what this VM sees: ``/admin/status`` and ``/metrics``."""

from __future__ import annotations

import statistics
from collections import Counter
from collections.abc import Callable, Iterable, Mapping

import attrs
import trio

from lagoonlever.decisions.membership.membership import Member, MemberView
from lagoonlever.decisions.targets.targets import Target, TargetView
from lagoonlever.entry.admin.operators import Operators
from lagoonlever.entry.callers.request_metrics import organisation_of
from lagoonlever.entry.generations.admission import AdmissionState, PoolState
from lagoonlever.http.exchange import Exchange
from lagoonlever.http.messages import Headers
from lagoonlever.http.refusals import JSON_TYPE
from lagoonlever.instruments import EXPOSITION_TYPE, Metrics
from lagoonlever.metrics import (
    CONTROL_BYTES,
    MEMBERS,
    OPEN_STREAMS,
    PAUSES,
    QUEUE_DEPTH,
    QUEUE_WAIT,
    SETTINGS_VERSION,
    SHARE_ENTITLED,
    SHARE_USED,
    TARGETS,
)
from lagoonlever.peers.traffic import Count, Traffic
from lagoonlever.published import Published
from lagoonlever.report.objective_recorder import ObjectiveRecorder
from lagoonlever.report.status import (
    MemberStatus,
    PoolStatus,
    QueueStatus,
    ShareStatus,
    StatusReport,
    TargetStatus,
    VmStatus,
    encode_status,
)
from lagoonlever.timers import Tick, TimerService
from lagoonlever.tree.nodes import ROOT, TreeView

HTTP_OK = 200
SAMPLE_PERIOD_S = 1.0
SHARE_SAMPLE_PERIOD_S = 10.0
QUANTILE_PARTS = 20
"""Twentieths: the last cut point is that of 95 in 100."""

OpenStreams = Callable[[], Iterable[str]]
"""Gives the node of the settings tree of each generation that runs on this VM."""


@attrs.define(kw_only=True, eq=False)
class Reporting:
    """The reporting part of the daemon; ``run`` keeps the gauges, the handlers answer."""

    _vm: Callable[[], VmStatus]
    _members: Published[MemberView]
    _targets: Published[TargetView]
    _tree: Published[TreeView]
    _admission: Published[AdmissionState]
    _traffic: Traffic
    _open_streams: OpenStreams
    _timers: TimerService
    _metrics: Metrics
    _objectives: ObjectiveRecorder
    _operators: Operators = attrs.field(factory=Operators)
    _shares_sampled_at: float = 0.0

    def status(self) -> StatusReport:
        """Give this VM's whole view."""
        return StatusReport(
            vm=self._vm(),
            members=tuple(_member_status(member) for member in self._members.value.members),
            targets=tuple(
                _target_status(target, now=self._timers.now)
                for target in self._targets.value.targets
            ),
            pools=tuple(_pool_status(pool) for pool in self._admission.value.pools),
            shares=tuple(self._share(path) for path in self._organisations()),
            queues=tuple(self._queue(path) for path in self._organisations()),
        )

    async def handle_status(self, exchange: Exchange) -> None:
        """Answer ``GET /admin/status``; raises ``RequestRefused`` for whoever is no operator."""
        self._operators.check(exchange.request)
        headers = Headers((("Content-Type", JSON_TYPE),))
        body = encode_status(self.status())
        await exchange.respond(status=HTTP_OK, headers=headers, body=body)

    async def handle_metrics(self, exchange: Exchange) -> None:
        """Answer ``GET /metrics``."""
        headers = Headers((("Content-Type", EXPOSITION_TYPE),))
        body = self._metrics.exposition()
        await exchange.respond(status=HTTP_OK, headers=headers, body=body)

    async def run(self) -> None:
        """Keep the gauges until cancelled."""
        with self._timers.subscribed(self.on_tick, period_s=SAMPLE_PERIOD_S):
            await trio.sleep_forever()

    def on_tick(self, tick: Tick) -> None:
        """Sample what the other parts have published."""
        if tick.paused_s:
            self._metrics.add(PAUSES, 1)
        members = Counter(member.state.value for member in self._members.value.members)
        targets = Counter(target.state.value for target in self._targets.value.targets)
        streams = Counter(organisation_of(path) for path in self._open_streams())
        self._metrics.replace(MEMBERS, _labelled(members))
        self._metrics.replace(TARGETS, _labelled(targets))
        self._metrics.replace(OPEN_STREAMS, _labelled(streams))
        self._metrics.set(SETTINGS_VERSION, self._tree.value.version)
        self._count_control("sent", self._traffic.sent)
        self._count_control("received", self._traffic.received)
        if tick.now >= self._shares_sampled_at + SHARE_SAMPLE_PERIOD_S:
            self._shares_sampled_at = tick.now
            self._sample_shares()

    def _count_control(self, direction: str, counts: Mapping[str, Count]) -> None:
        for tag, count in counts.items():
            self._metrics.set(CONTROL_BYTES, count.bytes, direction, tag)

    def _sample_shares(self) -> None:
        """Judge the share of each organisation that waits: one without demand lacks nothing."""
        for path in self._organisations():
            if not self._metrics.value(QUEUE_DEPTH, path):
                continue
            self._objectives.share_sampled(
                path,
                used=self._metrics.value(SHARE_USED, path),
                entitled=self._metrics.value(SHARE_ENTITLED, path),
            )

    def _organisations(self) -> tuple[str, ...]:
        """Give the organisations, and the root where requests are its own."""
        organisations = self._tree.value.organisations
        return (
            organisations if self._metrics.value(SHARE_USED, ROOT) == 0 else (ROOT, *organisations)
        )

    def _share(self, path: str) -> ShareStatus:
        return ShareStatus(
            path=path,
            weight=self._tree.value.resolve(path).weight,
            entitled=self._metrics.value(SHARE_ENTITLED, path),
            used=self._metrics.value(SHARE_USED, path),
        )

    def _queue(self, path: str) -> QueueStatus:
        waits = self._metrics.recent(QUEUE_WAIT, path)
        cuts = statistics.quantiles(waits, n=QUANTILE_PARTS) if len(waits) > 1 else None
        return QueueStatus(
            path=path,
            waiting=int(self._metrics.value(QUEUE_DEPTH, path)),
            bound=self._tree.value.resolve(path).queue_bound,
            wait_p50_s=statistics.median(waits) if waits else None,
            wait_p95_s=cuts[-1] if cuts else None,
        )


def _member_status(member: Member) -> MemberStatus:
    return MemberStatus(
        name=member.name,
        incarnation=str(member.incarnation),
        data_center=member.data_center,
        address=str(member.http),
        state=member.state.value,
        load=member.load,
    )


def _target_status(target: Target, *, now: float) -> TargetStatus:
    load = target.load
    return TargetStatus(
        name=target.name,
        kind=target.kind.value,
        address=str(target.address),
        state=target.state.value,
        data_center=target.data_center,
        models=tuple(f"{model.model_field}@{model.version}" for model in target.models),
        running=load.running if load else None,
        waiting=load.waiting if load else None,
        slots=load.slots if load else None,
        load_age_s=load.age_s(now) if load else None,
    )


def _pool_status(pool: PoolState) -> PoolStatus:
    return PoolStatus(
        pool=pool.pool,
        slots=pool.slots,
        quota=pool.quota,
        running=pool.running_here,
        waiting=pool.waiting_here,
        vms_heard=pool.peers_heard,
    )


def _labelled(counts: Counter[str]) -> dict[tuple[str, ...], float]:
    return {(label,): float(count) for label, count in counts.items()}
