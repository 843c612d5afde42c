"""The engine to which all attempts of a suspected poison request go."""

from __future__ import annotations

from lagoonlever.decisions.engines.crash_suspects import CrashSuspects
from lagoonlever.decisions.engines.suspect_placement import choose_suspect_engine
from lagoonlever.decisions.engines.target_crashes import (
    WEIGHT_QUEUED,
    WEIGHT_STARTED,
    Crash,
    process_name,
)

NAMES = tuple(f"engine-{number}" for number in range(12))
PROCESSES = {name: process_name(name, 1) for name in NAMES}


def suspects(*weights: float) -> CrashSuspects:
    """Return the registry after crashes of these weights under the request."""
    known = CrashSuspects()
    for number, weight in enumerate(weights):
        known.record_crash("f", f"p-{number}", Crash(at=float(number), weight=weight))
    return known


def test_the_choice_does_not_depend_on_the_order_of_the_list() -> None:
    backward = dict(reversed(PROCESSES.items()))
    assert choose_suspect_engine("f", backward, crashed=()) == choose_suspect_engine(
        "f", PROCESSES, crashed=()
    )


def test_an_engine_that_only_one_vm_knows_changes_the_choice_to_itself_at_most() -> None:
    """Guards against lists that differ for a moment and send each attempt elsewhere."""
    found = choose_suspect_engine("f", PROCESSES, crashed=())
    for number in range(50):
        newcomer = f"new-{number}"
        wider = {**PROCESSES, newcomer: process_name(newcomer, 1)}
        assert choose_suspect_engine("f", wider, crashed=()) in (found, newcomer)


def test_suspected_requests_are_spread_over_all_engines() -> None:
    found = {choose_suspect_engine(f"f-{number}", PROCESSES, crashed=()) for number in range(100)}
    assert found == set(NAMES)


def test_a_process_that_has_crashed_under_the_request_is_not_chosen() -> None:
    """Guards against VMs whose list still has the process of the last crash."""
    found = choose_suspect_engine("f", PROCESSES, crashed=())
    assert found is not None
    assert choose_suspect_engine("f", PROCESSES, crashed={process_name(found, 1)}) != found
    assert choose_suspect_engine("f", PROCESSES, crashed={process_name(found, 0)}) == found
    assert choose_suspect_engine("f", PROCESSES, crashed=set(PROCESSES.values())) is None


def test_a_request_goes_to_one_engine_between_its_second_and_third_crash() -> None:
    assert not suspects().is_one_crash_from_block("f")
    assert not suspects(WEIGHT_STARTED).is_one_crash_from_block("f")
    assert suspects(WEIGHT_STARTED, WEIGHT_STARTED).is_one_crash_from_block("f")
    assert not suspects(WEIGHT_STARTED, WEIGHT_STARTED, WEIGHT_STARTED).is_one_crash_from_block("f")


def test_crashes_where_a_request_may_only_have_been_queued_count_half() -> None:
    """Guards against restricting streams to one engine that met crashes of a whole data centre."""
    assert not suspects(WEIGHT_STARTED, WEIGHT_QUEUED).is_one_crash_from_block("f")
    assert suspects(WEIGHT_STARTED, WEIGHT_QUEUED, WEIGHT_QUEUED).is_one_crash_from_block("f")
