"""What the requests of an entry VM hold is paid for until they are forgotten."""

from __future__ import annotations

import random

import attrs
import pytest
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, invariant, rule

from lagoonlever.decisions.admission.held_memory import MemoryAccount
from lagoonlever.decisions.streams.generation import GenerationLifecycle
from lagoonlever.decisions.streams.generation_messages import (
    Dispatch,
    GenerationLimits,
    GenerationSpec,
)
from lagoonlever.decisions.streams.packed_tokens import PackedTokens
from lagoonlever.entry.callers.completion_checks import check_same_request
from lagoonlever.entry.generations.held_requests import HeldRequests, RequestKey, prompt_cost
from lagoonlever.exceptions import RequestRefused

KB = 1024
CAPACITY = 512 * KB


def request(prompt: str | tuple[int, ...] = "prompt", name: str = "r") -> GenerationSpec:
    return GenerationSpec(
        request_id=name, organisation="/", model="m", prompt=prompt, max_tokens=10**6
    )


@attrs.define(kw_only=True)
class Running:
    """A request whose engine has answered so far."""

    life: GenerationLifecycle
    attempt: int

    def tell(self, count: int) -> None:
        if self.life.finished is None:
            self.life.on_chunk(attempt=self.attempt, token_ids=(70_000,) * count, text="word")


def running(spec: GenerationSpec) -> Running:
    life = GenerationLifecycle(spec=spec, limits=GenerationLimits(), rng=random.Random(1))
    (dispatch,) = life.start()
    assert isinstance(dispatch, Dispatch)
    tokens = (70_000,) * len(spec.prompt)
    life.on_opened(attempt=dispatch.attempt, model_version="v", prompt_token_ids=tokens)
    return Running(life=life, attempt=dispatch.attempt)


class HeldRequestsMachine(RuleBasedStateMachine):
    """Requests that come, are answered, are kept, are read again and are forgotten."""

    keys = Bundle("keys")

    def __init__(self) -> None:
        super().__init__()
        self.account = MemoryAccount(capacity_bytes=CAPACITY)
        self.now = 0.0
        self.known: dict[RequestKey, Running] = {}
        self.kept: set[RequestKey] = set()
        self.held = HeldRequests(account=self.account, forget=self.forget, now=lambda: self.now)

    def forget(self, key: RequestKey) -> None:
        assert key in self.kept, "a request gave way that is being answered"
        self.kept.discard(key)
        del self.known[key]

    @rule(target=keys, name=st.integers(0, 6), length=st.integers(0, 40 * KB))
    def open(self, name: int, length: int) -> RequestKey:
        key = ("/", str(name))
        if key not in self.known:
            spec = request("p" * length)
            if self.held.open(key, spec):
                self.known[key] = running(spec)
        return key

    @rule(key=keys, count=st.integers(1, 2000))
    def answer(self, key: RequestKey, count: int) -> None:
        if key in self.known and key not in self.kept:
            self.known[key].tell(count)
            if not self.held.settle(key, self.known[key].life):
                self.held.close(key)
                del self.known[key]

    @rule(key=keys)
    def keep(self, key: RequestKey) -> None:
        if key in self.known:
            self.known[key].life.drop_prompt()
            self.held.keep(key, self.known[key].life)
            self.kept.add(key)

    @rule(key=keys)
    def read_again(self, key: RequestKey) -> None:
        if key in self.kept:
            self.held.resume(key)
            self.held.keep(key, self.known[key].life)

    @rule(key=keys)
    def close(self, key: RequestKey) -> None:
        self.held.close(key)
        self.held.close(key)
        self.known.pop(key, None)
        self.kept.discard(key)

    @rule(seconds=st.floats(0, 30))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @invariant()
    def account_is_the_sum(self) -> None:
        assert self.account.held_bytes == self.held.held_bytes <= CAPACITY

    def teardown(self) -> None:
        for key in list(self.known):
            self.held.close(key)
        assert self.account.held_bytes == 0


TestHeldRequests = HeldRequestsMachine.TestCase


def test_a_kept_answer_makes_room_for_a_new_request() -> None:
    """Guards against a VM that refuses callers because it keeps answers for absent ones."""
    forgotten: list[RequestKey] = []
    now = 0.0
    held = HeldRequests(
        account=MemoryAccount(capacity_bytes=CAPACITY), forget=forgotten.append, now=lambda: now
    )
    large = request("p" * 20 * KB)
    assert held.open(("/", "first"), large)
    assert not held.open(("/", "second"), large)
    assert held.held_bytes == pytest.approx(prompt_cost(large), rel=0.2)
    done = running(large)
    done.life.drop_prompt()
    held.keep(("/", "first"), done.life)
    now = 1.0
    for name in ("second", "third", "fourth"):
        held.open(("/", name), request("p" * 10 * KB))
    assert forgotten == [("/", "first")]
    assert not held.open(("/", "fifth"), large), "what is being answered never gives way"


def test_a_request_that_could_never_be_held_is_known_as_one() -> None:
    """Guards against a caller that is told to come back again and again."""
    held = HeldRequests(account=MemoryAccount(capacity_bytes=CAPACITY), forget=lambda _: None)
    assert held.can_ever_hold(request("p" * 30 * KB))
    assert not held.can_ever_hold(request("p" * 60 * KB))


@pytest.mark.parametrize("prompt", ["some text", (1, 2, 70_000), ""])
def test_a_request_is_known_again_without_its_prompt(prompt: str | tuple[int, ...]) -> None:
    """Guards against the answer to another question, given under a known id."""
    known = request(prompt).without_prompt()
    assert not known.prompt
    check_same_request(known, request(prompt))
    for other in ("other text", (1, 2), "1,2,70000"):
        with pytest.raises(RequestRefused):
            check_same_request(known, request(other))


def test_packed_tokens_are_the_same_tokens() -> None:
    ids = (0, 1, 70_000, 2**32 - 1)
    assert PackedTokens.of(ids).ids == ids
    assert len(PackedTokens.of(ids)) == len(ids)


@pytest.mark.parametrize("odd", [-1, 2**32, 2**70])
def test_odd_tokens_of_a_faulty_engine_are_no_fault_here(odd: int) -> None:
    """Guards against a request that ends in a fault of ours for what an engine reports."""
    assert PackedTokens.of((5, odd)).ids == (5, odd)
