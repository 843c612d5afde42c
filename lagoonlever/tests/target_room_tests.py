"""The room of a stand-in: who is admitted, who waits, who has to leave and who is refused."""

from __future__ import annotations

from lagoonlever.fakes.target_room import Place, TargetRoom


def entered(room: TargetRoom, priority: int, tokens: int = 100) -> Place:
    place = room.enter(priority=priority, tokens=tokens)
    assert place is not None
    return place


def test_without_bounds_nothing_waits() -> None:
    room = TargetRoom()
    assert all(entered(room, 5).admitted.is_set() for _ in range(100))


def test_the_most_urgent_of_those_that_wait_is_admitted_first() -> None:
    room = TargetRoom(slots=1)
    first, patient, urgent = entered(room, 5), entered(room, 5), entered(room, 0)
    room.leave(first)
    assert (urgent.admitted.is_set(), patient.admitted.is_set()) == (True, False)


def test_memory_is_taken_from_the_newest_of_the_least_urgent() -> None:
    room = TargetRoom(memory_tokens=300)
    kept, older, newer = entered(room, 2), entered(room, 7), entered(room, 7)
    assert entered(room, 0).admitted.is_set()
    assert [place.admitted.is_set() for place in (kept, older, newer)] == [True, True, False]
    assert room.preempted == 1
    room.leave(kept)
    assert newer.admitted.is_set()


def test_nothing_is_preempted_where_that_would_not_make_room() -> None:
    room = TargetRoom(memory_tokens=300)
    entered(room, 0, tokens=250)
    patient = entered(room, 7, tokens=50)
    urgent = entered(room, 0, tokens=100)
    assert (patient.admitted.is_set(), urgent.admitted.is_set()) == (True, False)


def test_a_stream_that_grows_beyond_the_memory_preempts_the_least_urgent() -> None:
    room = TargetRoom(memory_tokens=200)
    urgent, patient = entered(room, 0), entered(room, 5)
    room.grow(urgent, 8)
    assert (urgent.admitted.is_set(), patient.admitted.is_set()) == (True, False)


def test_a_full_room_refuses_and_so_does_one_that_could_never_hold_it() -> None:
    room = TargetRoom(slots=1, memory_tokens=100, most_waiting=1)
    entered(room, 5)
    entered(room, 5)
    assert room.enter(priority=5, tokens=100) is None
    assert TargetRoom(memory_tokens=100).enter(priority=0, tokens=101) is None
