"""The paths from the gateways of a site to its targets, each of which can be cut."""

from __future__ import annotations

import functools

import attrs
import trio

from lagoonlever.fakes.path_proxy import PathProxy, PathState
from lagoonlever.http.client import ClientConnection, Opener
from lagoonlever.http.messages import Address
from lagoonlever.tests.free_ports import free_address


@attrs.define(kw_only=True, eq=False)
class CuttablePaths:
    """A proxy for each gateway and target, started when it is first used."""

    nursery: trio.Nursery
    _proxies: dict[tuple[str, Address], PathProxy] = attrs.field(factory=dict)
    _states: dict[str, PathState] = attrs.field(factory=dict)
    """The state of all paths of a gateway, but for those to some targets."""
    _target_states: dict[tuple[str, Address], PathState] = attrs.field(factory=dict)
    """The state of a gateway's path to one target."""

    def opener(self, vm: str) -> Opener:
        """Return what opens the connections of a gateway to targets."""
        return functools.partial(self._open, vm)

    def set(self, vm: str, state: PathState, *, targets: frozenset[Address] | None = None) -> None:
        """Put the paths of a gateway into a state: all of them, or those to some targets.

        It holds for paths that are used later, too.
        """
        if targets is None:
            self._states[vm] = state
            for path in [path for path in self._target_states if path[0] == vm]:
                del self._target_states[path]
        else:
            self._target_states.update({(vm, target): state for target in targets})
        for (name, address), proxy in self._proxies.items():
            if name == vm and (targets is None or address in targets):
                proxy.set(state)

    def _state(self, vm: str, address: Address) -> PathState:
        of_all = self._states.get(vm, PathState.OPEN)
        return self._target_states.get((vm, address), of_all)

    async def _open(self, vm: str, address: Address, *, timeout_s: float) -> ClientConnection:
        proxy = self._proxies.get((vm, address))
        if proxy is None:
            proxy = PathProxy(listen=free_address(), target=address)
            proxy.set(self._state(vm, address))
            self._proxies[(vm, address)] = proxy
            await self.nursery.start(proxy.run)
        return await proxy.open(address, timeout_s=timeout_s)
