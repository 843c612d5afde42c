"""Simulated engines that carry out the decisions of the generation state machine."""

from __future__ import annotations

import random

import attrs

from lagoonlever.decisions.streams.generation import GenerationLifecycle
from lagoonlever.decisions.streams.generation_messages import (
    CancelAttempt,
    Decision,
    Dispatch,
    Finish,
    GenerationLimits,
    GenerationSpec,
    Release,
    Restart,
)
from lagoonlever.fakes.tokens import (
    TextDecoder,
    TokenState,
    encode_prompt,
    expected_output,
    next_token,
)

PROMPT = tuple(encode_prompt("the market digest of Jávor"))
LENGTH = 30
SEED = 11


def spec(**changes: object) -> GenerationSpec:
    base = GenerationSpec(
        request_id="r", organisation="/motus", model="m", prompt="p", max_tokens=LENGTH, seed=SEED
    )
    return attrs.evolve(base, **changes)


def lifecycle(
    cls: type[GenerationLifecycle] = GenerationLifecycle, **options: object
) -> GenerationLifecycle:
    defaults = {"spec": spec(), "limits": GenerationLimits(attempts=50), "rng": random.Random(3)}
    return cls(**{**defaults, **options})


def expected(
    *, version: str = "v1", seed: int = SEED, stop: tuple[str, ...] = ()
) -> tuple[int, ...]:
    return expected_output(
        model_version=version, prompt=PROMPT, max_tokens=LENGTH, seed=seed, stop=stop
    ).token_ids


@attrs.define
class EngineStream:
    """Simulated engine stream of one dispatch, token by token."""

    dispatch: Dispatch
    version: str = "v1"
    state: TokenState = attrs.field(init=False)
    decoder: TextDecoder = attrs.field(init=False)
    sent: int = 0
    opened: bool = False

    def __attrs_post_init__(self) -> None:
        start = PROMPT + self.dispatch.prefix
        self.state = TokenState.start(
            model_version=self.version, adapter=None, seed=self.dispatch.seed, prompt=start
        )
        self.decoder = TextDecoder(prompt=start)

    def step(self, lifecycle: GenerationLifecycle) -> list[Decision]:
        """Pass the next token to the state machine and return its decisions."""
        attempt = self.dispatch.attempt
        decisions: list[Decision] = []
        if not self.opened:
            self.opened = True
            decisions += lifecycle.on_opened(
                attempt=attempt, model_version=self.version, prompt_token_ids=PROMPT
            )
        token_id = next_token(self.state)
        self.state = self.state.extended(token_id)
        self.sent += 1
        done = self.sent >= self.dispatch.max_tokens
        return decisions + lifecycle.on_chunk(
            attempt=attempt,
            token_ids=(token_id,),
            text=self.decoder.feed(token_id),
            finish_reason="length" if done else None,
        )


@attrs.define
class Harness:
    """Carries out decisions on simulated engines, which continue even cancelled streams.

    So a test can let a cancelled stream send late tokens.
    """

    lifecycle: GenerationLifecycle
    streams: dict[int, EngineStream] = attrs.field(factory=dict)
    released: list[int] = attrs.field(factory=list)
    restarts: int = 0
    finish: Finish | None = None
    versions: list[str] = attrs.field(factory=lambda: ["v1"])

    def carry_out(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            match decision:
                case Dispatch():
                    version = self.versions[len(self.streams) % len(self.versions)]
                    self.streams[decision.attempt] = EngineStream(decision, version)
                    name = f"engine-{len(self.streams)}"
                    self.lifecycle.record_target(attempt=decision.attempt, target=name)
                    self.lifecycle.record_dispatch(attempt=decision.attempt)
                case Release(pieces=pieces):
                    for piece in pieces:
                        assert piece.start == len(self.released)
                        self.released.extend(piece.token_ids)
                case Restart():
                    self.restarts += 1
                    self.released.clear()
                case Finish():
                    self.finish = decision
                case CancelAttempt():
                    pass

    def begin(self) -> Harness:
        self.carry_out(self.lifecycle.start())
        return self

    def newest(self) -> EngineStream:
        return list(self.streams.values())[-1]

    def step(self, stream: EngineStream, times: int = 1) -> None:
        for _ in range(times):
            if stream.sent < stream.dispatch.max_tokens:
                self.carry_out(stream.step(self.lifecycle))

    def run_out(self) -> None:
        while self.finish is None:
            self.step(self.newest())
