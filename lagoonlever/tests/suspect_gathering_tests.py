"""Where the returns of a request are brought together that ends its engines."""

from __future__ import annotations

from lagoonlever.decisions.engines.crash_suspects import CrashSuspects
from lagoonlever.decisions.engines.suspect_gathering import choose_suspect_engine
from lagoonlever.decisions.engines.target_crashes import (
    WEIGHT_QUEUED,
    WEIGHT_STARTED,
    Crash,
    process_name,
)

NAMES = tuple(f"engine-{number}" for number in range(12))
PROCESSES = {name: process_name(name, 1) for name in NAMES}


def suspects(*weights: float) -> CrashSuspects:
    """Give what is known of a request with such ends."""
    known = CrashSuspects()
    for number, weight in enumerate(weights):
        known.ended_under("f", f"p-{number}", Crash(at=float(number), weight=weight))
    return known


def test_every_order_of_the_list_gives_the_same_engine() -> None:
    backward = dict(reversed(PROCESSES.items()))
    assert choose_suspect_engine("f", backward, ended=()) == choose_suspect_engine(
        "f", PROCESSES, ended=()
    )


def test_an_engine_that_is_known_to_one_vm_only_changes_the_place_to_that_one_at_most() -> None:
    """Guards against lists that differ for a moment and send each return elsewhere."""
    found = choose_suspect_engine("f", PROCESSES, ended=())
    for number in range(50):
        newcomer = f"new-{number}"
        wider = {**PROCESSES, newcomer: process_name(newcomer, 1)}
        assert choose_suspect_engine("f", wider, ended=()) in (found, newcomer)


def test_requests_are_not_all_brought_to_one_engine() -> None:
    found = {choose_suspect_engine(f"f-{number}", PROCESSES, ended=()) for number in range(100)}
    assert found == set(NAMES)


def test_a_process_that_has_ended_under_the_request_is_passed_over() -> None:
    """Guards against VMs whose list still has the engine of the last end."""
    found = choose_suspect_engine("f", PROCESSES, ended=())
    assert found is not None
    assert choose_suspect_engine("f", PROCESSES, ended={process_name(found, 1)}) != found
    assert choose_suspect_engine("f", PROCESSES, ended={process_name(found, 0)}) == found
    assert choose_suspect_engine("f", PROCESSES, ended=set(PROCESSES.values())) is None


def test_a_request_is_gathered_from_the_second_end_to_the_third() -> None:
    assert not suspects().is_next_to_last("f")
    assert not suspects(WEIGHT_STARTED).is_next_to_last("f")
    assert suspects(WEIGHT_STARTED, WEIGHT_STARTED).is_next_to_last("f")
    assert not suspects(WEIGHT_STARTED, WEIGHT_STARTED, WEIGHT_STARTED).is_next_to_last("f")


def test_ends_at_which_a_request_may_only_have_waited_count_half() -> None:
    """Guards against streams that crashes of a data centre have followed, kept to one engine."""
    assert not suspects(WEIGHT_STARTED, WEIGHT_QUEUED).is_next_to_last("f")
    assert suspects(WEIGHT_STARTED, WEIGHT_QUEUED, WEIGHT_QUEUED).is_next_to_last("f")
