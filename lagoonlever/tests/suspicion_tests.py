"""Detection of an engine's death: silence, stuck streams, slowness, own pauses, the budget."""

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
class Engine:
    """An engine that gives every moving stream a token a step, on a clock of its own."""

    suspicion: EngineSuspicion
    now: float = 100.0
    verdicts: list[StreamVerdict] = attrs.field(factory=list)

    def open(self, *streams: str) -> None:
        for stream in streams:
            self.suspicion.add_stream(stream, now=self.now, prompt_tokens=100)

    def step(self, *streams: str, gap_s: float = GAP_S) -> None:
        self.silent(gap_s)
        for stream in streams:
            self.suspicion.record_token(stream, now=self.now)

    def run(self, *streams: str, steps: int, gap_s: float = GAP_S) -> None:
        for _ in range(steps):
            self.step(*streams, gap_s=gap_s)

    def silent(self, seconds: float) -> None:
        end = self.now + seconds
        while self.suspicion.next_check_at < end:
            self.now = max(self.now + 1e-3, self.suspicion.next_check_at)
            self.verdicts += self.suspicion.assess(self.now)
        self.now = end

    def levels(self) -> set[tuple[str, SuspicionLevel]]:
        return {(verdict.stream, verdict.level) for verdict in self.verdicts}


def engine(**options: object) -> Engine:
    return Engine(EngineSuspicion(settings=DetectionSettings(**options)))


@pytest.mark.parametrize("method", sorted(DETECTORS))
def test_a_frozen_engine_is_suspected_then_left(method: str) -> None:
    """A dealer's summary stops in mid-sentence: the engine is frozen, its socket stays open.

    Every stream falls silent at once. Each detector first suspects all of them,
    then calls all of them dead, within two seconds.
    """
    watched = engine(method=method, fixed_timeout_s=1.9)
    watched.open("a", "b", "c")
    watched.run("a", "b", "c", steps=200)
    assert watched.verdicts == []
    watched.silent(2.0)
    for stream in "abc":
        levels = [v.level for v in watched.verdicts if v.stream == stream]
        assert levels == [SuspicionLevel.SUSPECT, SuspicionLevel.DEAD]


def test_one_silent_stream_beside_moving_neighbours_is_given_longer() -> None:
    """A digest pauses for three seconds while the engine serves its neighbours.

    The engine preempted one stream; switching would waste its cache. The gap
    detector leaves it, the pooled one waits, and learns nothing wrong from it.
    """
    dead = {}
    for method in ("gap", "pooled"):
        watched = engine(method=method, dead_at_least_s=0.8)
        watched.open("a", "b", "c")
        watched.run("a", "b", "c", steps=200)
        watched.run("b", "c", steps=120)
        dead[method] = [v.stream for v in watched.verdicts if v.level is SuspicionLevel.DEAD]
        if method == "pooled":
            watched.run("a", "b", "c", steps=10)
            watched.verdicts.clear()
            watched.silent(0.9)
            assert ("b", SuspicionLevel.DEAD) in watched.levels()
    assert dead == {"gap": ["a"], "pooled": []}


def test_own_pause_is_no_silence_of_the_engine() -> None:
    """Every answer of a VM switches engines at once, though no engine failed.

    The VM's process is stopped for five seconds; on SIGCONT its timers run before
    the tokens that wait in its sockets are read. With the guard off all are dead.
    """
    for told in (True, False):
        watched = engine()
        watched.open("a", "b")
        watched.run("a", "b", steps=200)
        watched.now += 5.0
        if told:
            watched.suspicion.discount_pause(5.0, now=watched.now)
        else:
            watched.suspicion._next_check_at = watched.now
        levels = {v.level for v in watched.suspicion.assess(watched.now)}
        assert levels == (set() if told else {SuspicionLevel.DEAD})


def test_a_late_check_counts_as_own_pause() -> None:
    """A garbage collection of 0.9 s is too short for the timer service to call it a pause."""
    watched = engine()
    watched.open("a", "b")
    watched.run("a", "b", steps=200)
    watched.now = watched.suspicion.next_check_at + 0.9
    assert watched.suspicion.assess(watched.now) == ()
    watched.silent(2.0)
    assert ("a", SuspicionLevel.DEAD) in watched.levels()


def test_a_slow_engine_is_left_unless_its_like_are_as_slow() -> None:
    """Clerks watch words drip: one engine runs at a twentieth of its usual speed.

    It never falls silent for long, so only the comparison with its own past
    shows it. When all engines are as slow, leaving it would gain nothing.
    """
    for peers_spacing_s, expected in ((GAP_S, {SuspicionReason.SLOW}), (20 * GAP_S, set())):
        watched = engine()
        watched.open("a", "b")
        watched.run("a", "b", steps=600)
        watched.suspicion.peers_spacing_s = peers_spacing_s
        watched.run("a", "b", steps=8, gap_s=20 * GAP_S)
        dead = {v.reason for v in watched.verdicts if v.level is SuspicionLevel.DEAD}
        assert dead == expected


def test_a_slow_engine_that_recovered_is_not_left_again_by_old_figures() -> None:
    """An engine is slow for a while; a prompt that it takes up later is moved for nothing.

    The spacing of its slow time was still the latest known when the next stream
    opened, and the stream was called slow before it had a token.
    """
    watched = engine()
    watched.open("a", "b")
    watched.run("a", "b", steps=600)
    watched.run("a", "b", steps=8, gap_s=20 * GAP_S)
    watched.suspicion.remove_stream("a")
    watched.suspicion.remove_stream("b")
    watched.verdicts.clear()
    watched.suspicion.add_stream("c", now=watched.now, prompt_tokens=2000)
    watched.silent(1.6)
    watched.suspicion.add_stream("d", now=watched.now, prompt_tokens=2000)
    watched.silent(2.8)
    assert SuspicionReason.SLOW not in {v.reason for v in watched.verdicts}


def test_a_long_prefill_is_no_death_and_a_first_token_that_never_comes_is() -> None:
    watched = engine()
    watched.suspicion.add_stream("long", now=watched.now, prompt_tokens=4000)
    watched.silent(2.4)
    assert ("long", SuspicionLevel.DEAD) not in watched.levels()
    watched.silent(20.0)
    assert ("long", SuspicionLevel.DEAD) in watched.levels()


@settings(max_examples=60, deadline=None)
@given(
    seed=st.integers(0, 2**32),
    method=st.sampled_from(["gap", "pooled"]),
    streams=st.integers(1, 6),
    longest_s=st.floats(0.01, 0.31),
)
def test_spacing_below_the_floor_is_never_death_and_a_freeze_always_is(
    seed: int, method: str, streams: int, longest_s: float
) -> None:
    rng = random.Random(seed)
    watched = engine(method=method)
    names = [str(i) for i in range(streams)]
    watched.open(*names)
    for _ in range(80):
        watched.step(*names, gap_s=rng.uniform(0.002, longest_s))
    assert watched.verdicts == []
    watched.silent(DetectionSettings().dead_at_most_s + 0.01)
    assert {(name, SuspicionLevel.DEAD) for name in names} <= watched.levels()


@settings(max_examples=60, deadline=None)
@given(
    hedges=st.lists(
        st.tuples(st.sampled_from("abc"), st.integers(1, 5000), st.booleans()), max_size=200
    )
)
def test_false_hedges_cost_at_most_the_share_and_one_burst(
    hedges: list[tuple[str, int, bool]],
) -> None:
    """Engines are suspected again and again; some proved dead, the others went on."""
    chosen = DetectionSettings(hedge_burst_tokens=3000.0)
    budget = HedgeBudget(settings=chosen)
    now = 0.0
    served = wasted = 0
    for engine_name, tokens, proved_dead in hedges:
        now += 1.0
        spent = budget.try_spend(engine=engine_name, tokens=tokens, now=now)
        if proved_dead:
            now += 2 * REFUND_AFTER_FACTOR * chosen.dead_at_most_s
            budget.refund_dead_engines(now)
            continue
        budget.record_served(engine=engine_name, tokens=tokens)
        served += tokens
        wasted += tokens if spent else 0
    assert wasted <= chosen.hedge_budget * served + chosen.hedge_burst_tokens + 1e-6


def test_the_hedges_of_a_dead_engine_are_paid_back() -> None:
    chosen = DetectionSettings(hedge_burst_tokens=3000.0)
    budget = HedgeBudget(settings=chosen)
    assert budget.try_spend(engine="a", tokens=2000, now=1.0)
    assert not budget.try_spend(engine="b", tokens=2000, now=1.0)
    budget.refund_dead_engines(1.0 + REFUND_AFTER_FACTOR * chosen.dead_at_most_s)
    assert budget.remaining_tokens == 3000.0
