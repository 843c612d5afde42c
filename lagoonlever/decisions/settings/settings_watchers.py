"""Which VMs watch the settings on the platform, and which VMs have a version in force."""

from __future__ import annotations

import attrs

from lagoonlever.decisions.fleet.rendezvous import rank_by_hash
from lagoonlever.decisions.membership.membership import MemberView
from lagoonlever.identity import Incarnation


def is_watcher(view: MemberView, *, per_data_center: int) -> bool:
    """Tell whether this VM is among the watchers of its data centre.

    Rendezvous hash of the names: every VM finds the same few while views agree,
    and where they differ a VM more or less watches, which costs a call.
    """
    own = view.own_member
    if own is None:
        return True
    near = [member.name for member in view.alive if member.data_center == own.data_center]
    first = rank_by_hash({*near, own.name}, purpose="settings-watcher")[:per_data_center]
    return own.name in first


@attrs.frozen(kw_only=True)
class InForce:
    """Which VMs have at least ``version`` in force, as far as this VM was told; by name."""

    version: int
    in_force: tuple[str, ...]
    behind: tuple[str, ...]
    unreachable: tuple[str, ...]

    @property
    def everywhere(self) -> bool:
        """Whether every VM that is reachable has it."""
        return not self.behind


@attrs.define(kw_only=True)
class InForceTable:
    """The last version that each peer told to have in force."""

    _versions: dict[Incarnation, int] = attrs.field(factory=dict)

    def note(self, peer: Incarnation, version: int | None) -> None:
        """Take note of what a peer told."""
        if version is not None:
            self._versions[peer] = max(version, self._versions.get(peer, 0))

    def has(self, peer: Incarnation, version: int) -> bool:
        """Tell whether a peer is known to have at least a version."""
        return self._versions.get(peer, -1) >= version

    def forget_all_but(self, view: MemberView) -> None:
        """Drop the lives that are no members any more."""
        members = {member.incarnation for member in view.members}
        for peer in list(self._versions):
            if peer not in members:
                del self._versions[peer]

    def report(self, view: MemberView, *, version: int) -> InForce:
        """Tell where a version is in force among the members."""
        reachable = {member.incarnation for member in view.reachable}
        holders = {peer for peer in self._versions if self.has(peer, version)}
        members = sorted(member.incarnation for member in view.members)
        return InForce(
            version=version,
            in_force=tuple(each.name for each in members if each in holders),
            behind=tuple(e.name for e in members if e in reachable and e not in holders),
            unreachable=tuple(e.name for e in members if e not in reachable and e not in holders),
        )
