"""The differences between two member views, which are logged for operators.

A planned stop and a crash both end in the state ``DEAD``; the changes tell them apart, so that
a planned stop raises no alarm.
"""

from __future__ import annotations

import enum

import attrs

from lagoonlever.decisions.membership.membership import Member, MemberState, MemberView


class ChangeKind(enum.Enum):
    """The kind of a change of one member."""

    JOINED = "joined"
    REPLACED = "replaced"
    RETURNED = "returned"
    SUSPECTED = "suspected"
    LEAVING = "leaving"
    LEFT = "left"
    DEAD = "dead"


@attrs.frozen(kw_only=True)
class MemberChange:
    """One change of one member; ``member`` is its entry after the change."""

    kind: ChangeKind
    member: Member


_KIND_BY_STATE = {
    MemberState.ALIVE: ChangeKind.RETURNED,
    MemberState.SUSPECT: ChangeKind.SUSPECTED,
    MemberState.LEAVING: ChangeKind.LEAVING,
    MemberState.DEAD: ChangeKind.DEAD,
}


def _change_kind(former: Member, member: Member) -> ChangeKind:
    """Return the kind of a change of state; a death after leaving is the end of a planned stop."""
    if former.state is MemberState.LEAVING and member.state is MemberState.DEAD:
        return ChangeKind.LEFT
    return _KIND_BY_STATE[member.state]


def changes_between(before: MemberView, after: MemberView) -> list[MemberChange]:
    """Return the changes of state and of incarnation, ordered by the name of the member.

    A new or replaced member that is not alive yields two changes: that it joined or was
    replaced, and its state.
    """
    changes: list[MemberChange] = []
    for member in after.members:
        former = before.find_by_name(member.name)
        if former is not None and former.incarnation == member.incarnation:
            if former.state is not member.state:
                changes.append(MemberChange(kind=_change_kind(former, member), member=member))
            continue
        kind = ChangeKind.JOINED if former is None else ChangeKind.REPLACED
        changes.append(MemberChange(kind=kind, member=member))
        if member.state is not MemberState.ALIVE:
            changes.append(MemberChange(kind=_KIND_BY_STATE[member.state], member=member))
    return changes
