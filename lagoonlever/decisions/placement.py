"""Which VMs hold the copy of a request's state: a rendezvous hash over the members.

Any VM finds the holders without a lookup. While views differ, the writer's and
the reader's rankings differ only by the members on which they disagree, so a
reader asks one round more than a writer writes.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from lagoonlever.decisions.membership import Member, MemberState, MemberView

SPARE_ROUNDS = 1
"""Rounds that a reader asks beyond the writer's, for members on which views disagree."""


def score(request_id: str, name: str) -> int:
    """Give the rendezvous score of a VM's name for a request; the highest holds."""
    return xxhash.xxh3_64_intdigest(f"{request_id}|{name}".encode())


def holders(request_id: str, view: MemberView, *, count: int) -> tuple[Member, ...]:
    """Give the members that this VM copies a request's state to, best first.

    Never this VM; members of other data centres first, so that the copy
    survives the loss of this one.
    """
    own = view.own_member
    others = [member for member in view.alive if member.incarnation != view.own]
    elsewhere = [m for m in others if own is None or m.data_center != own.data_center]
    nearby = [m for m in others if own is not None and m.data_center == own.data_center]
    ranked = [*_flat(_rounds(request_id, elsewhere)), *_flat(_rounds(request_id, nearby))]
    return tuple(ranked[:count])


def holders_to_ask(request_id: str, view: MemberView, *, count: int) -> tuple[Member, ...]:
    """Give the members that may hold a copy, likeliest first, whichever VM wrote it.

    Covers the ``holders`` of every VM whose view differs from this one by up to
    ``SPARE_ROUNDS`` members a data centre.
    """
    members = [member for member in view.members if member.state is not MemberState.DEAD]
    rounds = _rounds(request_id, members)
    depth = _written_rounds(rounds, count) + SPARE_ROUNDS
    return tuple(m for m in _flat(rounds[:depth]) if m.incarnation != view.own)


def _rounds(request_id: str, members: Iterable[Member]) -> list[list[Member]]:
    """Give the best of each data centre, then the second best of each, and so on."""
    ranked = sorted(members, key=lambda m: (score(request_id, m.name), m.name), reverse=True)
    rounds: list[list[Member]] = []
    taken: dict[str, int] = {}
    for member in ranked:
        depth = taken.get(member.data_center, 0)
        taken[member.data_center] = depth + 1
        if depth == len(rounds):
            rounds.append([])
        rounds[depth].append(member)
    return rounds


def _written_rounds(rounds: list[list[Member]], count: int) -> int:
    """Give the rounds that any writer may reach.

    A round has at most one member in the writer's own data centre, which it
    passes over; and no writer goes deeper than ``count`` in one data centre, or
    one more in its own, where it passes over itself.
    """
    places = 0
    for depth, members in enumerate(rounds[:count], start=1):
        places += len(members) - 1
        if places >= count:
            return depth
    return count + 1


def _flat(rounds: list[list[Member]]) -> list[Member]:
    return [member for members in rounds for member in members]
