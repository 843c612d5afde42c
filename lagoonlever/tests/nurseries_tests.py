"""Nurseries whose block is the work."""

from __future__ import annotations

import pytest
import trio

from lagoonlever.nurseries import open_work_nursery


class _Ended(Exception):
    """The work has ended."""


class _Moved(Exception):
    """A task beside the work has ended it."""


async def _fail_once(begun: trio.Event) -> None:
    await begun.wait()
    raise _Moved


def _play(*, block_fails: bool) -> None:
    async def main() -> None:
        begun = trio.Event()
        async with open_work_nursery() as nursery:
            nursery.start_soon(_fail_once, begun)
            await trio.sleep(0.01)
            begun.set()
            if block_fails:
                # The other task runs in the same turn, before it can be cancelled.
                raise _Ended
            await trio.sleep_forever()

    trio.run(main)


def test_the_work_s_exception_is_met_where_another_task_fails_in_the_same_turn() -> None:
    """A stream whose engine ended as it was to move ended with a group that nobody expects."""
    with pytest.raises(_Ended):
        _play(block_fails=True)


def test_the_exception_of_another_task_ends_the_work() -> None:
    with pytest.raises(_Moved):
        _play(block_fails=False)


def test_an_exception_of_the_work_alone_is_raised_as_it_is() -> None:
    async def main() -> None:
        async with open_work_nursery():
            raise _Ended

    with pytest.raises(_Ended):
        trio.run(main)


def test_a_cancellation_from_outside_goes_on() -> None:
    async def main() -> bool:
        with trio.move_on_after(0.01) as scope:
            async with open_work_nursery() as nursery:
                nursery.start_soon(trio.sleep_forever)
                await trio.sleep_forever()
        return scope.cancelled_caught

    assert trio.run(main)
