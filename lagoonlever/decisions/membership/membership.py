"""The view that one VM has of the entry VMs: the members, their states and their loads.

A view may be wrong. ``DEAD`` means that no VM has reached the member for a while; the member
may be paused or cut off, may still act, and may come back under the same incarnation. Only a
newer incarnation of the same name proves that an incarnation has ended.
"""

from __future__ import annotations

import enum

import attrs

from lagoonlever.http.messages import Address
from lagoonlever.identity import Incarnation


class MemberState(enum.Enum):
    """The state of a member, by which callers and peers are directed to it or away from it."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@attrs.frozen(kw_only=True)
class Member:
    """One incarnation of an entry VM; ``load`` is the share of its capacity in use (0 to 1)."""

    incarnation: Incarnation
    data_center: str
    http: Address
    """Where it listens for callers."""
    peers: Address
    """Where it listens for messages of other entry VMs."""
    state: MemberState
    load: float = 0.0

    @property
    def name(self) -> str:
        """The name of the VM."""
        return self.incarnation.name


@attrs.frozen(kw_only=True)
class MemberView:
    """All known members including this VM: one incarnation per name, ordered by name."""

    members: tuple[Member, ...]
    own: Incarnation
    _by_name: dict[str, Member] = attrs.field(init=False, eq=False, repr=False)

    def __attrs_post_init__(self) -> None:
        by_name = {member.name: member for member in self.members}
        object.__setattr__(self, "_by_name", by_name)

    @property
    def alive(self) -> tuple[Member, ...]:
        """The members that may be given new work."""
        return self._in_states(MemberState.ALIVE)

    @property
    def reachable(self) -> tuple[Member, ...]:
        """The members that messages may be sent to: all but the dead."""
        return self._in_states(MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING)

    @property
    def own_member(self) -> Member | None:
        """The entry of this VM; None when a newer incarnation of its name is known."""
        return self.find(self.own)

    @property
    def own_state(self) -> MemberState | None:
        """The state of this VM; None when a newer incarnation of its name is known."""
        own = self.own_member
        return own.state if own is not None else None

    @property
    def superseded(self) -> bool:
        """Whether a newer incarnation of this VM's name is known, so this process must end."""
        return self.own_member is None

    def find_by_name(self, name: str) -> Member | None:
        """Return the newest known incarnation of a VM, or None."""
        return self._by_name.get(name)

    def find(self, incarnation: Incarnation) -> Member | None:
        """Return the member of exactly this incarnation, or None."""
        member = self._by_name.get(incarnation.name)
        if member is None or member.incarnation != incarnation:
            return None
        return member

    def is_replaced(self, incarnation: Incarnation) -> bool:
        """Check whether a newer incarnation of the same name is known."""
        member = self._by_name.get(incarnation.name)
        return member is not None and member.incarnation > incarnation

    def _in_states(self, *states: MemberState) -> tuple[Member, ...]:
        return tuple(member for member in self.members if member.state in states)
