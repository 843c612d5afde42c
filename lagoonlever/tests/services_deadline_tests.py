"""Bids past their deadline, at once or after a pause."""

from __future__ import annotations

from lagoonlever.entry.services.pauses import DOUBT_S, PauseWatch
from lagoonlever.tests.services_site import Site, outcome, reason, run_site
from lagoonlever.timers import TimerService


def test_a_bid_past_its_deadline_is_not_sent_then_or_later() -> None:
    """A bid arrives when its auction is over; a copy of it without haste arrives after.

    The caller was told "not run", so the later copy must not run either.
    """

    async def scenario(site: Site) -> None:
        key = site.mint(0)
        response = await site.bid(0, key=key, left_s=0.0)
        assert (outcome(response), reason(response)) == ("not-run", "deadline")
        assert outcome(await site.bid(1, key=key)) == "not-run"
        assert site.executed == 0

    run_site(scenario)


def test_a_wrong_deadline_says_nothing_of_an_earlier_copy() -> None:
    """A bid has run; a copy of it with a broken deadline must not be told "not run"."""

    async def scenario(site: Site) -> None:
        key = site.mint(0)
        assert outcome(await site.bid(0, key=key)) == "done"
        response = await site.bid(1, key=key, left_s=float("nan"))
        assert (response.status, outcome(response)) == (400, "unknown")
        assert (await site.bid(1, key=None, left_s=float("nan"))).status == 400
        assert site.violations() == []

    run_site(scenario)


def test_time_spent_in_a_pause_counts_against_the_deadline() -> None:
    """A VM is stopped with a bid in its socket, and reads it when it is continued.

    The bid looks new. Its time must count from the start of the pause, also
    after the timer service has noticed the pause.
    """
    now = [100.0]
    timers = TimerService(clock=lambda: now[0])
    pauses = PauseWatch(timers=timers)
    with pauses.watching():
        timers.tick()
        assert pauses.arrival_of(now[0]) == now[0]
        now[0] += 30.0
        assert pauses.arrival_of(now[0]) <= 101.0
        timers.tick()
        assert pauses.arrival_of(now[0]) <= 101.0
        for _ in range(30):
            now[0] += DOUBT_S / 20
            timers.tick()
        assert pauses.arrival_of(now[0]) == now[0]
