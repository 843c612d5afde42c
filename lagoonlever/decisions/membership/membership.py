"""What one VM believes of the entry VMs: the members, their states, their loads.

A view is a belief. ``DEAD`` means that nobody reached the member for a while; it
may be paused or cut off, still act, and come back under the same incarnation.
Only a newer incarnation of the same name proves that a life is over.
"""

from __future__ import annotations

import enum

import attrs

from lagoonlever.http.messages import Address
from lagoonlever.identity import Incarnation


class MemberState(enum.Enum):
    """The state of a member, as its VM's callers and peers should treat it."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@attrs.frozen(kw_only=True)
class Member:
    """One incarnation of an entry VM; ``load`` is the share of its capacity in use."""

    incarnation: Incarnation
    data_center: str
    http: Address
    peers: Address
    state: MemberState
    load: float = 0.0

    @property
    def name(self) -> str:
        """The name of the VM."""
        return self.incarnation.name


@attrs.frozen(kw_only=True)
class MemberView:
    """All known members, one a name, ordered by name, with this VM among them."""

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
        """The members that are worth a message: all but the dead."""
        return self._in_states(MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING)

    @property
    def own_member(self) -> Member | None:
        """The own entry in the view; None when a newer life of its name is known."""
        return self.find(self.own)

    @property
    def own_state(self) -> MemberState | None:
        """The state of the own entry; None when a newer life of its name is known."""
        own = self.own_member
        return own.state if own is not None else None

    @property
    def superseded(self) -> bool:
        """Whether a newer life of this VM's name is known, so that this process must end."""
        return self.own_member is None

    def find_by_name(self, name: str) -> Member | None:
        """Give the newest known life of a VM."""
        return self._by_name.get(name)

    def find(self, incarnation: Incarnation) -> Member | None:
        """Give the member of exactly this incarnation."""
        member = self._by_name.get(incarnation.name)
        if member is None or member.incarnation != incarnation:
            return None
        return member

    def is_replaced(self, incarnation: Incarnation) -> bool:
        """Whether a newer life of the same name proves that this one has been replaced."""
        member = self._by_name.get(incarnation.name)
        return member is not None and member.incarnation > incarnation

    def _in_states(self, *states: MemberState) -> tuple[Member, ...]:
        return tuple(member for member in self.members if member.state in states)
