"""Turns at parsing bodies of many pieces: a crowd of tiny ones holds up nobody for long."""

from __future__ import annotations

import trio
import trio.testing

from lagoonlever.decisions.admission.held_memory import MB, Holding, MemoryAccount, Stage
from lagoonlever.http.parsing_turns import MOST_TINY, TURN_PIECES, ParsingTurns


def run_bodies(count: int, *, piece_bytes: int, turns_each: int = 8) -> tuple[int, int]:
    """Have bodies parsed at once; return how many were parsed, and the most turns in a round."""
    account = MemoryAccount(capacity_bytes=64 * MB)
    turns = ParsingTurns(memory=account)
    parsed = 0
    rounds: list[int] = []

    async def parse() -> None:
        nonlocal parsed
        with trio.CancelScope() as scope:
            holding = Holding(give_way=scope.cancel, since=trio.current_time())
            assert account.open(holding, now=trio.current_time())
            account.move(holding, Stage.READING, now=trio.current_time())
            for turn in range(1, turns_each + 1):
                pieces = turn * TURN_PIECES
                await turns.take(holding, pieces=pieces, size=pieces * piece_bytes)
                rounds[-1] += 1
            parsed += 1

    async def count_rounds() -> None:
        while True:
            rounds.append(0)
            await trio.lowlevel.checkpoint()

    async def main() -> None:
        async with trio.open_nursery() as outer:
            outer.start_soon(count_rounds)
            async with trio.open_nursery() as nursery:
                for _ in range(count):
                    nursery.start_soon(parse)
            outer.cancel_scope.cancel()

    trio.run(main)
    return parsed, max(rounds)


def test_bodies_in_tiny_pieces_give_way_beyond_a_few() -> None:
    """Guards against clients that left long ago and are noticed only when all is parsed."""
    parsed, _ = run_bodies(5 * MOST_TINY, piece_bytes=2)
    assert parsed == MOST_TINY


def test_bodies_in_usual_pieces_never_give_way_to_each_other() -> None:
    """Guards against a bound that clients inside the limits meet."""
    parsed, _ = run_bodies(5 * MOST_TINY, piece_bytes=1024)
    assert parsed == 5 * MOST_TINY


def test_one_body_in_the_tiniest_pieces_is_parsed() -> None:
    """Guards against a body that is refused for its chunks alone."""
    assert run_bodies(1, piece_bytes=1) == (1, 1)


def test_few_connections_parse_in_one_round_of_the_event_loop() -> None:
    """Guards against a process that parses for a whole crowd before others have their turn."""
    _, most = run_bodies(5 * MOST_TINY, piece_bytes=1024)
    assert most <= 2
