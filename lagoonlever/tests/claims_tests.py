"""State machine over keys and claims: two VMs, deaths, freezes, lost answers, an outage."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from hypothesis.stateful import run_state_machine_as_test as run_machine

from lagoonlever.decisions.claims import (
    RECORD_BYTES,
    Full,
    HomeTable,
    InProgress,
    KeyRecord,
    KeyState,
    Mismatch,
    Repeat,
    Run,
    StoredAnswer,
)
from lagoonlever.decisions.claims_dispatch import (
    CheckAgain,
    ChooseAgain,
    Refuse,
    Write,
    WriteFacts,
    decide_write,
)
from lagoonlever.decisions.claims_group import GROUP_KEYS, Bindings, Claim, ClaimQueue
from lagoonlever.decisions.claims_keys import HomedKey, KeyHome, PlainKey, parse_key
from lagoonlever.exceptions import RequestRefused
from lagoonlever.history.checkers import at_most_once, not_run
from lagoonlever.history.events import HistoryEvent
from lagoonlever.history.events_callers import CallerAsked, CallerGotOutcome, CallerReceived
from lagoonlever.history.events_services import CallerToldOfCall, DispatchWritten
from lagoonlever.history.events_targets import ServiceExecuted
from lagoonlever.identity import Incarnation
from lagoonlever.outcomes import Done, NotRun, Outcome, Reason, Unknown

LIFETIME_S = 100
LEASE_S = 160.0
ROOM_KEYS = 3
PRINT = b"print"


def answer(outcome: Outcome, body: bytes = b"") -> StoredAnswer:
    return StoredAnswer(outcome=outcome, status=outcome.status, body=body)


NOT_RUN = answer(NotRun(reason=Reason.DEADLINE, message=""))
UNKNOWN = answer(Unknown(reason=Reason.CONNECTION_LOST, message=""))


def table_of(own: Incarnation, born_at: float, cls: type[HomeTable] = HomeTable) -> HomeTable:
    return cls(
        own=own, born_at=born_at, limit_bytes=ROOM_KEYS * RECORD_BYTES, lifetime_s=LIFETIME_S
    )


@attrs.define(kw_only=True, eq=False)
class Life:
    """One life of a VM."""

    incarnation: Incarnation
    table: HomeTable
    frozen: bool = False
    dead: bool = False


@attrs.define(kw_only=True, eq=False)
class Copy:
    """One copy of a request on its way: at a VM, between VMs, or at a target."""

    request: str
    life: Life
    homed: HomedKey | None
    deadline: float | None
    forwarded: bool = False
    record: KeyRecord | None = None


class ClaimsMachine(RuleBasedStateMachine):
    """The whole path of a keyed request, one atomic step a rule."""

    table_class: type[HomeTable] = HomeTable
    lease_s = LEASE_S
    create_if_absent = True
    take_over_unreachable = False

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        self.births = 0
        self.lives: dict[str, Life] = {}
        self.store: dict[str, tuple[HomedKey, float]] = {}
        self.late_claims: list[tuple[str, HomedKey]] = []
        self.minted: list[HomedKey] = []
        self.copies: list[Copy] = []
        self.at_target: list[str] = []
        self.events: list[HistoryEvent] = []
        for name in ("vm1", "vm2"):
            self.be_born(name)

    def be_born(self, name: str) -> None:
        self.births += 1
        own = Incarnation(name=name, started_ms=self.births, nonce=7)
        table = table_of(own, self.now, self.table_class)
        self.lives[name] = Life(incarnation=own, table=table)

    def tell(self, copy: Copy, given: StoredAnswer) -> None:
        self.copies.remove(copy)
        told = CallerToldOfCall(
            at=self.now,
            process="caller",
            caller="c",
            request=copy.request,
            tag=given.outcome.tag.value,
            status=given.status,
            body=given.body.decode(),
        )
        self.events.append(told)

    @rule(name=st.sampled_from(["vm1", "vm2"]))
    def mint(self, name: str) -> None:
        home = self.lives[name].table.key_home(self.now)
        self.minted.append(home.mint(random=f"random-{len(self.minted)}"))

    @precondition(lambda self: len(self.copies) < 6)
    @rule(
        key=st.integers(0, 7),
        name=st.sampled_from(["vm1", "vm2"]),
        left_s=st.sampled_from([None, 0.5, 30.0]),
    )
    def send(self, key: int, name: str, left_s: float | None) -> None:
        homed = self.minted[-key] if 2 <= key <= len(self.minted) else None
        request = str(homed) if homed else f"plain-{key % 2}"
        self.copies.append(
            Copy(
                request=request,
                life=self.lives[name],
                homed=homed,
                deadline=None if left_s is None else self.now + left_s,
            )
        )

    @precondition(lambda self: self.copies)
    @rule(index=st.integers(0, 5), choice=st.integers(0, 7))
    def step(self, index: int, choice: int) -> None:
        copy = self.copies[index % len(self.copies)]
        if copy.life.dead:
            self.copies.remove(copy)
        elif copy.life.frozen:
            return
        elif copy.record is not None:
            self.dispatch(copy, choice)
        elif copy.homed is None:
            self.claim(copy, choice)
        elif copy.homed.home == copy.life.incarnation or copy.forwarded:
            self.admit(copy)
        else:
            self.forward(copy, choice)

    def claim(self, copy: Copy, choice: int) -> None:
        """Claim in the store: applied, applied with its answer lost, applied late, or down."""
        scope = copy.request
        proposed = copy.life.table.key_home(self.now).mint(random=scope + "-scope")
        if choice == 0:
            self.late_claims.append((scope, proposed))
        if choice in (0, 1):
            self.tell(copy, UNKNOWN)
            return
        self.apply_claim(scope, proposed)
        if choice == 2:
            self.tell(copy, UNKNOWN)
            return
        copy.homed = self.store[scope][0]

    def apply_claim(self, scope: str, proposed: HomedKey) -> None:
        held = self.store.get(scope)
        if held is None or held[1] <= self.now or not self.create_if_absent:
            self.store[scope] = (proposed, self.now + self.lease_s)

    @precondition(lambda self: self.late_claims)
    @rule()
    def late_claim_arrives(self) -> None:
        self.apply_claim(*self.late_claims.pop(0))

    def forward(self, copy: Copy, choice: int) -> None:
        assert copy.homed is not None
        home = self.lives[copy.homed.home.name]
        if choice < 3 or home.incarnation != copy.homed.home:
            if not self.take_over_unreachable:
                self.tell(copy, UNKNOWN)
                return
            own = copy.life.table.key_home(self.now)
            copy.homed = own.mint(random=copy.homed.random)
            return
        copy.life = home
        copy.forwarded = True

    def admit(self, copy: Copy) -> None:
        assert copy.homed is not None
        admission = copy.life.table.admit(copy.homed, fingerprint=PRINT, now=self.now)
        if isinstance(admission, Run):
            copy.record = admission.record
        elif isinstance(admission, Repeat):
            self.tell(copy, admission.answer)
        elif isinstance(admission, Full):
            self.tell(copy, NOT_RUN)
        elif not isinstance(admission, InProgress):
            self.tell(copy, UNKNOWN)

    def dispatch(self, copy: Copy, choice: int) -> None:
        record, table = copy.record, copy.life.table
        assert record is not None
        if record.answer is not None:
            self.tell(copy, record.answer)
        elif record.state is KeyState.WRITTEN:
            given = UNKNOWN if choice < 3 else answer(Done(), str(record.key).encode())
            table.settle(record, given)
            self.tell(copy, given)
        elif choice == 0:
            table.settle(record, NOT_RUN)
        else:
            self.check_and_write(copy, record, choice)

    def check_and_write(self, copy: Copy, record: KeyRecord, choice: int) -> None:
        expires_at = self.now + record.key.expires_life_s - copy.life.table.life_s(self.now)
        decision = decide_write(
            WriteFacts(
                now=self.now,
                target_live=choice != 1,
                deadline=copy.deadline,
                key_expires_at=expires_at,
            )
        )
        if isinstance(decision, Refuse):
            copy.life.table.settle(record, NOT_RUN)
        elif isinstance(decision, Write):
            copy.life.table.mark_written(record)
            self.at_target.append(copy.request)

    @precondition(lambda self: self.at_target)
    @rule()
    def target_executes(self) -> None:
        request = self.at_target.pop(0)
        executed = ServiceExecuted(
            at=self.now, process="a1", target="a1", key=request, operation="POST /bids"
        )
        self.events.append(executed)

    @rule(name=st.sampled_from(["vm1", "vm2"]))
    def die(self, name: str) -> None:
        self.lives[name].dead = True
        self.be_born(name)

    @rule(name=st.sampled_from(["vm1", "vm2"]))
    def freeze_or_thaw(self, name: str) -> None:
        self.lives[name].frozen = not self.lives[name].frozen

    @rule(seconds=st.sampled_from([0.3, 20.0, 70.0, 120.0]))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @invariant()
    def promises_hold(self) -> None:
        assert at_most_once.check(self.events) == []
        assert not_run.check(self.events) == []

    @invariant()
    def memory_is_bounded(self) -> None:
        for life in self.lives.values():
            answers = ROOM_KEYS * 200
            assert life.table.used_bytes <= ROOM_KEYS * RECORD_BYTES + answers


class ForgetsRefusals(HomeTable):
    """Guard off: a key that was told "not run" is forgotten."""

    def settle(self, record: KeyRecord, answer: StoredAnswer) -> None:
        super().settle(record, answer)
        if isinstance(answer.outcome, NotRun):
            self._records.pop(record.key)
            self._expiries = [entry for entry in self._expiries if entry[2] != record.key]
            self._used_bytes -= RECORD_BYTES + answer.size_bytes


class ForgetsVoidKeys(HomeTable):
    """Guard off: a key that was refused for want of memory is taken later."""

    def _void(self, key: HomedKey) -> bool:
        return self._used_bytes + RECORD_BYTES > self._limit_bytes


class ForgetsRefusalsMachine(ClaimsMachine):
    table_class = ForgetsRefusals


class ForgetsVoidKeysMachine(ClaimsMachine):
    table_class = ForgetsVoidKeys


class ShortLeaseMachine(ClaimsMachine):
    """Guard off: the lease of the claims ends before their keys do."""

    lease_s = 50.0


class OverwritesClaimsMachine(ClaimsMachine):
    """Guard off: a claim is written whether or not the key is held."""

    create_if_absent = False


class TakesOverMachine(ClaimsMachine):
    """Guard off: who can't reach the home runs the request itself."""

    take_over_unreachable = True


QUIET = {"deadline": None, "suppress_health_check": list(HealthCheck), "database": None}


def test_claims_keep_their_promises() -> None:
    """A dealer's bid is sent to two VMs at once, and again after one died, froze or woke.

    Claims are applied late, or their answers are lost; leases end; memory runs out.
    The bid must not run twice, and must not run at all once its caller was told
    "not run", whichever copy was told so.
    """
    run_machine(ClaimsMachine, settings=settings(max_examples=100, stateful_step_count=60, **QUIET))


def drain(machine: ClaimsMachine) -> None:
    """Let the copies go on, each as well as it can, until they are told or stuck."""
    for index in range(8):
        if machine.copies:
            machine.step(index, 7)
    while machine.at_target:
        machine.target_executes()


def refused_copy_and_a_late_one(machine: ClaimsMachine) -> None:
    """Tell the caller "not run", then let a copy arrive that waited at another VM."""
    machine.send(0, "vm1", None)
    machine.step(0, 7)
    machine.step(0, 7)
    machine.step(0, 0)
    drain(machine)
    machine.send(0, "vm1", None)
    drain(machine)


def refused_for_memory_and_a_late_one(machine: ClaimsMachine) -> None:
    """Tell the caller "not run" for want of memory, then let a copy arrive when there is some."""
    for _ in range(ROOM_KEYS + 2):
        machine.mint("vm1")
    for key in range(ROOM_KEYS):
        machine.send(2 + key, "vm1", None)
        drain(machine)
    machine.wait(20.0)
    machine.mint("vm1")
    machine.mint("vm1")
    machine.send(2, "vm1", None)
    drain(machine)
    machine.wait(90.0)
    machine.send(2, "vm1", None)
    drain(machine)


def holder_frozen_beyond_its_lease(machine: ClaimsMachine) -> None:
    """Freeze the holder before its write, ask another VM, wake the holder."""
    machine.send(0, "vm1", None)
    machine.step(0, 7)
    machine.step(0, 7)
    machine.freeze_or_thaw("vm1")
    machine.wait(70.0)
    machine.send(0, "vm2", None)
    for _ in range(4):
        machine.step(len(machine.copies) - 1, 7)
    machine.freeze_or_thaw("vm1")
    drain(machine)


def two_vms_at_once(machine: ClaimsMachine) -> None:
    """Send one bid to two VMs at once."""
    machine.send(0, "vm1", None)
    machine.step(0, 7)
    machine.step(0, 7)
    machine.send(0, "vm2", None)
    machine.step(1, 7)
    drain(machine)


def again_after_the_home_died(machine: ClaimsMachine) -> None:
    """Let the home die with the bid sent, and ask another VM."""
    machine.send(0, "vm1", None)
    for _ in range(3):
        machine.step(0, 7)
    machine.die("vm1")
    drain(machine)
    machine.send(0, "vm2", None)
    drain(machine)


@pytest.mark.parametrize(
    ("story", "guard_off"),
    [
        (refused_copy_and_a_late_one, ForgetsRefusalsMachine),
        (refused_for_memory_and_a_late_one, ForgetsVoidKeysMachine),
        (holder_frozen_beyond_its_lease, ShortLeaseMachine),
        (two_vms_at_once, OverwritesClaimsMachine),
        (again_after_the_home_died, TakesOverMachine),
    ],
)
def test_each_guard_is_needed(
    story: Callable[[ClaimsMachine], None], guard_off: type[ClaimsMachine]
) -> None:
    """Each story runs a bid that must not run once its guard is off, and holds with it."""
    guarded, unguarded = ClaimsMachine(), guard_off()
    story(guarded)
    guarded.promises_hold()
    story(unguarded)
    with pytest.raises(AssertionError):
        unguarded.promises_hold()


OWN = Incarnation(name="vm1", started_ms=1, nonce=2)


def test_another_body_under_the_same_key_is_no_repeat() -> None:
    table = table_of(OWN, 0.0)
    key = table.key_home(5.0).mint(random="12345678")
    assert isinstance(table.admit(key, fingerprint=b"a", now=6.0), Run)
    assert isinstance(table.admit(key, fingerprint=b"b", now=7.0), Mismatch)


def test_keys_minted_after_a_refusal_are_taken_again() -> None:
    table = table_of(OWN, 0.0)
    for number in range(ROOM_KEYS):
        key = table.key_home(1.0).mint(random=f"random-{number}")
        admission = table.admit(key, fingerprint=PRINT, now=1.0)
        assert isinstance(admission, Run)
        table.settle(admission.record, answer(Done()))
    refused = table.key_home(2.0).mint(random="refused-1")
    assert isinstance(table.admit(refused, fingerprint=PRINT, now=2.0), Full)
    later = 3.0 + LIFETIME_S
    minted_later = table.key_home(later).mint(random="later-123")
    assert isinstance(table.admit(minted_later, fingerprint=PRINT, now=later), Run)


@pytest.mark.parametrize(
    ("facts", "decision"),
    [
        (WriteFacts(now=1.0, target_live=True), Write),
        (WriteFacts(now=1.0, target_live=False), ChooseAgain),
        (WriteFacts(now=1.0, target_live=True, paused_s=5.0), CheckAgain),
        (WriteFacts(now=9.0, target_live=True, deadline=8.0, paused_s=5.0), Refuse),
        (WriteFacts(now=9.0, target_live=True, key_expires_at=8.0), Refuse),
    ],
)
def test_the_last_check_before_the_write(facts: WriteFacts, decision: type[object]) -> None:
    assert isinstance(decide_write(facts), decision)


@pytest.mark.parametrize("text", ["", "with space", "x" * 201, "caf\u00e9"])
def test_a_wrong_key_names_the_header(text: str) -> None:
    with pytest.raises(RequestRefused) as refused:
        parse_key(text)
    assert refused.value.field == "Idempotency-Key"


def test_keys_read_as_they_were_minted() -> None:
    key = KeyHome(home=OWN, life_s=7).mint(random="a-b_c1234")
    assert parse_key(str(key)) == key
    assert parse_key("bid-17") == PlainKey(text="bid-17")


def test_copies_of_one_key_share_a_claim_and_groups_are_bounded() -> None:
    queue = ClaimQueue()
    home = KeyHome(home=OWN, life_s=0)
    for number in range(GROUP_KEYS + 5):
        claim = Claim(scope=f"s{number}", proposed=home.mint(random=f"random-{number}"))
        assert queue.add(claim) and queue.add(claim)
    assert len(queue.take_group()) == GROUP_KEYS
    assert len(queue.take_group()) == 5
    assert queue.take_group() == ()


def test_a_forgotten_binding_is_only_read_again() -> None:
    bindings = Bindings(limit=2)
    for number in range(3):
        bindings.learn(f"s{number}", KeyHome(home=OWN, life_s=0).mint(random=f"random-{number}"))
    assert bindings.get("s0") is None
    assert bindings.get("s2") is not None


def told(tag: str, body: str, request: str = "r") -> CallerToldOfCall:
    return CallerToldOfCall(
        at=1.0, process="caller", caller="c", request=request, tag=tag, status=200, body=body
    )


def test_a_repeat_with_another_answer_is_seen() -> None:
    same = [told("done", "lot 7"), told("unknown", ""), told("done", "lot 7")]
    assert at_most_once.check(same) == []
    assert len(at_most_once.check([*same, told("done", "lot 8")])) == 1
    looked_up = ServiceExecuted(
        at=0.5, process="a1", target="a1", key="", request="r", operation="GET /prices"
    )
    assert at_most_once.check([looked_up, *same, told("done", "lot 8")]) == []


def test_a_key_that_is_written_twice_is_seen() -> None:
    first = DispatchWritten(at=1.0, process="vm1", key="k", target="a1", homed_key="vm1~1~2:9:k")
    without_key = DispatchWritten(at=1.0, process="vm1", key="", target="a1")
    assert at_most_once.check([first, without_key, without_key]) == []
    again = attrs.evolve(first, process="vm2", target="a2")
    assert len(at_most_once.check([first, again])) == 1


def test_a_generation_told_not_run_after_its_tokens_is_seen() -> None:
    common = {"process": "caller", "caller": "c", "request": "r"}
    asked = CallerAsked(at=1.0, vm="vm1", model="m", prompt="p", max_tokens=2, **common)
    received = CallerReceived(
        at=2.0, generation=1, attempt=1, offset=0, token_ids=(7,), text="x", event_id="", **common
    )
    refused = CallerGotOutcome(at=3.0, tag="not-run", status=503, **common)
    assert not_run.check([asked, refused]) == []
    assert not_run.check([asked, received, asked, refused]) == []
    assert len(not_run.check([asked, received, refused])) == 1
