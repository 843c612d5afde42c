"""Which changes of the member view are told to operators, and as what."""

from __future__ import annotations

import pytest

from lagoonlever.decisions.membership.changes import ChangeKind, changes_between
from lagoonlever.decisions.membership.membership import Member, MemberState, MemberView
from lagoonlever.http.messages import Address
from lagoonlever.identity import Incarnation

OWN = Incarnation(name="e1", started_ms=1, nonce=1)


def _view(state: MemberState | None, *, life: int = 1) -> MemberView:
    address = Address(host="10.0.0.1", port=1)
    members = (
        Member(
            incarnation=Incarnation(name="e2", started_ms=life, nonce=1),
            data_center="dc-a",
            http=address,
            peers=address,
            state=state,
        ),
    )
    return MemberView(members=members if state else (), own=OWN)


@pytest.mark.parametrize(
    ("before", "after", "kinds"),
    [
        (None, MemberState.ALIVE, [ChangeKind.JOINED]),
        (MemberState.ALIVE, MemberState.SUSPECT, [ChangeKind.SUSPECTED]),
        (MemberState.SUSPECT, MemberState.DEAD, [ChangeKind.DEAD]),
        (MemberState.DEAD, MemberState.ALIVE, [ChangeKind.RETURNED]),
        (MemberState.ALIVE, MemberState.LEAVING, [ChangeKind.LEAVING]),
        (MemberState.ALIVE, MemberState.ALIVE, []),
    ],
)
def test_each_change_of_state_is_told_once(
    before: MemberState | None, after: MemberState, kinds: list[ChangeKind]
) -> None:
    changes = changes_between(_view(before), _view(after))
    assert [change.kind for change in changes] == kinds


def test_the_end_of_a_planned_stop_is_no_death() -> None:
    """A VM is stopped as planned, and every other VM warns that it died.

    It leaves, and at its end the others hold it for dead as they do after any
    death; an operator would be alarmed by each replacement.
    """
    changes = changes_between(_view(MemberState.LEAVING), _view(MemberState.DEAD))
    assert [change.kind for change in changes] == [ChangeKind.LEFT]


def test_a_new_life_is_told_as_one() -> None:
    changes = changes_between(_view(MemberState.DEAD), _view(MemberState.ALIVE, life=2))
    assert [change.kind for change in changes] == [ChangeKind.REPLACED]
