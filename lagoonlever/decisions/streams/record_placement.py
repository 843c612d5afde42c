"""Choice of the VMs that keep the record of another VM's stream, by rendezvous hashing.

Every VM computes the same ranking of the members for a request, without a lookup. If the
membership views of two VMs differ, their rankings differ only in the members that one of them
lacks.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from lagoonlever.decisions.membership.membership import Member, MemberView


def _score(request_id: str, name: str) -> int:
    """Return the rendezvous score of a VM's name for a request; the highest score is chosen."""
    return xxhash.xxh3_64_intdigest(f"{request_id}|{name}".encode())


def select_record_holders(request_id: str, view: MemberView, *, count: int) -> tuple[Member, ...]:
    """Return up to ``count`` members to keep a record for this VM, best first.

    This VM is excluded. Members of other data centres come first, so that the record
    survives the loss of this data centre.
    """
    own = view.own_member
    others = [member for member in view.alive if member.incarnation != view.own]
    elsewhere = [m for m in others if own is None or m.data_center != own.data_center]
    nearby = [m for m in others if own is not None and m.data_center == own.data_center]
    ranked = [
        *_flatten(_rounds_by_data_center(request_id, elsewhere)),
        *_flatten(_rounds_by_data_center(request_id, nearby)),
    ]
    return tuple(ranked[:count])


def _rounds_by_data_center(request_id: str, members: Iterable[Member]) -> list[list[Member]]:
    """Return the best member of each data centre, then the second best of each, and so on."""
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


def _flatten(rounds: list[list[Member]]) -> list[Member]:
    return [member for members in rounds for member in members]
