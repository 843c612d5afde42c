"""Tests that retries are bounded by the requests of the same window, over all VMs together."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from lagoonlever.decisions.admission.retry_window import DELIVERY_S, PERMIT_S, RetryWindow

RATIO, WINDOW_S, SLACK, VMS = 0.8, 10.0, 150.0, 9


def window() -> RetryWindow:
    return RetryWindow(ratio=RATIO, window_s=WINDOW_S, slack=SLACK)


def test_a_vm_without_requests_may_use_its_share_of_the_slack() -> None:
    quiet = window()
    taken = sum(quiet.try_record_retry(0.0, vms=VMS) for _ in range(100))
    assert 5 <= taken <= SLACK / VMS


@given(
    st.lists(st.tuples(st.floats(0.0, 0.5), st.integers(0, VMS - 1), st.booleans()), max_size=400)
)
def test_all_vms_together_stay_within_the_bound(steps: list[tuple[float, int, bool]]) -> None:
    windows = [window() for _ in range(VMS)]
    requests: list[float] = []
    retries: list[float] = []
    now = 0.0
    for after_s, vm, fails in steps:
        now += after_s
        windows[vm].record_request(now)
        requests.append(now)
        while fails and windows[vm].try_record_retry(now, vms=VMS):
            retries.append(now)
        recent = [at for at in retries if now - at <= WINDOW_S]
        asked = [at for at in requests if now - at <= WINDOW_S]
        assert len(recent) <= RATIO * len(asked) + SLACK


def test_the_window_slides() -> None:
    sliding = window()
    while sliding.try_record_retry(0.0, vms=VMS):
        pass
    assert not sliding.try_record_retry(WINDOW_S * 0.9, vms=VMS)
    assert not sliding.try_record_retry(WINDOW_S + DELIVERY_S * 0.9, vms=VMS)
    assert sliding.try_record_retry(WINDOW_S + DELIVERY_S * 1.1, vms=VMS)


def test_retries_that_arrive_late_stay_within_the_bound_of_the_time_in_which_they_arrive() -> None:
    """Targets that fall silent read in one moment what was sent to them over a second."""
    late = window()
    sent: list[float] = []
    now = 0.0
    while now < 30.0:
        if late.try_record_retry(now, vms=1):
            sent.append(now)
        now += 0.05
    arrived = sorted(at + max(0.0, 1.2 - at % 3.0) for at in sent)
    for at in arrived:
        assert sum(at - WINDOW_S < other <= at for other in arrived) <= SLACK


def test_a_permitted_retry_counts_before_it_is_sent() -> None:
    """Guards against streams of one VM that are all permitted before the first of them is sent."""
    counted = window()
    permitted = 0
    while counted.allows(0.0, vms=1, request=f"r-{permitted}"):
        counted.permit(f"r-{permitted}", 0.0)
        permitted += 1
    assert permitted <= SLACK
    counted.record_retry(0.01, request="r-0")
    assert not counted.allows(0.01, vms=1, request="r-0")


def test_a_permission_that_was_not_used_is_taken_again_and_lapses() -> None:
    counted = window()
    while counted.allows(0.0, vms=1, request=""):
        counted.record_retry(0.0)
    counted.cancel_retry(0.0)
    counted.permit("r-1", 0.0)
    assert not counted.allows(0.1, vms=1, request="r-2")
    assert counted.allows(0.1, vms=1, request="r-1")
    assert counted.allows(PERMIT_S * 1.1, vms=1, request="r-2")


def test_vms_that_have_not_heard_of_each_other_share_what_is_left() -> None:
    windows = [window() for _ in range(VMS)]
    permitted = 0
    for vm, each in enumerate(windows):
        number = 0
        while each.allows(0.0, vms=1, deciders=VMS, request=f"r-{vm}-{number}"):
            each.permit(f"r-{vm}-{number}", 0.0)
            number += 1
        permitted += number
    assert SLACK / 2 <= permitted <= SLACK


def test_retries_of_other_vms_count() -> None:
    """Guards against a retry storm after half of the engines crash.

    Every VM retries its streams at once and counts the attempts of all others. Together they
    must stay within the bound of the service, though each sends only a few.
    """
    counted = window()
    for _ in range(200):
        counted.record_request(0.0)
    sent = 0
    while counted.allows(0.1, vms=1):
        counted.record_retry(0.1)
        sent += 1
    assert 200 <= sent <= RATIO * 200 + SLACK


def test_optional_retries_leave_a_share_to_necessary_ones() -> None:
    counted = window()
    while counted.allows(0.0, vms=1, share=0.5):
        counted.record_retry(0.0)
    assert counted.allows(0.0, vms=1)


def test_a_cancelled_retry_is_not_counted() -> None:
    sliding = window()
    while sliding.try_record_retry(0.0, vms=VMS):
        pass
    sliding.cancel_retry(0.0)
    assert sliding.try_record_retry(0.0, vms=VMS)
    assert not sliding.try_record_retry(0.0, vms=VMS)
