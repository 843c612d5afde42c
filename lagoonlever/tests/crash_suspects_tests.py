"""Requests that end the targets that run them: they stop after the third, wherever they return."""

from __future__ import annotations

from lagoonlever.tests.gateway_site import GatewaySite, run_site

DEADLY = "ends-each"
MOST_ENDED = 3
ALLOWED_AFTER = 3
"""Retries that may still reach a target once three have ended."""


def arrivals(site: GatewaySite) -> int:
    """Give how often the deadly request has reached an engine."""
    parts = (h.get("Prompt-Prefix") or "" for e in site.engines.values() for h in e.seen)
    return sum(DEADLY in part for part in parts)


def test_a_stream_that_ends_engines_is_stopped_wherever_its_caller_returns() -> None:
    """Summaries fail for a minute, as most engines are starting.

    One question ends each engine as it begins to run: its answer's head comes, then nothing.
    The VM tries as many engines as the route allows. The caller returns to another VM, which
    knows of lost engines and nothing of what they were running, and allows as many again.
    """

    async def story(site: GatewaySite) -> None:
        site.deadly.add(DEADLY)
        for number in range(4):
            await site.stream(DEADLY, vm=f"vm-{number % 3}")
        assert len(site.deaths) <= MOST_ENDED
        assert arrivals(site) <= MOST_ENDED + ALLOWED_AFTER

    run_site(story, engines=15, vms=3)


def test_a_stream_that_ended_engines_stays_stopped_after_a_loss_of_all_vms() -> None:
    """Three engines have ended under a question, and then all VMs lose power.

    Its caller returns once they are back. No VM remembers anything of before, and the next
    engines end.
    """

    async def story(site: GatewaySite) -> None:
        site.deadly.add(DEADLY)
        await site.stream(DEADLY)
        for vm in site.vms.values():
            vm.kill()
        for name in tuple(site.vms):
            await site.wait_ready(await site.start_vm(name))
        ended = len(site.deaths)
        for name in site.vms:
            await site.stream(DEADLY, vm=name)
        assert len(site.deaths) == ended

    run_site(story, engines=15)


def test_a_call_that_ends_runners_is_stopped_wherever_its_caller_returns() -> None:
    """A lookup ends each application runner that works on it.

    Its caller returns to one VM after the other, and each sends it to two runners more, until
    bids and lookups of everybody find none.
    """

    async def story(site: GatewaySite) -> None:
        site.deadly.add(DEADLY)
        for number in range(6):
            await site.call("/look/1", vm=f"vm-{number % 3}", body=DEADLY.encode())
        assert len(site.deaths) <= MOST_ENDED

    run_site(story, engines=0, runners=12, vms=3)
