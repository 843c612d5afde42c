"""Replays of hard load on calls: waves, slow moments, runners that leave or tell what is false."""

from __future__ import annotations

import math

import attrs
import pytest

from lagoonlever.bench.call_places_model import CallModel, ModelRunner

MEAN_PER_S = 210.0
WAVE_S = 17.0


def wave(now: float) -> float:
    """Demand between 0.45 and 1.55 of its mean."""
    return MEAN_PER_S * (1 + 0.55 * math.sin(2 * math.pi * now / WAVE_S))


def calm(_now: float) -> float:
    return 180.0


def check_sound(model: CallModel) -> None:
    """Nobody is served twice, and nobody is forgotten."""
    assert all(call.runs <= 1 for call in model.calls)
    forgotten = [c for c in model.calls if c.ended is None and c.refused_at is None]
    assert len(forgotten) <= 0.002 * len(model.calls)


def test_at_the_crest_of_a_wave_what_is_taken_is_on_time() -> None:
    ours = CallModel(way="line", rate=wave).play()
    own = CallModel(way="own", rate=wave).play()
    check_sound(ours)
    assert ours.share(lambda call: call.in_aim) > 0.9
    assert ours.share(lambda call: call.in_aim) > own.share(lambda call: call.in_aim) + 0.04
    assert ours.share(lambda call: call.wait_s > 0.3) < 0.005


def test_moments_of_slowness_make_no_call_late_while_there_is_room() -> None:
    ours = CallModel(way="line", rate=calm).play()
    check_sound(ours)
    assert ours.share(lambda call: call.in_aim) > 0.995
    assert ours.wait_s(0.99) < 0.1


def test_beside_a_runner_that_leaves_at_the_crest_what_is_taken_is_on_time() -> None:
    """Three of four runners are left for more than they can do, and today all were late."""
    runners = {f"r{number}": ModelRunner() for number in range(4)}
    runners["r0"].leaves_at = WAVE_S / 8
    ours = CallModel(way="line", rate=wave, runners=runners).play()
    check_sound(ours)
    answered = [call for call in ours.calls if call.ended is not None]
    assert sum(call.in_aim for call in answered) > 0.95 * len(answered)
    crest = [call for call in ours.calls if 2.5 < call.arrived < 7.5]
    able_per_s = 18 / (0.068 * (0.85 + 0.15 * 2.5))
    assert sum(call.in_aim for call in crest) > 0.85 * able_per_s * 5.0
    refused = [c for c in ours.calls if c.refused_at is not None]
    soon = sum(1 for call in refused if (call.refused_at or 0) - call.arrived < 0.04)
    assert soon > 0.95 * len(refused), "refusals come at once"


def test_a_runner_that_always_says_it_is_idle_draws_no_herd() -> None:
    runners = {f"r{number}": ModelRunner() for number in range(4)}
    runners["r0"].says = lambda load: attrs.evolve(load, running=0, waiting=0)
    ours = CallModel(way="line", rate=calm, runners=runners).play()
    check_sound(ours)
    assert ours.share(lambda call: call.in_aim) > 0.99


def test_a_runner_whose_count_is_stuck_is_used_all_the_same() -> None:
    runners = {f"r{number}": ModelRunner() for number in range(4)}
    runners["r0"].says = lambda load: attrs.evolve(load, running=6, waiting=3)
    ours = CallModel(way="line", rate=lambda _now: 250.0, runners=runners).play()
    check_sound(ours)
    assert ours.share(lambda call: call.in_aim) > 0.97


@pytest.mark.parametrize("vms", [9, 60, 88, 300])
def test_lost_messages_cost_time_and_never_a_second_run(vms: int) -> None:
    ours = CallModel(way="line", rate=calm, vms=vms, loss=0.05).play()
    check_sound(ours)
    assert ours.share(lambda call: call.in_aim) > 0.97


def test_the_loss_of_the_vm_that_counts_costs_a_moment() -> None:
    """The line dies with all it knows, and another begins with nothing."""
    ours = CallModel(way="line", rate=calm, desk_dies_at=10.0).play()
    check_sound(ours)
    around = [call for call in ours.calls if 9.5 < call.arrived < 11.0]
    assert sum(call.in_aim for call in around) > 0.9 * len(around)
