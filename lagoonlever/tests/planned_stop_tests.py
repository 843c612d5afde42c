"""When a VM that was told to stop may end: a state machine of callers, backlog and requests."""

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
OBSERVE_INTERVAL_S = 0.25
"""The time between two observations; a connection waits in the backlog for less than two."""


class StopMachine(RuleBasedStateMachine):
    """Callers that arrive while they hold an address; the kernel accepts before the VM does."""

    served_after_leaving_s = ADDRESSES.served_after_leaving_s
    quiet_s = QUIET_S

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.stop = PlannedStop(
            address_lifetime_s=self.served_after_leaving_s, quiet_s=self.quiet_s
        )
        self.backlog: list[float] = []
        self.open_requests = 0
        self.address_valid_until = 0.0
        self.began_at: float | None = None

    @rule(spread=st.floats(0.8, 1.2))
    def receive_address(self, spread: float) -> None:
        """Let a caller receive the address from a VM that has not heard of the stop yet."""
        if self.began_at is None or self.now <= self.began_at + ADDRESSES.news_s:
            self.address_valid_until = max(
                self.address_valid_until, self.now + ADDRESSES.lifetime_s * spread
            )

    @precondition(lambda self: self.now <= self.address_valid_until)
    @rule()
    def connect(self) -> None:
        assert self.stop.phase is not StopPhase.ENDED, (
            "a caller used a valid address of an ended VM"
        )
        self.backlog.append(self.now)

    @precondition(lambda self: self.open_requests)
    @rule()
    def finish(self) -> None:
        self.open_requests -= 1

    @rule()
    def begin(self) -> None:
        """Send the stop signal; a second one has no effect."""
        first = self.stop.begin(self.now)
        assert first == (self.began_at is None)
        if first:
            self.began_at = self.now

    @rule(observations=st.integers(1, 30))
    def pass_time(self, observations: int) -> None:
        for _ in range(observations):
            self.now += OBSERVE_INTERVAL_S
            accepted = [at for at in self.backlog if self.now - at > OBSERVE_INTERVAL_S]
            self.backlog = [at for at in self.backlog if at not in accepted]
            self.open_requests += len(accepted)
            self.stop.observe(OpenWork(exchanges=self.open_requests), self.now)

    @invariant()
    def no_request_is_interrupted(self) -> None:
        if self.stop.phase is StopPhase.ENDED:
            assert not self.open_requests
            assert not self.backlog

    def teardown(self) -> None:
        """Check that the VM ends by itself once no caller arrives and no request is open."""
        if self.began_at is not None:
            self.open_requests, self.backlog = 0, []
            for _ in range(100):
                self.now += OBSERVE_INTERVAL_S
                self.stop.observe(OpenWork(), self.now)
            assert self.stop.phase is StopPhase.ENDED


LIMITS = settings(max_examples=150, stateful_step_count=20)
UNGUARDED_LIMITS = settings(max_examples=5_000, stateful_step_count=20)
"""The run ends at the first interrupted request. Many examples are allowed, because which ones
are drawn depends on the modules that are loaded."""


def test_a_stop_interrupts_no_request_and_ends() -> None:
    run_state_machine_as_test(StopMachine, settings=LIMITS)


@pytest.mark.parametrize(
    ("guard", "value"), [("quiet_s", 0.0), ("served_after_leaving_s", ADDRESSES.lifetime_s)]
)
def test_without_a_guard_the_machine_finds_an_interrupted_request(guard: str, value: float) -> None:
    """Show that both guards are needed.

    Without the quiet time, a request in the backlog is interrupted. Without the margin over the
    lifetime, a caller with a valid address finds that the VM has ended.
    """
    machine = type("Unguarded", (StopMachine,), {guard: value})
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine, settings=UNGUARDED_LIMITS)


def test_no_caller_is_given_an_address_for_longer_than_it_is_served() -> None:
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
    lifetimes = [
        choose_entry_addresses(view, settings=ADDRESSES, random=rng).lifetime_s for _ in range(500)
    ]
    assert max(lifetimes) > ADDRESSES.lifetime_s
    assert max(lifetimes) + ADDRESSES.news_s <= ADDRESSES.served_after_leaving_s
