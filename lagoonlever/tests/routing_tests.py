"""Tests of routing: matching, prefixes, no herds, spread of a dead engine's streams, subsets."""

from __future__ import annotations

import random
from collections import Counter

import hypothesis.strategies as st
import pytest
from hypothesis import given, settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lagoonlever.decisions.routing.prefixes import (
    PrefixIndex,
    TextTokenMap,
    text_blocks,
    token_blocks,
)
from lagoonlever.decisions.routing.routing import (
    POLICIES,
    Choice,
    ModelQuery,
    NoTarget,
    RequestFeatures,
    Router,
    RoutingState,
    make_policy,
    spread,
)
from lagoonlever.decisions.routing.subsets import grouped_subset
from lagoonlever.decisions.targets.targets import (
    ModelKey,
    Target,
    TargetKind,
    TargetLoad,
    TargetState,
    TargetView,
)
from lagoonlever.fakes import tokens as fake_tokens
from lagoonlever.http.messages import Address

KEYS = (
    ModelKey(name="base", version="1"),
    ModelKey(name="base", version="2"),
    ModelKey(name="base", version="1", adapter="lots"),
    ModelKey(name="other", version="1"),
)
SLOTS = 16


def engine(
    index: int,
    *,
    models: tuple[ModelKey, ...] = KEYS[:1],
    state: TargetState = TargetState.LIVE,
    busy: int | None = None,
    impaired: bool = False,
) -> Target:
    load = None
    if busy is not None:
        running, waiting = min(busy, SLOTS), max(0, busy - SLOTS)
        load = TargetLoad(running=running, waiting=waiting, slots=SLOTS, received_at=0.0)
    return Target(
        name=f"engine-{index}",
        address=Address(host="10.0.0.1", port=8000 + index),
        kind=TargetKind.ENGINE,
        models=models,
        state=state,
        load=load,
        impaired=impaired,
    )


def asking(query: ModelQuery | None = None, **fields: object) -> RequestFeatures:
    return RequestFeatures(query=query or ModelQuery(name="base"), now=0.0, **fields)


targets = st.builds(
    lambda models, state, busy, impaired: {
        "models": tuple(models),
        "state": state,
        "busy": busy,
        "impaired": impaired,
    },
    st.lists(st.sampled_from(KEYS), unique=True),
    st.sampled_from(TargetState),
    st.none() | st.integers(0, 40),
    st.booleans(),
)


@pytest.mark.parametrize("name", sorted(POLICIES))
@settings(deadline=None)
@given(
    fleet=st.lists(targets, max_size=8),
    key=st.sampled_from(KEYS),
    versioned=st.booleans(),
    avoided=st.sets(st.integers(0, 7)),
    blocks=st.lists(st.integers(0, 2**64 - 1), max_size=12),
    seed=st.integers(0, 99),
)
def test_a_choice_serves_the_model_and_takes_work(
    name: str,
    fleet: list[dict[str, object]],
    key: ModelKey,
    versioned: bool,
    avoided: set[int],
    blocks: list[int],
    seed: int,
) -> None:
    view = TargetView(targets=tuple(engine(i, **fields) for i, fields in enumerate(fleet)))
    query = ModelQuery(
        name=key.name, adapter=key.adapter, version=key.version if versioned else None
    )
    avoid = frozenset(f"engine-{index}" for index in avoided)
    features = asking(query, blocks=tuple(blocks), prompt_tokens=200, avoid=avoid)
    possible = [
        target
        for target in view.targets
        if target.takes_work and target.name not in avoid and query.key_at(target)
    ]
    choice = make_policy(name).choose(features, view, RoutingState(), random.Random(seed))
    if not possible:
        assert isinstance(choice, NoTarget)
        return
    assert isinstance(choice, Choice)
    assert choice.target in possible
    assert choice.model.adapter == key.adapter
    if any(not target.impaired for target in possible):
        assert not choice.target.impaired


def herd(policy: str) -> int:
    """Let nine routers read the same old report of one idle engine among busy ones.

    A user's request would wait in the queue that this very report caused. Order:
    report, 27 requests at each router, the next report. Cause: all act alike on it.
    """
    fleet = [engine(index, busy=0 if index == 3 else 12) for index in range(10)]
    view = TargetView(targets=tuple(fleet))
    counts: Counter[str] = Counter()
    for router in range(9):
        state, rng, chooser = RoutingState(), random.Random(router), make_policy(policy)
        for _ in range(27):
            choice = chooser.choose(asking(), view, state, rng)
            assert isinstance(choice, Choice)
            state.dispatched(choice.target.name, (), 0.0)
            counts[choice.target.name] += 1
    return max(counts.values())


def test_an_old_report_of_an_idle_engine_draws_no_herd() -> None:
    assert herd("affinity") < 2 * 9 * 27 / 10
    assert herd("least_loaded") == 9 * 27


def test_requests_follow_their_prefix_until_waiting_costs_more() -> None:
    view = TargetView(targets=tuple(engine(index, busy=4) for index in range(8)))
    state, policy, rng = RoutingState(), make_policy("affinity"), random.Random(1)
    features = asking(blocks=tuple(range(200)), prompt_tokens=3200)
    state.dispatched("engine-5", features.blocks, 0.0)
    followed = 0
    for _ in range(200):
        choice = policy.choose(features, view, state, rng)
        assert isinstance(choice, Choice)
        if choice.target.name != "engine-5":
            break
        assert choice.matched_blocks == 200
        state.dispatched(choice.target.name, features.blocks, 0.0)
        followed += 1
    assert 1 < followed < SLOTS + 4


@pytest.mark.parametrize("policy", ["affinity", "least_loaded"])
def test_streams_of_a_dead_engine_spread_over_the_rest(policy: str) -> None:
    """Many answers stop at once as their engine dies, and must not all go on at one other.

    A user would wait for seconds behind the others' prefills. Order: death, 40
    resumes in one moment. Cause: every resume sees the loads of before.
    """
    fleet = [engine(index, busy=2 if index == 1 else 4) for index in range(6)]
    view = TargetView(targets=tuple(fleet))
    resumes = [
        asking(blocks=(index,) * 20, prompt_tokens=320 + index, avoid=frozenset({"engine-0"}))
        for index in range(40)
    ]
    state = RoutingState()
    choices = spread(resumes, view, state, by=make_policy(policy), rng=random.Random(3))
    counts = Counter(choice.target.name for choice in choices if isinstance(choice, Choice))
    assert "engine-0" not in counts and sum(counts.values()) == 40
    assert (max(counts.values()) <= 12) is (policy == "affinity")


def test_a_target_that_comes_back_elsewhere_is_taken_to_hold_nothing() -> None:
    router = Router(
        node="vm-1", policy=make_policy("affinity"), rng=random.Random(1), subset_size=9
    )
    view = TargetView(targets=(engine(0),))
    router.targets_changed(view, ["vm-1"])
    router.cache_stored("engine-0", [1, 2, 3])
    assert router.state.prefixes.matches((1, 2, 9)) == {"engine-0": 2}
    moved = engine(0)
    moved = Target(
        name=moved.name,
        address=Address(host="10.0.0.2", port=1),
        kind=moved.kind,
        models=moved.models,
    )
    router.targets_changed(TargetView(targets=(moved,)), ["vm-1"])
    assert router.state.prefixes.matches((1, 2, 9)) == {}


class PrefixIndexMachine(RuleBasedStateMachine):
    """The index against plain sets; nothing is dropped below its capacity."""

    def __init__(self) -> None:
        super().__init__()
        self.index = PrefixIndex(capacity=1000)
        self.held: dict[str, set[int]] = {}

    names = st.sampled_from(["a", "b", "c"])
    blocks = st.lists(st.integers(0, 12), max_size=6)

    @rule(name=names, blocks=blocks)
    def store(self, name: str, blocks: list[int]) -> None:
        self.index.stored(name, blocks)
        self.held.setdefault(name, set()).update(blocks)

    @rule(name=names, blocks=blocks)
    def remove(self, name: str, blocks: list[int]) -> None:
        self.index.removed(name, blocks)
        self.held.setdefault(name, set()).difference_update(blocks)

    @rule(name=names)
    def forget(self, name: str) -> None:
        self.index.forget(name)
        self.held.pop(name, None)

    @rule(blocks=blocks)
    def look_up(self, blocks: list[int]) -> None:
        depths = {}
        for name, held in self.held.items():
            depth = next((i for i, block in enumerate(blocks) if block not in held), len(blocks))
            if depth:
                depths[name] = depth
        assert self.index.matches(blocks) == depths

    @invariant()
    def holds_no_block_without_a_holder(self) -> None:
        assert len(self.index) == len(set().union(*self.held.values()))


TestPrefixIndex = PrefixIndexMachine.TestCase


def test_the_index_is_bounded() -> None:
    index = PrefixIndex(capacity=100)
    for start in range(0, 10_000, 10):
        index.stored("a", range(start, start + 10))
    assert len(index) == 100
    assert index.matches(range(9_950, 9_960)) == {"a": 10}


@given(st.lists(st.integers(0, 300), max_size=80), st.none() | st.just("lots"))
def test_block_hashes_are_those_of_the_engines_events(ids: list[int], adapter: str | None) -> None:
    ours = token_blocks(ids, model_version="7", adapter=adapter)
    assert list(ours) == fake_tokens.block_hashes(ids, model_version="7", adapter=adapter)


def test_a_known_text_is_looked_up_by_the_engines_blocks() -> None:
    text = "the price of chili in the north district " * 20
    ids = fake_tokens.encode_prompt(text)
    texts = text_blocks(text, model_version="1", adapter=None)
    blocks = token_blocks(ids, model_version="1", adapter=None)
    known = TextTokenMap()
    assert known.translated(texts) == texts
    known.learn(texts, blocks)
    index = PrefixIndex()
    index.stored("a", blocks)
    assert index.matches(known.translated(texts)) == {"a": len(texts)}


@settings(deadline=None, max_examples=30)
@given(st.integers(1, 60), st.integers(1, 90), st.integers(1, 30))
def test_every_target_is_used_by_about_as_many_vms(nodes: int, count: int, size: int) -> None:
    names = [f"vm-{index}" for index in range(nodes)]
    fleet = [f"engine-{index}" for index in range(count)]
    uses: Counter[str] = Counter()
    for name in names:
        subset = grouped_subset(node=name, nodes=names, targets=fleet, size=size)
        uses.update(fleet if subset is None else subset)
    assert set(uses) == set(fleet)
    assert max(uses.values()) - min(uses.values()) <= 1
