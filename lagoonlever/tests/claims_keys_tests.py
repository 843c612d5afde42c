"""Keys, the table of a home, the final check before the write, and groups of claims."""

from __future__ import annotations

import pytest

from lagoonlever.decisions.claims.claim_queue import MAX_GROUP_KEYS, BindingCache, Claim, ClaimQueue
from lagoonlever.decisions.claims.key_table import FingerprintMismatch, Run, TableFull
from lagoonlever.decisions.claims.keys import KeyHome, PlainKey, parse_key
from lagoonlever.decisions.claims.write_check import (
    ChooseOtherTarget,
    RefreshTargets,
    Refuse,
    Write,
    WriteContext,
    decide_write,
)
from lagoonlever.exceptions import RequestRefused
from lagoonlever.identity import Incarnation
from lagoonlever.outcomes import Done
from lagoonlever.tests.claims_machine import FINGERPRINT, LIFETIME_S, MAX_KEYS, answer, make_table

OWN = Incarnation(name="vm1", started_ms=1, nonce=2)


def test_same_key_with_another_body_is_a_mismatch() -> None:
    table = make_table(OWN, 0.0)
    key = table.key_home(5.0).mint(random="12345678")
    assert isinstance(table.admit(key, fingerprint=b"a", now=6.0), Run)
    assert isinstance(table.admit(key, fingerprint=b"b", now=7.0), FingerprintMismatch)


def test_keys_minted_after_a_refusal_for_memory_are_admitted() -> None:
    table = make_table(OWN, 0.0)
    for number in range(MAX_KEYS):
        key = table.key_home(1.0).mint(random=f"random-{number}")
        admission = table.admit(key, fingerprint=FINGERPRINT, now=1.0)
        assert isinstance(admission, Run)
        table.settle(admission.record, answer(Done()))
    refused = table.key_home(2.0).mint(random="refused-1")
    assert isinstance(table.admit(refused, fingerprint=FINGERPRINT, now=2.0), TableFull)
    later = 3.0 + LIFETIME_S
    minted_later = table.key_home(later).mint(random="later-123")
    assert isinstance(table.admit(minted_later, fingerprint=FINGERPRINT, now=later), Run)


@pytest.mark.parametrize(
    ("facts", "decision"),
    [
        (WriteContext(now=1.0, target_live=True), Write),
        (WriteContext(now=1.0, target_live=False), ChooseOtherTarget),
        (WriteContext(now=1.0, target_live=True, paused_s=5.0), RefreshTargets),
        (WriteContext(now=9.0, target_live=True, deadline=8.0, paused_s=5.0), Refuse),
        (WriteContext(now=9.0, target_live=True, key_expires_at=8.0), Refuse),
    ],
)
def test_final_check_before_the_write(facts: WriteContext, decision: type[object]) -> None:
    assert isinstance(decide_write(facts), decision)


@pytest.mark.parametrize("text", ["", "with space", "x" * 201, "caf\u00e9"])
def test_error_for_a_malformed_key_names_the_header(text: str) -> None:
    with pytest.raises(RequestRefused) as refused:
        parse_key(text)
    assert refused.value.field == "Idempotency-Key"


def test_parsed_keys_equal_minted_keys() -> None:
    key = KeyHome(home=OWN, age_s=7).mint(random="a-b_c1234")
    assert parse_key(str(key)) == key
    assert parse_key("bid-17") == PlainKey(text="bid-17")


def test_copies_of_one_key_share_a_claim_and_groups_are_bounded() -> None:
    queue = ClaimQueue()
    home = KeyHome(home=OWN, age_s=0)
    for number in range(MAX_GROUP_KEYS + 5):
        claim = Claim(scope=f"s{number}", proposed=home.mint(random=f"random-{number}"))
        assert queue.add(claim) and queue.add(claim)
    assert len(queue.take_group()) == MAX_GROUP_KEYS
    assert len(queue.take_group()) == 5
    assert queue.take_group() == ()


def test_binding_cache_evicts_the_oldest_binding() -> None:
    bindings = BindingCache(limit=2)
    for number in range(3):
        bindings.record(f"s{number}", KeyHome(home=OWN, age_s=0).mint(random=f"random-{number}"))
    assert bindings.get("s0") is None
    assert bindings.get("s2") is not None
