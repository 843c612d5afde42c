"""An entry VM that the platform lists as leaving performs its own planned stop."""

from __future__ import annotations

import attrs
import trio

from lagoonlever.config.vm import VmSettings
from lagoonlever.decisions.fleet.addresses import AddressesSettings
from lagoonlever.fakes.cluster import EmbeddedCluster

TIMEOUT_S = 40


def test_a_vm_that_is_listed_as_leaving_ends_by_itself() -> None:
    """Callers' streams break when the platform removes a VM that it had listed as leaving.

    The list named the VM as leaving for a minute. The VM sent callers to others, but never
    began its own planned stop, so it was still serving streams when it was removed.
    """

    def short_lifetime(settings: VmSettings) -> VmSettings:
        return attrs.evolve(settings, addresses=AddressesSettings(lifetime_s=1.0))

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            cluster = EmbeddedCluster(nursery=nursery, adjust=short_lifetime)
            with trio.fail_after(TIMEOUT_S):
                await cluster.start(engines=1, vms=2)
                vm = cluster.vms["vm-1"]
                cluster.set_leaving("vm-1")
                await vm.daemon.wait_ended()
            nursery.cancel_scope.cancel()

    trio.run(main)
