"""Requests that a gateway has given up, on paths that come back."""

from __future__ import annotations

import trio

from lagoonlever.fakes.path_proxy import PathState
from lagoonlever.tests.gateway_site import GatewaySite, run_site

ARRIVES_WITHIN_S = 0.5
"""Far beyond what a path that is open takes to hand on what it held."""


def test_a_request_that_was_given_up_does_not_run_once_its_path_is_back() -> None:
    """Guards against a lookup that runs seconds after its caller was told that time is over.

    Its bytes wait at the lost path, and the kernel sends them on unless the connection is reset.
    """

    async def story(site: GatewaySite) -> None:
        paths = site.paths
        assert paths is not None
        assert (await site.call("/look/1", method="GET")).status == 200
        paths.set("vm-0", PathState.SILENT)
        late = site.headers("r-late", Deadline_Ms="400")
        assert (await site.call("/look/1", method="GET", headers=late)).status != 200
        paths.set("vm-0", PathState.OPEN)
        assert (await site.call("/look/1", method="GET")).status == 200
        await trio.sleep(ARRIVES_WITHIN_S)
        assert all(not runner.runs["r-late"] for runner in site.runners.values())

    run_site(story, cuttable=True, vms=1, engines=0, runners=1)
