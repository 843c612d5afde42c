"""Tests of unlisted processes that take over from lost targets, which needs a proof."""

from __future__ import annotations

import attrs

from lagoonlever.decisions.targets.listed_target import ListedTarget, TargetChange
from lagoonlever.decisions.targets.registry import TargetRegistry
from lagoonlever.decisions.targets.replacements import (
    DELAY_MARGIN_S,
    MIN_WAIT_S,
    UNLISTED_LIFETIME_S,
    LivenessSigns,
    is_same_service,
)
from lagoonlever.http.messages import Address
from lagoonlever.tests.base import at

REUSE_S = 2.0


def registry() -> TargetRegistry:
    made = TargetRegistry()
    old = ListedTarget(
        id="old",
        service="engines",
        address=Address(host="10.0.0.1", port=80),
        data_center="a",
    )
    made.apply_list(
        [attrs.evolve(old, revision=at(5))], revision=at(10), now=0.0, store_back_at=None
    )
    return made


def serving(listed: TargetRegistry) -> list[str]:
    return [target.id for target in listed.serving("engines")]


def test_an_address_may_belong_to_another_service_after_a_while() -> None:
    limit_s = REUSE_S - DELAY_MARGIN_S
    assert is_same_service(alive_at=10.0, answered_at=10.0 + limit_s - 0.01, reuse_s=REUSE_S)
    assert not is_same_service(alive_at=10.0, answered_at=10.01 + limit_s, reuse_s=REUSE_S)


def test_a_sign_of_life_is_dated_by_the_last_moment_with_nothing_to_read() -> None:
    signs = LivenessSigns()
    signs.record_wait(1.0, nothing_there=True)
    signs.record_arrival(1.3)
    assert signs.alive_at == 1.0


def test_data_that_waited_during_a_pause_is_no_sign_of_life() -> None:
    """Guards against a paused VM that takes old events for a sign of life of a crashed engine.

    The VM resumes after three seconds and reads events from before its pause. Taken for new, they
    would prove that the address can't have been assigned to another service, though it may be.
    """
    signs = LivenessSigns()
    signs.record_wait(4.0, nothing_there=False)
    signs.record_arrival(4.0 + 10 * MIN_WAIT_S)
    assert signs.alive_at is None
    signs.record_wait(4.1, nothing_there=True)
    signs.record_arrival(4.1 + MIN_WAIT_S / 2)
    assert signs.alive_at is None


def test_engines_that_come_back_during_an_outage_of_the_store_are_used() -> None:
    """Guards against idle engines that restarted under unlisted ids in an outage of the store."""
    listed = registry()
    assert listed.adopt_unlisted("old", "new", 1.0)
    assert serving(listed) == ["new"]
    assert not listed.adopt_unlisted("old", "other", 1.1)
    assert listed.adopt_unlisted("new", "newest", 5.0)
    assert serving(listed) == ["newest"]


def test_a_found_engine_stays_while_the_store_is_away_and_goes_unless_it_is_listed() -> None:
    listed = registry()
    listed.adopt_unlisted("old", "new", 1.0)
    listed.expire(20.0, store_away=True)
    assert serving(listed) == ["new"]
    listed.expire(20.0 + UNLISTED_LIFETIME_S + 0.1)
    assert serving(listed) == []


def test_a_found_engine_that_registers_is_listed_as_usual() -> None:
    listed = registry()
    listed.adopt_unlisted("old", "new", 1.0)
    entry = attrs.evolve(listed.find("new"), revision=at(12))
    listed.apply_change(
        TargetChange(id="new", target=entry, revision=at(12)), now=2.0, store_back_at=None
    )
    listed.expire(60.0)
    assert serving(listed) == ["new"]
    listed.apply_change(
        TargetChange(id="new", target=None, revision=at(13)), now=61.0, store_back_at=None
    )
    assert serving(listed) == []


def test_a_newer_entry_at_the_address_takes_precedence_over_a_found_process() -> None:
    listed = registry()
    newer = attrs.evolve(listed.find("old"), id="newer", revision=at(11))
    listed.apply_change(
        TargetChange(id="newer", target=newer, revision=at(11)), now=1.0, store_back_at=None
    )
    assert not listed.adopt_unlisted("old", "found", 1.1)
    assert serving(listed) == ["newer"]
