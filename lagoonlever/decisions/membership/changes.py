"""What differs between two member views, for the log."""

from __future__ import annotations

import enum

import attrs

from lagoonlever.decisions.membership.membership import Member, MemberState, MemberView


class ChangeKind(enum.Enum):
    """How a member changed."""

    JOINED = "joined"
    REPLACED = "replaced"
    RETURNED = "returned"
    SUSPECTED = "suspected"
    LEAVING = "leaving"
    LEFT = "left"
    DEAD = "dead"


@attrs.frozen(kw_only=True)
class MemberChange:
    """One change of one member."""

    kind: ChangeKind
    member: Member


_KINDS = {
    MemberState.ALIVE: ChangeKind.RETURNED,
    MemberState.SUSPECT: ChangeKind.SUSPECTED,
    MemberState.LEAVING: ChangeKind.LEAVING,
    MemberState.DEAD: ChangeKind.DEAD,
}


def _kind(former: Member, member: Member) -> ChangeKind:
    if former.state is MemberState.LEAVING and member.state is MemberState.DEAD:
        return ChangeKind.LEFT
    return _KINDS[member.state]


def changes_between(before: MemberView, after: MemberView) -> list[MemberChange]:
    """Give the changes of state and of lives, in the order of names."""
    changes: list[MemberChange] = []
    for member in after.members:
        former = before.find_by_name(member.name)
        if former is not None and former.incarnation == member.incarnation:
            if former.state is not member.state:
                changes.append(MemberChange(kind=_kind(former, member), member=member))
            continue
        kind = ChangeKind.JOINED if former is None else ChangeKind.REPLACED
        changes.append(MemberChange(kind=kind, member=member))
        if member.state is not MemberState.ALIVE:
            changes.append(MemberChange(kind=_KINDS[member.state], member=member))
    return changes
