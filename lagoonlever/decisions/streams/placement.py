"""Which VM keeps the record of another VM's stream: a rendezvous hash over the members.

Every VM computes the same ranking for a request, without a lookup; where two
views differ, their rankings differ only by the members on which they disagree.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from lagoonlever.decisions.membership.membership import Member, MemberView


def _score(request_id: str, name: str) -> int:
    """Give the rendezvous score of a VM's name for a request; the highest holds."""
    return xxhash.xxh3_64_intdigest(f"{request_id}|{name}".encode())


def holders(request_id: str, view: MemberView, *, count: int) -> tuple[Member, ...]:
    """Give the members that keep a record for this VM, best first.

    Never this VM; members of other data centres first, so that the record
    survives the loss of this one.
    """
    own = view.own_member
    others = [member for member in view.alive if member.incarnation != view.own]
    elsewhere = [m for m in others if own is None or m.data_center != own.data_center]
    nearby = [m for m in others if own is not None and m.data_center == own.data_center]
    ranked = [*_flat(_rounds(request_id, elsewhere)), *_flat(_rounds(request_id, nearby))]
    return tuple(ranked[:count])


def _rounds(request_id: str, members: Iterable[Member]) -> list[list[Member]]:
    """Give the best of each data centre, then the second best of each, and so on."""
    ranked = sorted(members, key=lambda m: (_score(request_id, m.name), m.name), reverse=True)
    rounds: list[list[Member]] = []
    taken: dict[str, int] = {}
    for member in ranked:
        depth = taken.get(member.data_center, 0)
        taken[member.data_center] = depth + 1
        if depth == len(rounds):
            rounds.append([])
        rounds[depth].append(member)
    return rounds


def _flat(rounds: list[list[Member]]) -> list[Member]:
    return [member for members in rounds for member in members]
