"""What stories of requests that end their targets share."""

from __future__ import annotations

from lagoonlever.http.client import Response
from lagoonlever.tests.gateway_site import GatewaySite, until_within

DEADLY = "ends-each"
MOST_ENDED = 3
TOLD_S = 3.0
"""Within this every VM refuses what has ended three targets."""


async def deadly(site: GatewaySite) -> None:
    """Have a request end each target from now on; VMs know each other by then."""
    site.deadly.add(DEADLY)
    await site.wait_met()


async def told(site: GatewaySite) -> None:
    """Wait until each VM has heard of every end, which takes it some milliseconds."""
    known = [vm.daemon.parts.crashes._suspects for vm in site.vms.values()]

    def all_know() -> bool:
        counts = [sum(len(p) for p in suspects.crashes.values()) for suspects in known]
        return min(counts) >= len(site.deaths)

    await until_within(TOLD_S, all_know)


async def call(site: GatewaySite, kind: str, *, vm: str = "vm-0") -> Response:
    """Send the deadly call."""
    return await site.call(f"/{kind}/1", vm=vm, body=DEADLY.encode())
