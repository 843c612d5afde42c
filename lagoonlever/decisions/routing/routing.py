"""Routing: chooses a target for each dispatch, and learns from how it ended."""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence

import attrs

from lagoonlever.decisions.routing import affinity as routing_affinity
from lagoonlever.decisions.routing import policies as routing_policies
from lagoonlever.decisions.routing.prefixes import TextTokenMap, text_blocks, token_blocks
from lagoonlever.decisions.routing.state import RoutingState
from lagoonlever.decisions.routing.subsets import grouped_subset
from lagoonlever.decisions.routing.types import (
    EXPECTED_OUTPUT_TOKENS,
    POLICIES,
    Choice,
    ModelQuery,
    NoTarget,
    Policy,
    RequestFeatures,
    policy,
)
from lagoonlever.decisions.targets.targets import ModelKey, Target, TargetView
from lagoonlever.http.messages import Address

__all__ = (
    "POLICIES",
    "Choice",
    "ModelQuery",
    "NoTarget",
    "Policy",
    "RequestFeatures",
    "Router",
    "RoutingState",
    "make_policy",
    "policy",
    "spread",
)

_BUILT_IN = (routing_affinity, routing_policies)
CHARACTERS_A_TOKEN = 4
"""A rough measure of a text's tokens."""

Prompt = str | tuple[int, ...]


def make_policy(name: str) -> Policy:
    """Give the policy of a name; raises ``KeyError`` for an unknown one."""
    return POLICIES[name]()


def spread(
    requests: Sequence[RequestFeatures],
    view: TargetView,
    state: RoutingState,
    *,
    by: Policy,
    rng: random.Random,
) -> list[Choice | NoTarget]:
    """Choose for many requests at once, such as the streams of an engine that died.

    Each choice counts as dispatched before the next is made, the longest prompts
    first: they lose most by a full or a cold engine.
    """
    choices: list[Choice | NoTarget] = [NoTarget(known=False)] * len(requests)
    order = sorted(range(len(requests)), key=lambda index: -requests[index].prompt_tokens)
    for index in order:
        features = requests[index]
        choice = by.choose(features, view, state, rng)
        choices[index] = choice
        if isinstance(choice, Choice):
            state.dispatched(choice.target.name, features.blocks, features.now)
    return choices


@attrs.define(kw_only=True)
class Router:
    """One VM's routing: its policy, its memory and its subset of the targets; no clock."""

    _node: str
    _policy: Policy
    _rng: random.Random
    _subset_size: int
    _state: RoutingState = attrs.field(factory=RoutingState)
    _texts: TextTokenMap = attrs.field(factory=TextTokenMap)
    _lives: dict[str, Address] = attrs.field(factory=dict)
    _nodes: frozenset[str] = frozenset()

    @property
    def state(self) -> RoutingState:
        """The memory, for the policies."""
        return self._state

    def subset_of(self, view: TargetView) -> tuple[Target, ...]:
        """Give the targets that this VM uses and probes."""
        return tuple(target for target in view.targets if self._state.in_subset(target.name))

    def features(
        self,
        *,
        query: ModelQuery,
        prompt: Prompt,
        view: TargetView,
        now: float,
        output_tokens: int = EXPECTED_OUTPUT_TOKENS,
        avoid: Iterable[str] = (),
    ) -> RequestFeatures:
        """Describe one dispatch; a resume gives the prompt's and the released token ids."""
        return RequestFeatures(
            query=query,
            now=now,
            blocks=self._blocks(query, prompt, view),
            prompt_tokens=prompt_size(prompt),
            output_tokens=output_tokens,
            avoid=frozenset(avoid),
        )

    def choose(self, features: RequestFeatures, view: TargetView) -> Choice | NoTarget:
        """Give the target for one dispatch; it counts only once ``dispatched`` is told."""
        return self._policy.choose(features, view, self._state, self._rng)

    def targets_changed(self, view: TargetView, nodes: Iterable[str]) -> None:
        """Take a changed view of the targets, or a changed list of the VMs."""
        lives = {target.name: target.address for target in view.targets if target.takes_work}
        known_nodes = frozenset(nodes)
        if lives == self._lives and known_nodes == self._nodes:
            return
        for name, address in self._lives.items():
            if lives.get(name) != address:
                self._state.forget(name)
        self._lives = lives
        self._nodes = known_nodes
        self._state.use_subset(
            grouped_subset(
                node=self._node, nodes=known_nodes, targets=lives, size=self._subset_size
            )
        )

    def dispatched(self, features: RequestFeatures, target: str) -> None:
        """Note that a request is being written to a target."""
        self._state.dispatched(target, features.blocks, features.now)

    def ended(self, target: str, *, now: float, took_s: float | None = None) -> None:
        """Note that a dispatch is over; ``took_s`` only for an answer's proper end."""
        self._state.ended(target, now, took_s=took_s)

    def prompt_tokenised(
        self, *, model: ModelKey, text: str, token_ids: Sequence[int], target: str
    ) -> None:
        """Take the token ids that an engine gave for a text prompt."""
        tokens = token_blocks(token_ids, model_version=model.version, adapter=model.adapter)
        texts = text_blocks(text, model_version=model.version, adapter=model.adapter)
        self._texts.learn(texts, tokens)
        self._state.prefixes.stored(target, tokens)

    def cache_stored(self, target: str, blocks: Iterable[int]) -> None:
        """Note that an engine reports blocks as cached."""
        self._state.prefixes.stored(target, blocks)

    def cache_removed(self, target: str, blocks: Iterable[int]) -> None:
        """Note that an engine reports blocks as dropped."""
        self._state.prefixes.removed(target, blocks)

    def cache_cleared(self, target: str) -> None:
        """Note that an engine reports its cache as empty."""
        self._state.prefixes.forget(target)

    def _blocks(self, query: ModelQuery, prompt: Prompt, view: TargetView) -> tuple[int, ...]:
        version = query.version or _any_version(query, view)
        if version is None:
            return ()
        if isinstance(prompt, str):
            texts = text_blocks(prompt, model_version=version, adapter=query.adapter)
            return self._texts.translated(texts)
        return token_blocks(prompt, model_version=version, adapter=query.adapter)


def _any_version(query: ModelQuery, view: TargetView) -> str | None:
    """Give a version to hash by; another one at the chosen engine costs a prefill."""
    for target in view.targets:
        key = query.key_at(target) if target.takes_work else None
        if key is not None:
            return key.version
    return None


def prompt_size(prompt: Prompt) -> int:
    """Give a prompt's tokens; those of a text are a rough measure."""
    if isinstance(prompt, str):
        return len(prompt) // CHARACTERS_A_TOKEN + 1
    return len(prompt)
