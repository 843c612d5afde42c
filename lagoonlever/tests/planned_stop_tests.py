"""When a VM that was told to stop may end: a machine of callers, backlog and requests."""

from __future__ import annotations

import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from lagoonlever.decisions.fleet.addresses import AddressesSettings, choose_entry_addresses
from lagoonlever.decisions.fleet.planned_stop import OpenWork, PlannedStop, StopPhase
from lagoonlever.decisions.membership.membership import Member, MemberState, MemberView
from lagoonlever.entry.stopping import QUIET_S
from lagoonlever.http.messages import Address
from lagoonlever.identity import Incarnation

ADDRESSES = AddressesSettings(lifetime_s=1.0, news_s=2.0)
LOOK_S = 0.25
"""Time between two looks; a connection waits in the backlog for less than two of them."""


class StopMachine(RuleBasedStateMachine):
    """Callers come as long as an address was told; the kernel accepts before the VM does."""

    served_after_leaving_s = ADDRESSES.served_after_leaving_s
    quiet_s = QUIET_S

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.stop = PlannedStop(
            address_lifetime_s=self.served_after_leaving_s, quiet_s=self.quiet_s
        )
        self.backlog: list[float] = []
        self.held = 0
        self.told_until = 0.0
        self.began_at: float | None = None

    @rule(spread=st.floats(0.8, 1.2))
    def tell_an_address(self, spread: float) -> None:
        """Any VM tells it until the news of the stop has come there."""
        if self.began_at is None or self.now <= self.began_at + ADDRESSES.news_s:
            self.told_until = max(self.told_until, self.now + ADDRESSES.lifetime_s * spread)

    @precondition(lambda self: self.now <= self.told_until)
    @rule()
    def come(self) -> None:
        assert self.stop.phase is not StopPhase.ENDED, "a caller with a told address found nobody"
        self.backlog.append(self.now)

    @precondition(lambda self: self.held)
    @rule()
    def finish(self) -> None:
        self.held -= 1

    @rule()
    def begin(self) -> None:
        """Send the signal; the second one changes nothing."""
        first = self.stop.begin(self.now)
        assert first == (self.began_at is None)
        if first:
            self.began_at = self.now

    @rule(looks=st.integers(1, 30))
    def pass_time(self, looks: int) -> None:
        for _ in range(looks):
            self.now += LOOK_S
            accepted = [at for at in self.backlog if self.now - at > LOOK_S]
            self.backlog = [at for at in self.backlog if at not in accepted]
            self.held += len(accepted)
            self.stop.observe(OpenWork(exchanges=self.held), self.now)

    @invariant()
    def nothing_is_cut(self) -> None:
        if self.stop.phase is StopPhase.ENDED:
            assert not self.held
            assert not self.backlog

    def teardown(self) -> None:
        """Once nobody comes and nothing is held, the VM ends by itself."""
        if self.began_at is not None:
            self.held, self.backlog = 0, []
            for _ in range(100):
                self.now += LOOK_S
                self.stop.observe(OpenWork(), self.now)
            assert self.stop.phase is StopPhase.ENDED


LIMITS = settings(max_examples=150, stateful_step_count=20)
UNGUARDED_LIMITS = settings(max_examples=5_000, stateful_step_count=20)
"""Ends at the first cut. Which examples are drawn depends on what modules are loaded."""


def test_a_stop_cuts_nothing_and_ends() -> None:
    run_state_machine_as_test(StopMachine, settings=LIMITS)


@pytest.mark.parametrize(
    ("guard", "value"), [("quiet_s", 0.0), ("served_after_leaving_s", ADDRESSES.lifetime_s)]
)
def test_without_a_guard_the_machine_finds_the_cut(guard: str, value: float) -> None:
    """Without the quiet time a request in the backlog is cut; without the margin a caller is."""
    machine = type("Unguarded", (StopMachine,), {guard: value})
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine, settings=UNGUARDED_LIMITS)


def test_no_caller_is_told_an_address_for_longer_than_it_is_served() -> None:
    incarnation = Incarnation(name="a", started_ms=1, nonce=1)
    address = Address(host="127.0.0.1", port=1)
    member = Member(
        incarnation=incarnation,
        data_center="d",
        http=address,
        peers=address,
        state=MemberState.ALIVE,
    )
    view = MemberView(members=(member,), own=incarnation)
    rng = random.Random(1)
    told = [
        choose_entry_addresses(view, settings=ADDRESSES, random=rng).lifetime_s for _ in range(500)
    ]
    assert max(told) > ADDRESSES.lifetime_s
    assert max(told) + ADDRESSES.news_s <= ADDRESSES.served_after_leaving_s
