"""Things that only grow, where processes start again and the store is back from an older copy."""

from __future__ import annotations

import random

import attrs
import pytest
import trio

from lagoonlever.fakes.metadata_store import StoreCopy
from lagoonlever.gateway.version_record import VERSIONS_KEY
from lagoonlever.revisions import Revision
from lagoonlever.tests.gateway_site import GatewaySite, Vm, configuration, run_site, until
from lagoonlever.tests.long_streams_tests import Play
from lagoonlever.tests.stream_versions_tests import start_versions

LOOK_S = 0.02
LATE_VERSION = 0.3
"""Share of the engines' starts that are of the second version, which the first copy lacks."""


@attrs.frozen(kw_only=True)
class _Numbers:
    """What one process of a VM may never see go back."""

    configuration: int
    targets: Revision
    versions: Revision

    @classmethod
    def of(cls, vm: Vm) -> _Numbers:
        beliefs = vm.daemon.parts.beliefs
        return cls(
            configuration=beliefs.version,
            targets=beliefs.targets.as_of,
            versions=beliefs.versions.recorded.revision,
        )

    def is_before(self, former: _Numbers) -> bool:
        """Check whether any of them is lower than it was."""
        return (
            self.configuration < former.configuration
            or self.targets < former.targets
            or self.versions < former.versions
        )


@attrs.define(kw_only=True, eq=False)
class OlderCopies(Play):
    """Engines start again under their ids, VMs too, and the store is back from older copies."""

    _copies: list[StoreCopy] = attrs.field(factory=list)
    _configured: int = 1

    async def run(self) -> None:
        """Play, and look at the numbers of each VM all the while."""
        self._copies.append(self.site.store.copy())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._look)
            await super().run()
            nursery.cancel_scope.cancel()

    async def _look(self) -> None:
        seen: dict[Vm, _Numbers] = {}
        while True:
            for vm in self.site.vms.values():
                if vm.daemon._parts is None:
                    continue
                numbers = _Numbers.of(vm)
                former = seen.get(vm, numbers)
                assert not numbers.is_before(former), (vm.settings.name, former, numbers)
                seen[vm] = numbers
            await trio.sleep(LOOK_S)

    async def _have_faults(self) -> None:
        faults = (
            self._end_engine,
            self._end_engine,
            self._end_vms,
            self._copy,
            self._restore,
            self._restore_while_all_vms_are_away,
            self._configure,
        )
        while True:
            await trio.sleep(self.rng.uniform(0.05, 0.3))
            await self.rng.choice(faults)()

    def _next_version(self) -> str:
        return "v2" if self.rng.random() < LATE_VERSION else "v1"

    async def _copy(self) -> None:
        self._copies.append(self.site.store.copy())

    async def _restore(self) -> None:
        self.counts["restored"] += 1
        copy = StoreCopy(state=self.rng.choice(self._copies).state.copy())
        lost = self.site.store.restore(copy)
        await trio.sleep(self.rng.uniform(0.1, 1.0))
        self.site.store.write_again(lost)

    async def _restore_while_all_vms_are_away(self) -> None:
        self.counts["all vms"] += 1
        names = sorted(self.site.vms)
        for name in names:
            self.site.vms[name].kill()
        await self._restore()
        for name in names:
            vm = await self.site.start_vm(name)
            with trio.move_on_after(2.0):
                await self.site.wait_ready(vm)

    async def _configure(self) -> None:
        self._configured += 1
        self.site.configure(configuration(self._configured))


@pytest.mark.parametrize("seed", range(2))
def test_nothing_that_only_grows_goes_back_and_streams_are_whole(seed: int) -> None:
    """Guards against a stream that repeats events, and a VM that handles by an older version.

    The second version comes after the first copy was made, and the store is back from such a copy,
    also while all VMs are away. The judge of the plays is that of long streams.
    """

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        await start_versions(site, v1=5)
        await until(lambda: b"v1" in (site.store.value(VERSIONS_KEY) or b""))
        play = OlderCopies(site=site, rng=random.Random(seed), without_length=False)
        for name in site.engines:
            play.set_up(name)
        await play.run()
        assert play.counts["whole"]

    run_site(story, engines=0, vms=3)
