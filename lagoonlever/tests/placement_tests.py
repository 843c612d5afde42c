"""Tests of the choice of peers for stream records, and of the entry addresses given to callers."""

from __future__ import annotations

from collections import Counter
from random import Random

import attrs
from hypothesis import given
from hypothesis import strategies as st

from lagoonlever.decisions.fleet.addresses import AddressesSettings, choose_entry_addresses
from lagoonlever.decisions.membership.membership import Member, MemberState, MemberView
from lagoonlever.decisions.streams.record_placement import select_record_holders
from lagoonlever.http.messages import Address
from lagoonlever.identity import Incarnation


def member(
    index: int,
    data_center: str = "dc-0",
    state: MemberState = MemberState.ALIVE,
    load: float = 0.0,
) -> Member:
    return Member(
        incarnation=Incarnation(name=f"vm-{index}", started_ms=1, nonce=index),
        data_center=data_center,
        http=Address(host="10.0.0.1", port=1000 + index),
        peers=Address(host="10.0.0.1", port=2000 + index),
        state=state,
        load=load,
    )


def view(members: list[Member], own: int = 0) -> MemberView:
    return MemberView(members=tuple(members), own=members[own].incarnation)


fleets = st.lists(st.integers(0, 3), min_size=1, max_size=14).map(
    lambda centers: [member(i, f"dc-{center}") for i, center in enumerate(centers)]
)


@given(fleets, st.data(), st.integers(1, 3), st.text("abc", min_size=1))
def test_two_views_differ_in_the_holders_only_by_the_member_that_one_lacks(
    fleet: list[Member], data: st.DataObject, count: int, request_id: str
) -> None:
    """An engine continues a stream that no VM reads, long after the stream's VM has died.

    The VM reported the stream to one peer and its end to another, because a third member had
    appeared in between. A member that appears may change the choice only to itself.
    """
    writer = data.draw(st.integers(0, len(fleet) - 1))
    unseen = data.draw(st.integers(0, len(fleet) - 1).filter(lambda i: i != writer))
    chosen = select_record_holders(request_id, view(fleet, writer), count=count)
    seen = [m for i, m in enumerate(fleet) if i != unseen]
    chosen_with_fewer = select_record_holders(
        request_id, view(seen, seen.index(fleet[writer])), count=count
    )

    assert fleet[writer] not in chosen
    assert len(set(chosen)) == len(chosen) == min(count, len(fleet) - 1)
    if fleet[unseen] not in chosen:
        assert chosen_with_fewer == chosen


def test_records_are_kept_in_other_data_centers() -> None:
    fleet = [member(i, f"dc-{i % 3}") for i in range(9)]
    for request in range(50):
        chosen = select_record_holders(f"r{request}", view(fleet), count=2)
        assert {m.data_center for m in chosen} == {"dc-1", "dc-2"}


@given(
    st.lists(st.sampled_from(list(MemberState)), min_size=1, max_size=12),
    st.integers(0, 2**32),
)
def test_an_answer_never_has_a_leaving_or_dead_vm(states: list[MemberState], seed: int) -> None:
    members = [member(i, f"dc-{i % 3}", state) for i, state in enumerate(states)]
    answer = choose_entry_addresses(
        view(members), settings=AddressesSettings(), random=Random(seed)
    )
    by_address = {m.http: m for m in members}
    returned = [by_address[address] for address in answer.addresses]

    assert all(m.state in (MemberState.ALIVE, MemberState.SUSPECT) for m in returned)
    if any(m.state is MemberState.ALIVE for m in members):
        assert all(m.state is MemberState.ALIVE for m in returned)
    assert len(set(returned)) == len(returned) <= 3


def test_answers_are_spread_by_spare_capacity_and_data_center() -> None:
    loads = [0.0, 0.5, 1.0] * 3
    members = [member(i, f"dc-{i // 3}", load=load) for i, load in enumerate(loads)]
    first: Counter[float] = Counter()
    random = Random(1)
    for _ in range(3000):
        answer = choose_entry_addresses(view(members), settings=AddressesSettings(), random=random)
        returned = [m for a in answer.addresses for m in members if m.http == a]
        assert len({m.data_center for m in returned}) == 3
        first[returned[0].load] += 1

    assert 0.60 < first[0.0] / 3000 < 0.69
    assert 0.28 < first[0.5] / 3000 < 0.37
    assert first[1.0] > 0


def test_a_single_leaving_vm_returns_no_address() -> None:
    lone = [attrs.evolve(member(0), state=MemberState.LEAVING)]
    answer = choose_entry_addresses(view(lone), settings=AddressesSettings(), random=Random(0))
    assert answer.addresses == ()
