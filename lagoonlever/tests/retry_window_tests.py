"""Tests that retries are bounded by the requests of the same window, over all VMs together."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from lagoonlever.decisions.admission.retry_window import RetryWindow

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
    assert sliding.try_record_retry(WINDOW_S * 1.1, vms=VMS)


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
