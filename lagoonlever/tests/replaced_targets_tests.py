"""Tests of which of several targets at one address counts as the one that runs there."""

from __future__ import annotations

import random

import attrs
import pytest

from lagoonlever.decisions.targets.listed_target import ListedTarget, TargetChange
from lagoonlever.decisions.targets.registry import TargetRegistry
from lagoonlever.http.messages import Address
from lagoonlever.tests.base import at

ADDRESS = Address(host="10.0.0.7", port=9100)


def process(name: str, started_ms: int | None = None) -> ListedTarget:
    return ListedTarget(
        id=name, service="app", address=ADDRESS, data_center="a", started_ms=started_ms
    )


class Listing:
    """A registry whose changes come one after the other, each under the next revision."""

    def __init__(self) -> None:
        self.registry = TargetRegistry()
        self.registry.apply_list([], revision=at(1), now=0.0, store_back_at=None)
        self.now, self.revision = 0.0, 1

    @property
    def serving(self) -> list[str]:
        return sorted(target.id for target in self.registry.serving("app"))

    def _change(self, target_id: str, target: ListedTarget | None) -> None:
        self.now, self.revision = self.now + 0.1, self.revision + 1
        self.registry.apply_change(
            TargetChange(id=target_id, target=target, revision=at(self.revision)),
            now=self.now,
            store_back_at=None,
        )

    def write(self, target: ListedTarget) -> None:
        self._change(target.id, target)

    def remove(self, target_id: str) -> None:
        self._change(target_id, None)


def test_a_late_entry_of_a_dead_target_does_not_shut_its_successor_out() -> None:
    """Guards against a service that is refused for a minute as a store executes a call late."""
    listing = Listing()
    listing.write(process("old", 1_000))
    listing.write(process("new", 2_000))
    listing.write(process("old", 1_000))
    assert listing.serving == ["new"]


def test_a_target_that_writes_again_after_a_late_entry_is_used() -> None:
    """Guards against a living target whose next entry counts for nothing, as no start is known."""
    listing = Listing()
    listing.write(process("old"))
    listing.write(process("new"))
    listing.write(process("old"))
    listing.write(process("new"))
    assert listing.serving == ["new"]


def test_a_target_is_used_once_the_late_entry_at_its_address_has_lapsed() -> None:
    """Guards against a target that stays shut out by an entry which is there no more."""
    listing = Listing()
    listing.write(process("old"))
    listing.write(process("new"))
    listing.write(process("old"))
    listing.remove("old")
    assert listing.serving == ["new"]


@pytest.mark.parametrize("started", [(None, None), (1_000, 900)])
def test_an_answer_tells_who_lives_at_an_address_whatever_the_entries_say(
    started: tuple[int | None, int | None],
) -> None:
    """Guards against a late entry, or a clock set back, that outweighs what a target answers."""
    listing = Listing()
    listing.write(process("old", started[0]))
    listing.write(process("new", started[1]))
    listing.write(process("old", started[0]))
    listing.registry.mark_replaced("old", listing.now, by="new")
    assert listing.serving == ["new"]
    listing.write(process("old", started[0]))
    assert listing.serving == ["new"]


def test_a_later_answer_of_a_target_ends_an_earlier_one_against_it() -> None:
    """Guards against a target that is out for a minute by one answer that a fault has spoilt."""
    listing = Listing()
    listing.write(process("one", 1_000))
    listing.registry.mark_replaced("one", listing.now, by="other")
    assert not listing.serving
    listing.registry.mark_replaced("other", listing.now, by="one")
    assert listing.serving == ["one"]


def test_news_that_a_former_process_was_replaced_does_not_concern_the_next_one() -> None:
    """Guards against a restarted target that is out for a minute by another VM's old news."""
    listing = Listing()
    listing.write(process("one", 1_000))
    listing.write(process("one", 2_000))
    listing.registry.mark_replaced("one", listing.now, by="other", started_ms=1_000)
    assert listing.serving == ["one"]


def test_a_report_of_the_listed_process_shows_that_it_lives() -> None:
    """Guards against a target that reports, and is taken for replaced until a minute is over."""
    listing = Listing()
    listing.write(process("one", 1_000))
    listing.registry.mark_replaced("one", listing.now, by="other")
    listing.registry.record_restart("one", 1_000)
    assert listing.serving == ["one"]


def test_a_report_of_a_successor_does_not_bring_the_former_target_back_each_time() -> None:
    """Guards against a request to a dead target after each report that its successor answers.

    A report names no id. Asked at the dead target's address it tells of the process there.
    """
    listing = Listing()
    listing.write(process("old", 1_000))
    listing.registry.record_restart("old", 2_000)
    listing.registry.mark_replaced("old", listing.now, by="new")
    listing.registry.record_restart("old", 2_000)
    assert not listing.serving


def test_entries_that_are_written_on_show_that_a_target_lives() -> None:
    """Guards against a target that writes its entry for a minute and gets no work."""
    listing = Listing()
    listing.write(process("one", 1_000))
    listing.registry.mark_replaced("one", listing.now, by="other")
    listing.write(process("one", 1_000))
    assert not listing.serving
    listing.now += 10.0
    listing.write(process("one", 1_000))
    assert listing.serving == ["one"]


@pytest.mark.parametrize("seed", range(40))
def test_once_all_is_calm_exactly_the_living_targets_are_used(seed: int) -> None:
    """Guards against marks that outlast what they rest on, in any order of late calls and lapses.

    One process after the other has an address; calls of those that ended are executed late, and
    requests to them are refused by the one that lives. Then the dead lapse.
    """
    rng = random.Random(seed)
    listing = Listing()
    tells_start = rng.random() < 0.5
    lived: list[ListedTarget] = []
    for number in range(rng.randint(2, 5)):
        started_ms = 1_000 + number if tells_start else None
        lived.append(process(f"i-{number}", started_ms))
        listing.write(lived[-1])
        for _ in range(rng.randint(0, 4)):
            written = rng.choice(lived)
            listing.write(written)
            refused = rng.random() < 0.3 and written is not lived[-1]
            if refused and listing.registry.takes_work(written.id):
                listing.registry.mark_replaced(written.id, listing.now, by=lived[-1].id)
    dead = lived[:-1]
    rng.shuffle(dead)
    for target in dead:
        listing.remove(target.id)
    assert listing.serving == [lived[-1].id]


def test_targets_at_other_addresses_are_never_compared() -> None:
    listing = Listing()
    listing.write(process("one", 1_000))
    listing.write(attrs.evolve(process("two", 2_000), address=Address(host="10.0.0.8", port=9100)))
    assert listing.serving == ["one", "two"]
