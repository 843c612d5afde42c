"""Wires up what serves callers' requests: calls, streams, and the handler before them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonlever.decisions.admission.runners import Runners
from lagoonlever.decisions.settings.configuration import RouteKind
from lagoonlever.decisions.shares.budgets import RetryBudget
from lagoonlever.gateway.attempt_planner import AttemptPlanner
from lagoonlever.gateway.attempt_tools import AttemptTools
from lagoonlever.gateway.call_exchange import CallExchange
from lagoonlever.gateway.front import Front
from lagoonlever.gateway.once_calls import OnceCalls
from lagoonlever.gateway.repeatable_calls import EXTRA_RATIO, RepeatableCalls
from lagoonlever.gateway.stream_admission import StreamAdmission
from lagoonlever.gateway.streams import Streams

if TYPE_CHECKING:
    from lagoonlever.gateway.parts import GatewayParts

MOST_OUTSTANDING = 64
"""Calls that one VM has open at one runner."""
OVERLOADED_ANSWER_S = 1.0
"""Runners refuse by themselves what they have no room for; only beyond this they are spared."""


def make_front(parts: GatewayParts) -> Front:
    """Return the handler of callers' requests, with the parts that serve each kind of route."""
    runners = _runners(parts)
    exchange = _call_exchange(parts)
    once = OnceCalls(data_center=parts.settings.data_center, exchange=exchange, runners=runners)
    repeatable = RepeatableCalls(
        data_center=parts.settings.data_center,
        exchange=exchange,
        runners=runners,
        budgets=parts.budgets,
    )
    streams = _streams(parts, _attempt_tools(parts, runners))
    return Front(
        beliefs=parts.beliefs,
        timers=parts.timers,
        reporter=parts.reporter,
        rng=parts.rng,
        crashes=parts.crashes,
        last=parts.last_requests,
        rollouts=parts.rollouts,
        serve={
            RouteKind.IDEMPOTENT: repeatable.serve,
            RouteKind.NON_IDEMPOTENT: once.serve,
            RouteKind.STREAM: streams.serve,
        },
    )


def _runners(parts: GatewayParts) -> Runners:
    return Runners(
        rng=parts.rng,
        max_outstanding=MOST_OUTSTANDING,
        target_s=OVERLOADED_ANSWER_S,
        new_budget=lambda: RetryBudget.of_ratio(EXTRA_RATIO),
    )


def _call_exchange(parts: GatewayParts) -> CallExchange:
    return CallExchange(
        beliefs=parts.beliefs,
        peers=parts.peers,
        timers=parts.timers,
        client=parts.client,
        reporter=parts.reporter,
        crashes=parts.crashes,
        rollouts=parts.rollouts,
        words=parts.words,
        places=parts.call_places,
        dialer=parts.dialer,
        last=parts.last_requests,
    )


def _attempt_tools(parts: GatewayParts, runners: Runners) -> AttemptTools:
    tools = AttemptTools(
        beliefs=parts.beliefs,
        learner=parts.learner,
        timers=parts.timers,
        client=parts.client,
        prober=parts.prober,
        reporter=parts.reporter,
        budgets=parts.budgets,
        replacements=parts.replacements,
        versions=parts.version_record,
        crashes=parts.crashes,
        rollouts=parts.rollouts,
        words=parts.words,
        copier=parts.copier,
        ender=parts.run_ender,
        dialer=parts.dialer,
    )
    parts.dialer.on_change(tools.path_changed)
    parts.peers.on_engine_lost(tools.engine_lost)
    parts.learner.on_started_again(tools.engine_started_again)
    parts.learner.on_started_again(runners.record_restart)
    return tools


def _streams(parts: GatewayParts, tools: AttemptTools) -> Streams:
    return Streams(
        beliefs=parts.beliefs,
        peers=parts.peers,
        tools=tools,
        admission=StreamAdmission(
            beliefs=parts.beliefs,
            timers=parts.timers,
            rng=parts.rng,
            last=parts.last_requests,
        ),
        placer=parts.placer,
        origins=parts.origin_finder,
        versions=parts.version_record,
        planner=AttemptPlanner(
            vm=parts.settings.name,
            beliefs=parts.beliefs,
            timers=parts.timers,
            placer=parts.placer,
            asker=parts.room_asker,
            words=parts.words,
            crashes=parts.crashes,
        ),
    )
