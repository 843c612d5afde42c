"""Tests of when a silent attempt's engine is queried, and when the attempt counts as lost."""

from __future__ import annotations

from lagoonlever.decisions.streams.silence import (
    DEFAULT_MAX_PAUSE_S,
    FIRST_QUERY_S,
    MIN_SUSPECT_S,
    QUERY_SHARE_OF_PAUSE,
    AttemptLost,
    QueryEngine,
    RunStatus,
    SilenceDetector,
    WaitUntil,
    first_query_delay_s,
)


def flowing(*, spacing_s: float = 0.03, events: int = 30) -> tuple[SilenceDetector, float]:
    silence, now = SilenceDetector(sent_at=0.0), 1.0
    for _ in range(events):
        silence.record_event(now)
        now += spacing_s
    return silence, now - spacing_s


def test_a_flowing_stream_is_queried_after_a_few_mean_gaps() -> None:
    silence, last = flowing()
    assert silence.next_step(last + MIN_SUSPECT_S * 0.9) == WaitUntil(at=last + MIN_SUSPECT_S)
    assert isinstance(silence.next_step(last + MIN_SUSPECT_S * 1.1), QueryEngine)


def test_a_slow_engine_gets_more_time_up_to_half_of_the_accepted_pause() -> None:
    silence, last = flowing(spacing_s=0.23)
    step = silence.next_step(last)
    assert isinstance(step, WaitUntil)
    assert MIN_SUSPECT_S < step.at - last <= QUERY_SHARE_OF_PAUSE * DEFAULT_MAX_PAUSE_S + 1e-9


def test_an_attempt_is_lost_if_its_engine_does_not_answer() -> None:
    silence, last = flowing()
    silence.record_status(RunStatus.NO_REPORT, last + 0.25)
    step = silence.next_step(last + 0.25)
    assert isinstance(step, AttemptLost) and step.unanswered


def test_an_attempt_that_its_engine_still_runs_is_kept() -> None:
    silence, last = flowing()
    silence.record_status(RunStatus.RUNNING, last + 0.15)
    assert isinstance(silence.next_step(last + 0.16), WaitUntil)


def test_before_the_first_event_one_unanswered_query_is_not_enough() -> None:
    """A prefill takes a second; the loss of one packet of the query must not waste it."""
    silence = SilenceDetector(sent_at=0.0)
    assert isinstance(silence.next_step(FIRST_QUERY_S), QueryEngine)
    silence.record_status(RunStatus.NO_REPORT, 0.5)
    assert isinstance(silence.next_step(0.5), QueryEngine)
    silence.record_status(RunStatus.NO_REPORT, 0.6)
    assert isinstance(silence.next_step(0.6), AttemptLost)


def test_a_loss_that_other_streams_have_seen_needs_only_one_query() -> None:
    silence = SilenceDetector(sent_at=0.0)
    silence.query_at_once(0.2)
    assert isinstance(silence.next_step(0.2), QueryEngine)
    silence.record_status(RunStatus.NO_REPORT, 0.3)
    assert isinstance(silence.next_step(0.3), AttemptLost)


def test_a_run_that_is_not_listed_for_long_is_lost() -> None:
    silence = SilenceDetector(sent_at=0.0)
    silence.record_status(RunStatus.NOT_LISTED, 0.4)
    assert not isinstance(silence.next_step(0.4), AttemptLost)
    silence.record_status(RunStatus.NOT_LISTED, 1.0)
    assert isinstance(silence.next_step(1.0), AttemptLost)


def test_a_run_that_may_be_queued_at_its_engine_is_kept() -> None:
    silence = SilenceDetector(sent_at=0.0)
    for now in (0.4, 1.0, 1.6, 2.2):
        silence.record_status(RunStatus.QUEUED, now)
        assert not isinstance(silence.next_step(now), AttemptLost)


def test_events_that_were_produced_but_not_delivered_are_a_loss() -> None:
    silence = SilenceDetector(sent_at=0.0)
    silence.record_status(RunStatus.RUNNING, 1.0, events_ahead=10)
    assert isinstance(silence.next_step(1.0), AttemptLost)


def test_undelivered_events_are_a_loss_at_once_where_the_path_to_the_engine_is_cut() -> None:
    """A VM lost its path under a stream, and its caller's pause was longer than is accepted."""
    silence, last = flowing()
    silence.record_status(RunStatus.RUNNING, last + 0.15, events_ahead=1, path_cut=True)
    assert isinstance(silence.next_step(last + 0.15), AttemptLost)


def test_a_gap_as_long_as_the_recent_ones_causes_no_query() -> None:
    """All engines are slow and prefill prompts beside each stream: an event every 0.46 s.

    Half of the accepted pause passed before each event, so each one caused a query: 3,202
    queries to engines that all worked, in a day of 160 streams.
    """
    silence, last = flowing(spacing_s=0.46, events=40)
    step = silence.next_step(last + 0.47)
    assert isinstance(step, WaitUntil)
    assert isinstance(silence.next_step(last + 0.7), QueryEngine)


def test_half_of_the_pause_that_a_route_accepts_is_left_for_the_resume() -> None:
    silence = SilenceDetector(sent_at=0.0, max_pause_s=0.3)
    for number in range(30):
        silence.record_event(1.0 + 0.08 * number)
    step = silence.next_step(1.0 + 0.08 * 29)
    assert isinstance(step, WaitUntil)
    assert abs(step.at - (1.0 + 0.08 * 29) - 0.15) < 1e-6


def test_engines_with_a_slow_prefill_are_queried_later_but_before_the_objective() -> None:
    assert first_query_delay_s(usual_reading_s=0.5, objective_s=4.5) == FIRST_QUERY_S
    assert first_query_delay_s(usual_reading_s=2.0, objective_s=4.5) == 2 * FIRST_QUERY_S
    assert first_query_delay_s(usual_reading_s=9.0, objective_s=4.0) == 1.0


def test_a_run_is_lost_if_its_engine_was_restarted() -> None:
    silence, last = flowing()
    silence.record_status(RunStatus.ENGINE_RESTARTED, last + 0.2)
    assert isinstance(silence.next_step(last + 0.2), AttemptLost)
