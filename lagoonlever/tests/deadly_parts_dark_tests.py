"""Parts of prompts under which engines go dark: nothing is reset, and nobody answers."""

from __future__ import annotations

import pytest

from lagoonlever.fakes.path_proxy import PathState
from lagoonlever.fakes.platform_engine import DeathStage
from lagoonlever.tests.deadly_ends import Ends
from lagoonlever.tests.deadly_parts_paths_tests import lose_paths
from lagoonlever.tests.deadly_parts_tests import LATER, PART, ask_all, ready
from lagoonlever.tests.gateway_site import GatewaySite, run_site


def go_dark(site: GatewaySite, name: str) -> None:
    """Have an engine lose its power: its connections carry nothing, and new ones hang."""
    assert site.paths is not None
    for vm in site.vms:
        site.paths.set(vm, PathState.SILENT, targets=frozenset({site.addresses[name]}))


@pytest.mark.parametrize("cut", [0, 2])
@pytest.mark.parametrize("stage", list(DeathStage))
def test_a_part_is_stopped_whose_engines_go_dark(stage: DeathStage, cut: int) -> None:
    """Nothing breaks off: the engine is only silent, as one whose path is lost."""

    async def story(site: GatewaySite) -> None:
        await ready(site)
        for engine in site.engines.values():
            engine.dies_at = stage
        vms = (f"vm-{number}" for number in range(cut))
        await lose_paths(site, *vms, state=PathState.REFUSED)
        ends = site.deaths = Ends(site, on_end=lambda name: go_dark(site, name))
        await ask_all(site, 36, shared=("system", PART), spacing_s=0.25)
        assert ends
        assert ends.late() <= LATER, (len(ends), ends.late())
        sound = await site.stream("sound-after", vm="vm-3", shared=("system", "desk"))
        assert sound.whole

    run_site(story, engines=60, vms=4, cuttable=True)
