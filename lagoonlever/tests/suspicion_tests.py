"""Tests of engine failure detection and of the hedge budget.

They cover silent engines, single silent streams, slow engines, pauses of the
detecting process itself, and what hedges may cost.
"""

from __future__ import annotations

import random

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonlever.decisions.suspicion.budget import REFUND_AFTER_FACTOR, HedgeBudget
from lagoonlever.decisions.suspicion.detectors import DETECTORS, SuspicionReason
from lagoonlever.decisions.suspicion.settings import DetectionSettings
from lagoonlever.decisions.suspicion.suspicion import EngineSuspicion, StreamVerdict, SuspicionLevel

GAP_S = 0.025


@attrs.define
class SimulatedEngine:
    """Engine that yields one token for each given stream in a step, on a simulated clock."""

    suspicion: EngineSuspicion
    now: float = 100.0
    verdicts: list[StreamVerdict] = attrs.field(factory=list)

    def open(self, *streams: str) -> None:
        for stream in streams:
            self.suspicion.add_stream(stream, now=self.now, prompt_tokens=100)

    def step(self, *streams: str, gap_s: float = GAP_S) -> None:
        self.stay_silent(gap_s)
        for stream in streams:
            self.suspicion.record_token(stream, now=self.now)

    def run(self, *streams: str, steps: int, gap_s: float = GAP_S) -> None:
        for _ in range(steps):
            self.step(*streams, gap_s=gap_s)

    def stay_silent(self, seconds: float) -> None:
        end = self.now + seconds
        while self.suspicion.next_check_at < end:
            self.now = max(self.now + 1e-3, self.suspicion.next_check_at)
            self.verdicts += self.suspicion.assess(self.now)
        self.now = end

    def levels(self) -> set[tuple[str, SuspicionLevel]]:
        return {(verdict.stream, verdict.level) for verdict in self.verdicts}


def simulated_engine(**options: object) -> SimulatedEngine:
    return SimulatedEngine(EngineSuspicion(settings=DetectionSettings(**options)))


@pytest.mark.parametrize("method", sorted(DETECTORS))
def test_a_frozen_engine_becomes_suspect_then_dead(method: str) -> None:
    """Guards against answers that hang because their engine froze.

    The engine's sockets stay open and all its streams fall silent at once. Every
    detector must report each of them as suspect and then as dead within two seconds.
    """
    engine = simulated_engine(method=method, fixed_timeout_s=1.9)
    engine.open("a", "b", "c")
    engine.run("a", "b", "c", steps=200)
    assert engine.verdicts == []
    engine.stay_silent(2.0)
    for stream in "abc":
        levels = [v.level for v in engine.verdicts if v.stream == stream]
        assert levels == [SuspicionLevel.SUSPECT, SuspicionLevel.DEAD]


def test_a_preempted_stream_gets_more_time_than_a_dead_engine() -> None:
    """Guards against moving a stream that its engine has only preempted.

    One stream is silent for three seconds while the engine serves the others;
    moving it would waste its KV cache. The gap detector moves it, the pooled one
    waits, and its long gap doesn't raise the timeout of the engine's other streams.
    """
    dead = {}
    for method in ("gap", "pooled"):
        engine = simulated_engine(method=method, dead_at_least_s=0.8)
        engine.open("a", "b", "c")
        engine.run("a", "b", "c", steps=200)
        engine.run("b", "c", steps=120)
        dead[method] = [v.stream for v in engine.verdicts if v.level is SuspicionLevel.DEAD]
        if method == "pooled":
            engine.run("a", "b", "c", steps=10)
            engine.verdicts.clear()
            engine.stay_silent(0.9)
            assert ("b", SuspicionLevel.DEAD) in engine.levels()
    assert dead == {"gap": ["a"], "pooled": []}


def test_a_pause_of_this_process_is_no_silence_of_the_engine() -> None:
    """Guards against moving all streams of a VM at once although no engine failed.

    The VM's process is stopped for five seconds. On SIGCONT its timers run before
    the tokens in its sockets are read, so without the correction all streams are dead.
    """
    for pause_is_reported in (True, False):
        engine = simulated_engine()
        engine.open("a", "b")
        engine.run("a", "b", steps=200)
        engine.now += 5.0
        if pause_is_reported:
            engine.suspicion.discount_pause(5.0, now=engine.now)
        else:
            engine.suspicion._next_check_at = engine.now
        levels = {v.level for v in engine.suspicion.assess(engine.now)}
        assert levels == (set() if pause_is_reported else {SuspicionLevel.DEAD})


def test_a_late_check_counts_as_a_pause_of_this_process() -> None:
    """Guards against dead verdicts after a pause that the timer service doesn't report.

    A garbage collection of 0.9 s is too short for the timer service to count as a pause.
    """
    engine = simulated_engine()
    engine.open("a", "b")
    engine.run("a", "b", steps=200)
    engine.now = engine.suspicion.next_check_at + 0.9
    assert engine.suspicion.assess(engine.now) == ()
    engine.stay_silent(2.0)
    assert ("a", SuspicionLevel.DEAD) in engine.levels()


def test_a_slow_engine_is_dead_unless_its_peers_are_as_slow() -> None:
    """Guards against streams that stay at an engine with a twentieth of its usual speed.

    It is never silent for long, so only the comparison with its own past speed
    shows it. When all engines are as slow, moving the streams would gain nothing.
    """
    for peers_spacing_s, expected in ((GAP_S, {SuspicionReason.SLOW}), (20 * GAP_S, set())):
        engine = simulated_engine()
        engine.open("a", "b")
        engine.run("a", "b", steps=600)
        engine.suspicion.peers_spacing_s = peers_spacing_s
        engine.run("a", "b", steps=8, gap_s=20 * GAP_S)
        dead = {v.reason for v in engine.verdicts if v.level is SuspicionLevel.DEAD}
        assert dead == expected


def test_a_recovered_engine_is_not_slow_by_outdated_statistics() -> None:
    """Guards against moving a new stream because its engine was slow earlier.

    When all streams had ended, the spacing of the slow phase was still the most
    recent one, so the next stream was reported as slow before its first token.
    """
    engine = simulated_engine()
    engine.open("a", "b")
    engine.run("a", "b", steps=600)
    engine.run("a", "b", steps=8, gap_s=20 * GAP_S)
    engine.suspicion.remove_stream("a")
    engine.suspicion.remove_stream("b")
    engine.verdicts.clear()
    engine.suspicion.add_stream("c", now=engine.now, prompt_tokens=2000)
    engine.stay_silent(1.6)
    engine.suspicion.add_stream("d", now=engine.now, prompt_tokens=2000)
    engine.stay_silent(2.8)
    assert SuspicionReason.SLOW not in {v.reason for v in engine.verdicts}


def test_a_long_prefill_is_not_dead_but_a_missing_first_token_is() -> None:
    """Guards against moving a long prompt during its prefill, and against waiting without limit.

    An engine sends nothing during the prefill, which looks like a dead engine.
    """
    engine = simulated_engine()
    engine.suspicion.add_stream("long", now=engine.now, prompt_tokens=4000)
    engine.stay_silent(2.4)
    assert ("long", SuspicionLevel.DEAD) not in engine.levels()
    engine.stay_silent(20.0)
    assert ("long", SuspicionLevel.DEAD) in engine.levels()


@settings(max_examples=60, deadline=None)
@given(
    seed=st.integers(0, 2**32),
    method=st.sampled_from(["gap", "pooled"]),
    streams=st.integers(1, 6),
    longest_s=st.floats(0.01, 0.31),
)
def test_gaps_below_the_minimum_are_never_dead_and_a_freeze_always_is(
    seed: int, method: str, streams: int, longest_s: float
) -> None:
    """Irregular gaps give no verdict; silence beyond ``dead_at_most_s`` is always dead."""
    rng = random.Random(seed)
    engine = simulated_engine(method=method)
    names = [str(i) for i in range(streams)]
    engine.open(*names)
    for _ in range(80):
        engine.step(*names, gap_s=rng.uniform(0.002, longest_s))
    assert engine.verdicts == []
    engine.stay_silent(DetectionSettings().dead_at_most_s + 0.01)
    assert {(name, SuspicionLevel.DEAD) for name in names} <= engine.levels()


@settings(max_examples=60, deadline=None)
@given(
    hedges=st.lists(
        st.tuples(st.sampled_from("abc"), st.integers(1, 5000), st.booleans()), max_size=200
    )
)
def test_false_hedges_cost_at_most_the_budget_share_and_one_burst(
    hedges: list[tuple[str, int, bool]],
) -> None:
    """Engines are hedged repeatedly; some stay silent and are dead, others send tokens again."""
    detection = DetectionSettings(hedge_burst_tokens=3000.0)
    budget = HedgeBudget(settings=detection)
    now = 0.0
    served = wasted = 0
    for engine_name, tokens, is_dead in hedges:
        now += 1.0
        spent = budget.try_spend(engine=engine_name, tokens=tokens, now=now)
        if is_dead:
            now += 2 * REFUND_AFTER_FACTOR * detection.dead_at_most_s
            budget.refund_dead_engines(now)
            continue
        budget.record_served(engine=engine_name, tokens=tokens)
        served += tokens
        wasted += tokens if spent else 0
    assert wasted <= detection.hedge_budget * served + detection.hedge_burst_tokens + 1e-6


def test_the_hedges_of_a_dead_engine_are_refunded() -> None:
    """Guards against a budget that real failures use up, so that later streams get no hedge."""
    detection = DetectionSettings(hedge_burst_tokens=3000.0)
    budget = HedgeBudget(settings=detection)
    assert budget.try_spend(engine="a", tokens=2000, now=1.0)
    assert not budget.try_spend(engine="b", tokens=2000, now=1.0)
    budget.refund_dead_engines(1.0 + REFUND_AFTER_FACTOR * detection.dead_at_most_s)
    assert budget.remaining_tokens == 3000.0
