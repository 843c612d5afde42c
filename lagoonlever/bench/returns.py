"""A caller's return after its VM's death: three ways to go on, by latency and engine work.

Each run kills the entry VM of one stream on an embedded deployment. The ways:
the caller brings the tokens that it holds; it brings its last event id alone and
the new VM fetches the tokens from the engine; and, as the baseline, it asks anew.
"""

from __future__ import annotations

import random

import attrs
import trio

from lagoonlever.bench.report import BenchOptions, BenchResult, Rows, benchmark, column
from lagoonlever.bench.statistics import quantile
from lagoonlever.client.caller import Arrival, Caller, CompletionRequest
from lagoonlever.decisions.shares.shares import work_of
from lagoonlever.fakes.batch import ServedModel
from lagoonlever.fakes.cluster import MODEL, VERSION, EmbeddedCluster
from lagoonlever.fakes.engine import EngineOptions
from lagoonlever.fakes.tokens import encode_prompt, expected_output
from lagoonlever.http.messages import Address
from lagoonlever.logs import LogLevel, set_up_logs

VMS = 3
ENGINES = 3
LENGTH = 240
DIES_AT = 120
TOKEN_INTERVAL_S = 0.01
PROMPT = "morning market digest of chili and shallot for the north and the south district" * 4
RUNS = 20
QUICK_RUNS = 6
START_TIMEOUT_S = 30.0


@attrs.frozen(kw_only=True)
class ReturnRow:
    """One way of coming back."""

    way: str = column("way")
    runs: int = column("runs", digits=0)
    whole: int = column("whole", digits=0)
    median_s: float | None = column("median s", digits=3)
    p95_s: float | None = column("p95 s", digits=3)
    extra_work: float = column("extra engine work", digits=3)


@attrs.define(kw_only=True)
class _Outcome:
    latencies_s: list[float] = attrs.field(factory=list)
    whole: int = 0
    work: float = 0.0


@attrs.define(kw_only=True, eq=False)
class _Run:
    """One stream whose VM dies at ``DIES_AT`` tokens; latency counts from there to the next."""

    cluster: EmbeddedCluster
    seed: int
    died_at: float | None = None
    went_on_at: float | None = None

    def arrived(self, arrival: Arrival) -> None:
        """Take a piece of the answer; kill its VM, or note that it goes on."""
        if self.died_at is None and arrival.offset >= DIES_AT:
            self.died_at = arrival.at
            name = self._vm_at(arrival.vm)
            self.cluster.kill_vm(name)
        elif self.died_at is not None and self.went_on_at is None and arrival.offset > DIES_AT:
            self.went_on_at = arrival.at

    def request(self) -> CompletionRequest:
        """Give the request of this run."""
        return CompletionRequest(model=MODEL, prompt=PROMPT, max_tokens=LENGTH, seed=self.seed)

    def is_whole(self, text: str) -> bool:
        """Tell whether a text is the whole answer."""
        expected = expected_output(
            model_version=VERSION,
            prompt=encode_prompt(PROMPT),
            max_tokens=LENGTH,
            seed=self.seed,
        )
        return text == expected.text

    def _vm_at(self, address: str) -> str:
        vms = self.cluster.vms.items()
        return next(name for name, vm in vms if str(vm.daemon.address) == address)


async def _come_back(run: _Run, addresses: list[Address], *, brings_tokens: bool) -> bool:
    caller = Caller(addresses=addresses, rng=random.Random(run.seed), brings_tokens=brings_tokens)
    held = await caller.complete(run.request(), on_arrival=run.arrived)
    return run.is_whole(held.text)


async def _ask_anew(run: _Run, addresses: list[Address]) -> bool:
    """Ask until the VM dies, then as if nothing had come: a client without any resuming."""
    with trio.CancelScope() as scope:

        def arrived(arrival: Arrival) -> None:
            run.arrived(arrival)
            if run.died_at is not None:
                scope.cancel()

        caller = Caller(addresses=addresses, rng=random.Random(run.seed))
        await caller.complete(run.request(), on_arrival=arrived)
    caller = Caller(addresses=addresses, rng=random.Random(run.seed + 1))
    held = await caller.complete(run.request(), on_arrival=run.arrived)
    return run.is_whole(held.text)


async def _bring(run: _Run, addresses: list[Address]) -> bool:
    return await _come_back(run, addresses, brings_tokens=True)


async def _fetch(run: _Run, addresses: list[Address]) -> bool:
    return await _come_back(run, addresses, brings_tokens=False)


WAYS = {
    "asks anew (baseline)": _ask_anew,
    "event id, tokens from the engine": _fetch,
    "brings its tokens": _bring,
}


async def _measure(way: str, options: BenchOptions) -> _Outcome:
    outcome = _Outcome()
    for number in range(QUICK_RUNS if options.quick else RUNS):
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
            run = _Run(cluster=cluster, seed=options.seed * 1000 + number)
            outcome.whole += await WAYS[way](run, cluster.addresses())
            if run.died_at is not None and run.went_on_at is not None:
                outcome.latencies_s.append(run.went_on_at - run.died_at)
            outcome.work += _work(cluster)
            nursery.cancel_scope.cancel()
    return outcome


def _work(cluster: EmbeddedCluster) -> float:
    return sum(
        work_of(prefill_tokens=work.prefill_tokens, decode_tokens=work.decode_tokens)
        for work in (engine.total_work for engine in cluster.engines.values())
    )


@benchmark("returns", summary="a caller's return after its VM died: latency and engine work")
def run_returns(options: BenchOptions) -> BenchResult:
    """Measure each way of coming back."""
    set_up_logs(level=LogLevel.CRITICAL)
    runs = QUICK_RUNS if options.quick else RUNS
    needed = runs * work_of(prefill_tokens=len(encode_prompt(PROMPT)), decode_tokens=LENGTH)
    rows = []
    for way in WAYS:
        outcome = trio.run(_measure, way, options)
        row = ReturnRow(
            way=way,
            runs=runs,
            whole=outcome.whole,
            median_s=quantile(outcome.latencies_s, 0.5),
            p95_s=quantile(outcome.latencies_s, 0.95),
            extra_work=outcome.work / needed - 1,
        )
        rows.append(row)
    return BenchResult(
        name="returns",
        tables=(Rows(title="Return at another VM after a VM's death", rows=tuple(rows)),),
        notes=(
            f"{ENGINES} engines, {VMS} VMs, answers of {LENGTH} tokens, death at {DIES_AT}, "
            f"{TOKEN_INTERVAL_S * 1000:g} ms a token; extra work against a run without a death",
        ),
    )
