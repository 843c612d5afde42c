"""Which changes of the member view are reported to operators, and as which kind."""

from __future__ import annotations

import pytest

from lagoonlever.decisions.membership.changes import ChangeKind, changes_between
from lagoonlever.decisions.membership.membership import Member, MemberState, MemberView
from lagoonlever.http.messages import Address
from lagoonlever.identity import Incarnation

OWN = Incarnation(name="e1", started_ms=1, nonce=1)


def _view(state: MemberState | None, *, started_ms: int = 1) -> MemberView:
    address = Address(host="10.0.0.1", port=1)
    members = (
        Member(
            incarnation=Incarnation(name="e2", started_ms=started_ms, nonce=1),
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
def test_each_change_of_state_is_reported_once(
    before: MemberState | None, after: MemberState, kinds: list[ChangeKind]
) -> None:
    changes = changes_between(_view(before), _view(after))
    assert [change.kind for change in changes] == kinds


def test_the_end_of_a_planned_stop_is_not_reported_as_a_death() -> None:
    """A VM stops as planned, and every other VM logs a warning that it died.

    It leaves, and after its end the others take it for dead as after a crash. Operators would
    be alarmed by each planned replacement.
    """
    changes = changes_between(_view(MemberState.LEAVING), _view(MemberState.DEAD))
    assert [change.kind for change in changes] == [ChangeKind.LEFT]


def test_a_new_incarnation_is_reported_as_a_replacement() -> None:
    changes = changes_between(_view(MemberState.DEAD), _view(MemberState.ALIVE, started_ms=2))
    assert [change.kind for change in changes] == [ChangeKind.REPLACED]
