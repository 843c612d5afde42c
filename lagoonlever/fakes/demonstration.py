"""The demonstration: generations run on while an engine dies, then an entry VM."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable

import attrs
import trio

from lagoonlever.client.caller import Arrival, Caller, CompletionRequest, NoAnswer
from lagoonlever.decisions.shares.shares import work_of
from lagoonlever.fakes.batch import ServedModel
from lagoonlever.fakes.cluster import MODEL, VERSION, EmbeddedCluster
from lagoonlever.fakes.engine import EngineOptions
from lagoonlever.fakes.tokens import encode_prompt, expected_output

ENGINES = 3
VMS = 3
START_TIMEOUT_S = 30.0
TOKEN_INTERVAL_S = 0.03
LENGTH = 150
ENGINE_DIES_AT = 40
VM_DIES_AT = 90
PROMPTS = (
    "the lot of the red car with a scratch",
    "morning market digest of chili and shallot",
    "service history of the blue car",
    "price of chili at the harbour stall",
)


@attrs.define(kw_only=True)
class Story:
    """One request of the demonstration and what became of it."""

    prompt: str
    seed: int
    arrivals: list[Arrival] = attrs.field(factory=list)
    text: str = ""
    error: str | None = None
    whole: bool = False

    @property
    def tokens(self) -> int:
        """How many tokens have come."""
        return self.arrivals[-1].offset if self.arrivals else 0

    def resumes_s(self) -> list[float]:
        """Give the times between the last piece from one source and the first from another."""
        return [
            later.at - earlier.at
            for earlier, later in itertools.pairwise(self.arrivals)
            if (earlier.vm, earlier.target) != (later.vm, later.target)
        ]


@attrs.frozen(kw_only=True)
class DemonstrationResult:
    """What ``lagoonlever demo`` ends with; latencies in seconds, work as a ratio."""

    whole: bool
    resume_latency_s: list[float]
    extra_work_ratio: float
    answers: int
    engines_killed: int
    vms_killed: int


Note = Callable[[str], None]
Show = Callable[[int, Story, Arrival], None]


@attrs.define(kw_only=True, eq=False)
class Demonstration:
    """Runs the stories on an embedded cluster; ``note`` is told of each death."""

    _note: Note
    _show: Show
    _rng: random.Random = attrs.field(factory=lambda: random.Random(7))
    _engine_died: bool = False
    _vm_died: bool = False

    async def run(self) -> DemonstrationResult:
        """Run everything and give the result."""
        stories = [Story(prompt=prompt, seed=seed) for seed, prompt in enumerate(PROMPTS, 1)]
        async with trio.open_nursery() as nursery:
            cluster = EmbeddedCluster(
                nursery=nursery,
                engine_options=EngineOptions(
                    models=(ServedModel(name=MODEL, version=VERSION),),
                    token_interval_s=TOKEN_INTERVAL_S,
                ),
            )
            with trio.fail_after(START_TIMEOUT_S):
                await cluster.start(engines=ENGINES, vms=VMS)
            self._note(f"{VMS} entry VMs, {ENGINES} engines and the platform run in this process")
            addresses = cluster.addresses()
            async with trio.open_nursery() as callers:
                for number, story in enumerate(stories):
                    caller = Caller(addresses=addresses, rng=self._rng)
                    callers.start_soon(self._tell, cluster, caller, number, story)
            result = self._result(cluster, stories)
            nursery.cancel_scope.cancel()
        return result

    async def _tell(
        self, cluster: EmbeddedCluster, caller: Caller, number: int, story: Story
    ) -> None:
        request = CompletionRequest(
            model=MODEL, prompt=story.prompt, max_tokens=LENGTH, seed=story.seed
        )

        def arrived(arrival: Arrival) -> None:
            story.arrivals.append(arrival)
            self._show(number, story, arrival)
            self._kill_in_turn(cluster, story, arrival)

        try:
            held = await caller.complete(request, on_arrival=arrived)
        except NoAnswer as error:
            story.error = f"{error.outcome}: {error}"
            return
        story.text = held.text
        story.whole = held.text == _expected(story)

    def _kill_in_turn(self, cluster: EmbeddedCluster, story: Story, arrival: Arrival) -> None:
        if not self._engine_died and arrival.offset >= ENGINE_DIES_AT:
            self._engine_died = True
            name = _busiest_engine(cluster)
            cluster.kill_target(name)
            self._note(f"{name} dies with {arrival.offset} tokens of an answer given")
        if not self._vm_died and arrival.offset >= VM_DIES_AT:
            self._vm_died = True
            name = _vm_at(cluster, arrival.vm)
            cluster.kill_vm(name)
            self._note(f"{name} dies with {arrival.offset} tokens of an answer given")

    def _result(self, cluster: EmbeddedCluster, stories: list[Story]) -> DemonstrationResult:
        done = sum(
            work_of(prefill_tokens=work.prefill_tokens, decode_tokens=work.decode_tokens)
            for work in (engine.total_work for engine in cluster.engines.values())
        )
        needed = sum(
            work_of(prefill_tokens=len(encode_prompt(story.prompt)), decode_tokens=LENGTH)
            for story in stories
        )
        return DemonstrationResult(
            whole=all(story.whole for story in stories),
            resume_latency_s=[round(gap, 3) for story in stories for gap in story.resumes_s()],
            extra_work_ratio=round(done / needed - 1, 4),
            answers=len(stories),
            engines_killed=int(self._engine_died),
            vms_killed=int(self._vm_died),
        )


def _expected(story: Story) -> str:
    return expected_output(
        model_version=VERSION,
        prompt=encode_prompt(story.prompt),
        max_tokens=LENGTH,
        seed=story.seed,
    ).text


def _busiest_engine(cluster: EmbeddedCluster) -> str:
    return max(cluster.engines, key=lambda name: len(cluster.engines[name].live_streams))


def _vm_at(cluster: EmbeddedCluster, address: str) -> str:
    return next(name for name, vm in cluster.vms.items() if str(vm.daemon.address) == address)
