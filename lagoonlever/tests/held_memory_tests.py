"""The account of what clients make a process hold: never above its bound, and nought at the end."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, consumes, invariant, rule

from lagoonlever.decisions.admission.held_memory import (
    ANSWER_GRACE_S,
    CONNECTION_BYTES,
    LEAST_PART,
    MB,
    NEW_S,
    OWN_BYTES,
    SMALL_BYTES,
    Holding,
    MemoryAccount,
    Stage,
    clients_bytes,
    first_to_leave,
)

CAPACITY_BYTES = 40 * CONNECTION_BYTES
STAGES = (Stage.IDLE, Stage.READING, Stage.SERVING, Stage.ANSWERING, Stage.KEPT)


class AccountMachine(RuleBasedStateMachine):
    """Connections come, pay at each stage, give way, and leave, while the capacity changes."""

    holdings = Bundle("holdings")

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.account = MemoryAccount(capacity_bytes=CAPACITY_BYTES)
        self.model: dict[Holding, int] = {}
        self.idle: set[Holding] = set()
        self.yielded: set[Holding] = set()
        self.bound = CAPACITY_BYTES

    @rule(target=holdings)
    def connect(self) -> Holding:
        holding = Holding(give_way=lambda: self._gave_way(holding), since=self.now)
        if self.account.open(holding, now=self.now):
            self.model[holding] = CONNECTION_BYTES
            self.idle.add(holding)
        return holding

    @rule(holding=holdings, size=st.integers(0, CAPACITY_BYTES))
    def pay(self, holding: Holding, size: int) -> None:
        before = set(self.yielded)
        paid = self.account.grow(holding, size, now=self.now)
        if paid:
            assert holding in self.model
            assert holding not in self.yielded
            self.model[holding] += size
            assert holding.held_bytes <= max(
                self.account.largest_bytes, SMALL_BYTES + CONNECTION_BYTES
            )
        assert holding not in self.yielded - before

    @rule(holding=holdings, size=st.integers(0, CAPACITY_BYTES))
    def pay_back(self, holding: Holding, size: int) -> None:
        self.account.shrink(holding, size)
        if holding in self.model:
            self.model[holding] = max(0, self.model[holding] - size)

    @rule(holding=holdings, stage=st.sampled_from(STAGES))
    def go_on(self, holding: Holding, stage: Stage) -> None:
        self.account.move(holding, stage, now=self.now)
        if stage is Stage.IDLE:
            self.idle.add(holding)
        else:
            self.idle.discard(holding)

    @rule(seconds=st.floats(0.0, 30.0))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @rule(capacity=st.sampled_from((0, CAPACITY_BYTES // 2, CAPACITY_BYTES, 10**12)))
    def change_limits(self, capacity: int) -> None:
        self.account.capacity_bytes = capacity
        self.bound = max(capacity, self.account.held_bytes)

    @rule(holding=consumes(holdings))
    def leave(self, holding: Holding) -> None:
        self.account.close(holding)
        self.account.close(holding)
        self.model.pop(holding, None)

    @invariant()
    def holds_what_was_paid(self) -> None:
        assert self.account.held_bytes == sum(self.model.values())
        assert self.account.held_bytes <= self.bound
        self.bound = max(self.account.capacity_bytes, self.account.held_bytes)

    def teardown(self) -> None:
        for holding in list(self.model):
            self.account.close(holding)
        assert self.account.held_bytes == 0

    def _gave_way(self, holding: Holding) -> None:
        assert holding not in self.yielded
        self.yielded.add(holding)
        left = 0 if holding in self.idle else CONNECTION_BYTES
        self.model[holding] = min(self.model[holding], left)


AccountMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=40)
test_the_account_is_true_at_every_step = AccountMachine.TestCase


def filled(*held: tuple[Stage, float, int]) -> tuple[MemoryAccount, list[Holding], list[int]]:
    """Return an account with holdings, and the list of the numbers of those that gave way."""
    account = MemoryAccount(capacity_bytes=10 * MB)
    gave_way: list[int] = []
    holdings: list[Holding] = []
    for number, (stage, since, size) in enumerate(held):

        def give_way(number: int = number) -> None:
            gave_way.append(number)

        holding = Holding(give_way=give_way, since=since)
        assert account.open(holding, now=since)
        account.move(holding, stage, now=since)
        assert account.grow(holding, size, now=since)
        holdings.append(holding)
    return account, holdings, gave_way


def new_request(account: MemoryAccount, *, now: float, size: int) -> bool:
    """Return whether a new connection can pay for a request."""
    holding = Holding(give_way=lambda: None, since=now)
    if not account.open(holding, now=now):
        return False
    account.move(holding, Stage.READING, now=now)
    return account.grow(holding, size, now=now)


def test_an_old_unfinished_body_gives_way_to_a_new_request() -> None:
    """Guards against a crowd that fills the account, stays, and shuts everybody out."""
    account, _, gave_way = filled(
        (Stage.READING, 0.0, 3 * MB), (Stage.READING, 1.0, 4 * MB), (Stage.IDLE, 0.0, 0)
    )
    assert new_request(account, now=5.0, size=3 * MB)
    assert gave_way == [1]


def test_a_slow_small_body_gives_way_before_a_fast_large_one() -> None:
    """Guards against clients that send a byte each second and outlast all others."""
    account, _, gave_way = filled((Stage.READING, 0.0, MB), (Stage.READING, 59.0, 6 * MB))
    assert new_request(account, now=60.0, size=MB)
    assert gave_way == [0]


def test_a_request_that_is_served_never_gives_way() -> None:
    """Guards against a request that ran and whose memory was taken from it."""
    account, _, gave_way = filled((Stage.SERVING, 0.0, 7 * MB))
    assert not new_request(account, now=60.0, size=MB)
    assert gave_way == []


@pytest.mark.parametrize("stage", [Stage.IDLE, Stage.READING])
def test_a_new_small_request_does_not_give_way_to_a_large_answer(stage: Stage) -> None:
    """Guards against callers cut off right after they connect, as an answer of others grows."""
    account, holdings, gave_way = filled(
        (Stage.SERVING, 0.0, 5 * MB), (Stage.SERVING, 0.0, 2 * MB), (stage, 3.0, 1024)
    )
    assert not account.grow(holdings[0], MB, now=3.0 + NEW_S / 2)
    assert gave_way == []


def test_slow_small_requests_give_way_to_a_large_answer() -> None:
    """Guards against a crowd of small bodies that stop midway, and fail large answers."""
    slow = [(Stage.READING, 1.0, SMALL_BYTES)] * 20
    account, holdings, gave_way = filled((Stage.SERVING, 0.0, 6 * MB), *slow)
    assert account.grow(holdings[0], MB, now=1.0 + NEW_S * 2)
    assert 0 < len(gave_way) < len(slow)
    assert account.held_bytes <= account.largest_bytes


def test_room_is_kept_for_small_requests() -> None:
    """Guards against whole large bodies that shut out small requests as they are served."""
    account, _, _ = filled((Stage.SERVING, 0.0, 7 * MB))
    assert new_request(account, now=60.0, size=SMALL_BYTES)


def test_an_answer_that_nobody_reads_gives_way_once_it_is_slow() -> None:
    """Guards against slow readers that shut others out, and answers cut that were just made."""
    account, _, gave_way = filled((Stage.ANSWERING, 0.0, 7 * MB))
    assert not new_request(account, now=ANSWER_GRACE_S / 2, size=MB)
    assert new_request(account, now=ANSWER_GRACE_S * 2, size=MB)
    assert gave_way == [0]


def test_one_idle_connection_makes_room_for_a_new_one() -> None:
    """Guards against all idle callers cut off for one new connection, which is refused as well."""
    idle = [(Stage.IDLE, float(number), 0) for number in range(10 * MB // CONNECTION_BYTES)]
    account, _, gave_way = filled(*idle)
    now = float(len(idle))
    assert account.open(Holding(give_way=lambda: None, since=now), now=now)
    assert gave_way == [0]


def test_one_holding_that_can_never_fit_makes_nobody_give_way() -> None:
    """Guards against an absurd limit that has a single body push out all others."""
    account, _, gave_way = filled((Stage.READING, 0.0, MB))
    assert not new_request(account, now=9.0, size=9 * MB)
    assert gave_way == []


def test_the_longest_idle_connection_leaves_first() -> None:
    """Guards against callers that are cut off while idle connections stay."""
    _, holdings, _ = filled(
        (Stage.READING, 0.0, MB),
        (Stage.IDLE, 2.0, 0),
        (Stage.IDLE, 1.0, 0),
        (Stage.SERVING, 0.0, 0),
    )
    assert first_to_leave(holdings, 9.0) is holdings[2]
    assert first_to_leave((holdings[0], holdings[3]), 9.0) is holdings[0]
    assert first_to_leave((holdings[3],), 9.0) is None


@pytest.mark.parametrize("memory_mb", [0, 8, 64, 96, 150, 300, 24_000])
def test_clients_never_get_what_the_process_needs_itself(memory_mb: int) -> None:
    """Guards against an account that leaves a process nothing, or clients."""
    held = clients_bytes(memory_mb * MB)
    assert held <= max((memory_mb * MB - OWN_BYTES) // 2, memory_mb * MB // LEAST_PART)
    assert held > 0 or memory_mb == 0


def test_the_largest_body_of_the_pages_fits_on_the_smallest_machine() -> None:
    """Guards against a bound that a client inside the limits meets in calm."""
    account = MemoryAccount.of_machine(150 * MB)
    assert new_request(account, now=0.0, size=4 * MB + CONNECTION_BYTES)
    assert account.largest_bytes >= 6 * 4 * MB
