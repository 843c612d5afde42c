"""What was learnt of engines outlives a loss of all VMs, in the platform's store."""

from __future__ import annotations

import json

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from lagoonlever.decisions.engines.engine_timings import EngineTimings, StoredTimings
from lagoonlever.fakes.metadata_store import StoreFault
from lagoonlever.gateway import pace_keeper
from lagoonlever.gateway.pace_keeper import PACES_KEY
from lagoonlever.platform.store_wire import TRANSACTION
from lagoonlever.tests.engine_paces_tests import SERVICE, needed_s, seen
from lagoonlever.tests.gateway_site import GatewaySite, run_site, until

KEPT = StoredTimings(prompt_token_s=0.0002, token_s=0.009, reading_s=2.0)
FIGURE = st.floats(min_value=1e-9, max_value=1e9)


@pytest.fixture(autouse=True)
def often(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(pace_keeper, "LOOK_EVERY_S", 0.05)


def test_what_was_kept_holds_until_streams_were_seen() -> None:
    paces = EngineTimings()
    paces.restore(SERVICE, KEPT, 0.0)
    assert paces.usual_prefill_s(SERVICE) == 2.0
    assert paces.stored_timings() == {SERVICE: KEPT}
    learnt = seen(times=1.0)
    before = needed_s(learnt)
    learnt.restore(SERVICE, KEPT, 20.0)
    assert needed_s(learnt) == before


def test_a_start_reads_the_kept_figures_for_a_tenth_of_a_call() -> None:
    """Of hundreds of VMs each start read them at the full price: a fifth of all calls."""

    async def story(site: GatewaySite) -> None:
        assert site.store.stale_reads[PACES_KEY] == len(site.vms)

    run_site(story)


@given(prompt_token_s=FIGURE, token_s=FIGURE, reading_s=FIGURE)
def test_odd_figures_are_held_within_a_bound(
    prompt_token_s: float, token_s: float, reading_s: float
) -> None:
    kept = StoredTimings(prompt_token_s=prompt_token_s, token_s=token_s, reading_s=reading_s)
    paces = EngineTimings()
    paces.restore(SERVICE, kept, 0.0)
    assert 0.1 < paces.usual_prefill_s(SERVICE) <= 8.0
    assert needed_s(paces) < 8.0 * needed_s(EngineTimings()) + 1e-9


def test_after_a_loss_of_all_vms_a_hopeless_return_is_refused_by_what_was_known() -> None:
    """Engines take 25 ms for an event. All VMs are killed, and start again.

    The first caller comes back with a second left, for an answer of four. No VM has seen a
    stream; what the VMs before them learnt is in the store.
    """

    async def story(site: GatewaySite) -> None:
        for engine in site.engines.values():
            engine.prefill_tokens_per_s, engine.event_s = 2_500.0, 0.05
        first = await site.stream("p1", events=40, prompt_tokens=5000)
        assert first.status == 200 and first.whole
        await until(lambda: PACES_KEY in site.store.keys("lagoonlever/"))
        for vm in site.vms.values():
            vm.kill()
        for name in tuple(site.vms):
            await site.wait_ready(await site.start_vm(name))
        book = site.vms["vm-1"].daemon.parts.beliefs.book
        await until(lambda: book.timings.stored_timings())
        got = await site.stream("p2", vm="vm-1", events=190, prompt_tokens=5000, Deadline_Ms="2500")
        assert got.status == 503
        assert not any(engine.read_tokens["p2"] for engine in site.engines.values())

    run_site(story)


def test_what_others_wrote_there_harms_nothing_and_is_written_over() -> None:
    async def story(site: GatewaySite) -> None:
        for value in (b"\xff", b"[1]", b'{"engines": {"token_s": -1}}', b"{" * 3_000):
            site.store.put(PACES_KEY, value)
            vm = await site.start_vm("vm-2")
            await site.wait_ready(vm)
            vm.kill()
            await trio.sleep(0.05)
        got = await site.stream("p1", events=20, prompt_tokens=2000)
        assert got.status == 200 and got.whole

        def stored() -> object:
            for item in site.store._range(PACES_KEY):
                try:
                    return json.loads(item.value).get("engines")
                except ValueError:
                    return None
            return None

        await until(stored)

    run_site(story)


def test_figures_that_hardly_change_cost_no_calls() -> None:
    """Three VMs read for the others and see the same streams: one of them writes, once."""

    async def story(site: GatewaySite) -> None:
        for number in range(3):
            got = await site.stream(f"p{number}", events=20, prompt_tokens=2000)
            assert got.status == 200 and got.whole
        await until(lambda: PACES_KEY in site.store.keys("lagoonlever/"))
        await trio.sleep(0.3)
        before = site.store.calls[TRANSACTION]
        await trio.sleep(0.5)
        assert site.store.calls[TRANSACTION] - before <= 1

    run_site(story, vms=3)


def test_a_start_while_the_store_is_silent_goes_on_without_them() -> None:
    async def story(site: GatewaySite) -> None:
        site.store.fault = StoreFault.REFUSING
        await site.wait_ready(await site.start_vm("vm-2"))
        got = await site.stream("p1", vm="vm-2", events=10)
        assert got.status == 200 and got.whole

    run_site(story)
