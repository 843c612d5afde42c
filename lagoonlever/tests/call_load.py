"""A load of calls on a site, spread over its VMs."""

from __future__ import annotations

import itertools
from collections.abc import Iterable

import trio

from lagoonlever.http.client import Response
from lagoonlever.tests.gateway_site import GatewaySite


async def call_for(
    site: GatewaySite, seconds: float, *, per_s: float, vms: Iterable[str] | None = None
) -> list[Response]:
    """Send bids and lookups in turn, at one VM after the other; return the answers."""
    answers: list[Response] = []

    async def one(vm: str, path: str) -> None:
        method = "GET" if path.startswith("/look") else "POST"
        answers.append(await site.call(path, vm=vm, method=method))

    turns = itertools.cycle(site.vms if vms is None else vms)
    paths = itertools.cycle(("/bid/1", "/look/1"))
    ends = trio.current_time() + seconds
    async with trio.open_nursery() as nursery:
        while trio.current_time() < ends:
            nursery.start_soon(one, next(turns), next(paths))
            await trio.sleep(1.0 / per_s)
    return answers
