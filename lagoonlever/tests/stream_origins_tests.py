"""Decisions on where streams began, and on the versions that may have begun one."""

from __future__ import annotations

import attrs
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from lagoonlever.decisions.engines.version_load import VersionLoad, engines_to_spare
from lagoonlever.decisions.settings.configuration import EngineLimits
from lagoonlever.decisions.streams.origin_batches import batch_period_s
from lagoonlever.decisions.streams.stream_origins import StreamOrigin, StreamOrigins
from lagoonlever.decisions.streams.versions_in_use import (
    MAX_HOLD_S,
    UNNAMED,
    RecordedVersions,
    VersionsInUse,
)
from lagoonlever.decisions.targets.listed_target import ListedTarget, TargetChange
from lagoonlever.decisions.targets.registry import TargetRegistry
from lagoonlever.http.messages import Address
from lagoonlever.revisions import Revision

SERVICE = "engines"
KEEP_S = 50.0


def target(
    name: str, version: str | None, *, port: int = 1, started_ms: int | None = None, number: int = 1
) -> ListedTarget:
    return ListedTarget(
        id=name,
        service=SERVICE,
        address=Address(host="h", port=port),
        data_center="dc-0",
        version=version,
        started_ms=started_ms,
        revision=Revision(number=number),
    )


def record(*versions: str, number: int = 1, proven: bool = True) -> RecordedVersions:
    return RecordedVersions(
        versions={SERVICE: frozenset(versions)}, revision=Revision(number=number), proven=proven
    )


def origin(request: str, version: str | None, engine: str = "e") -> StreamOrigin:
    return StreamOrigin(request=request, service=SERVICE, version=version, engine=engine)


def listing(*targets: ListedTarget) -> TargetRegistry:
    registry = TargetRegistry()
    for each in targets:
        change = TargetChange(id=each.id, target=each, revision=each.revision)
        registry.apply_change(change, now=0.0, store_back_at=None)
    return registry


def test_a_version_that_is_known_stays_whatever_is_told_later() -> None:
    origins = StreamOrigins()
    origins.record(origin("r", "v1"), 0.0)
    origins.record(origin("r", "v2"), 1.0)
    origins.record_all([origin("r", "v2")], 2.0)
    found = origins.find("r")
    assert found is not None and found.version == "v1"


def test_origins_are_kept_for_as_long_as_a_stream_may_be_resumed() -> None:
    origins = StreamOrigins()
    origins.record(origin("r-1", "v1"), 0.0)
    origins.record(origin("r-2", "v1"), 10.0)
    origins.record(origin("r-1", "v1"), 20.0)
    origins.expire(65.0, keep_s=KEEP_S)
    assert origins.find("r-1") is not None
    assert origins.find("r-2") is None


def test_many_origins_push_the_oldest_out() -> None:
    origins = StreamOrigins(max_origins=3)
    for number in range(5):
        origins.record(origin(f"r-{number}", "v1"), float(number))
    assert [o.request for o in origins.newest(9)] == ["r-2", "r-3", "r-4"]


def test_the_version_of_an_unlisted_process_is_that_of_its_own_entry() -> None:
    began = attrs.evolve(origin("r", None, "e"), engine_started_ms=5)
    assert began.resolve(listing()).version is None
    assert began.resolve(listing(target("e", "v2", started_ms=5))).version == "v2"
    assert began.resolve(listing(target("e", "v2", started_ms=6))).version is None
    untold = attrs.evolve(began, engine_started_ms=None)
    assert untold.resolve(listing(target("e", "v2", started_ms=5))).version == "v2"


def test_a_process_found_unlisted_has_no_version_of_its_predecessor() -> None:
    """Guards against taking the version of an address for that of the process which has it now."""
    registry = listing(target("e", "v1"))
    assert registry.adopt_unlisted("e", "e-next", 1.0)
    assert not registry.serving(SERVICE, version="v1")
    assert [t.id for t in registry.serving(SERVICE)] == ["e-next"]
    entry = target("e-next", "v2", number=7)
    registry.apply_change(
        TargetChange(id="e-next", target=entry, revision=entry.revision),
        now=2.0,
        store_back_at=None,
    )
    assert [t.id for t in registry.serving(SERVICE, version="v2")] == ["e-next"]


def test_a_process_found_unlisted_tells_its_start_without_being_taken_for_restarted() -> None:
    """While the store is away, engines that came back under new ids would get no streams again."""
    registry = listing(target("e", "v1", started_ms=5))
    assert registry.adopt_unlisted("e", "e-next", 1.0)
    assert not registry.record_restart("e-next", 9)
    assert registry.takes_work("e-next")
    assert not registry.takes_work("e-next", version="v1")
    entry = target("e-next", "v1", started_ms=9, number=7)
    registry.apply_change(
        TargetChange(id="e-next", target=entry, revision=entry.revision),
        now=2.0,
        store_back_at=None,
    )
    assert registry.takes_work("e-next", version="v1")
    assert registry.record_restart("e-next", 12)
    assert not registry.takes_work("e-next", version="v1")


def test_a_process_that_started_again_under_its_id_has_no_version_until_its_entry_names_it() -> (
    None
):
    registry = listing(target("e", "v1", started_ms=5))
    assert registry.record_restart("e", 9)
    assert not registry.takes_work("e", version="v1")
    late = target("e", "v1", started_ms=5, number=8)
    registry.apply_change(
        TargetChange(id="e", target=late, revision=late.revision), now=1.0, store_back_at=None
    )
    assert not registry.takes_work("e", version="v1")
    entry = target("e", "v2", started_ms=9, number=9)
    registry.apply_change(
        TargetChange(id="e", target=entry, revision=entry.revision), now=2.0, store_back_at=None
    )
    assert registry.takes_work("e", version="v2")
    assert not registry.takes_work("e", version="v1")


def test_an_entry_of_an_older_copy_does_not_name_a_later_process_that_is_gone() -> None:
    """The store is back from a copy of before the engine was back under its id."""
    registry = listing(target("e", "v1", started_ms=5), target("e", "v2", started_ms=9, number=8))
    registry.apply_change(
        TargetChange(id="e", target=None, revision=Revision(number=9)), now=1.0, store_back_at=None
    )
    older = attrs.evolve(target("e", "v1", started_ms=5), revision=Revision(era=1, number=1))
    registry.apply_list([older], revision=Revision(era=1, number=2), now=2.0, store_back_at=None)
    began = attrs.evolve(origin("r", None, "e"), engine_started_ms=9)
    assert began.resolve(registry).version is None


def test_an_engine_that_was_lost_is_asked_which_process_it_is_before_a_stream_goes_on() -> None:
    """Guards against both a guess, and an engine that gets no stream for good."""
    registry = listing(target("tells", "v1", started_ms=5), target("silent", "v1"))
    registry.record_loss("tells")
    registry.record_loss("silent")
    assert registry.is_in_doubt("tells")
    assert not registry.is_in_doubt("silent"), "its id is that of one process"
    assert not registry.record_restart("tells", 5)
    assert not registry.is_in_doubt("tells") and registry.takes_work("tells", version="v1")
    registry.record_loss("tells")
    registry.record_no_start("tells")
    assert not registry.is_in_doubt("tells")


def test_one_recorded_version_answers_for_every_stream() -> None:
    versions = VersionsInUse()
    assert versions.only_version(SERVICE, []) is None
    versions.apply_record(record("v1"), 0.0)
    assert versions.only_version(SERVICE, []) == "v1"
    versions.apply_record(record("v1", "v2", number=2), 1.0)
    assert versions.only_version(SERVICE, []) is None
    versions.apply_record(record("v1"), 2.0)
    assert versions.has_several(SERVICE), "an older record is told late"


def test_a_listed_version_that_is_not_recorded_yet_leaves_all_open() -> None:
    """Guards against a VM that starts beside a version of which the record was not written."""
    versions = VersionsInUse()
    versions.apply_record(record("v1"), 0.0)
    assert versions.only_version(SERVICE, [target("e", "v1")]) == "v1"
    assert versions.only_version(SERVICE, [target("e", "v1"), target("f", "v2")]) is None


def test_a_record_of_an_older_copy_of_the_store_proves_nothing() -> None:
    versions = VersionsInUse()
    versions.apply_record(record("v1", proven=False), 0.0)
    assert versions.only_version(SERVICE, []) is None
    assert not versions.is_proven(KEEP_S - 1, keep_s=KEEP_S)
    assert versions.is_proven(KEEP_S + 1, keep_s=KEEP_S)


def test_a_stream_at_a_process_of_no_version_leaves_the_others_open_until_it_is_named() -> None:
    versions = VersionsInUse()
    versions.apply_record(record("v1"), 0.0)
    versions.record_begin(SERVICE, None, "e", 0.0)
    assert versions.only_version(SERVICE, []) is None
    versions.name_processes([target("e", "v1")])
    assert versions.only_version(SERVICE, []) == "v1"
    versions.record_begin(SERVICE, "v2", "e", 1.0)
    versions.expire(KEEP_S + 2, keep_s=KEEP_S)
    assert versions.only_version(SERVICE, []) == "v1"


def test_a_begin_at_an_unknown_process_is_not_named_by_the_entry_of_its_engine() -> None:
    """Each question for the writer was lost: an entry of its id may name any other process."""
    versions = VersionsInUse()
    versions.apply_record(record("v1"), 0.0)
    versions.record_begin(SERVICE, None, "", 0.0, request="r")
    versions.name_processes([target("e", "v1", started_ms=5)])
    assert versions.only_version(SERVICE, []) is None
    versions.record_begin(SERVICE, "v1", "e", 1.0, request="r")
    assert versions.only_version(SERVICE, []) == "v1"


def test_a_begin_is_named_by_the_entry_of_its_own_process_alone() -> None:
    """The next process under the id of an engine is listed, as one of the recorded version."""
    versions = VersionsInUse()
    versions.apply_record(record("v1"), 0.0)
    versions.record_begin(SERVICE, None, "e", 0.0, started_ms=9)
    versions.name_processes([target("e", "v1", started_ms=5)])
    assert versions.only_version(SERVICE, []) is None
    versions.name_processes([target("e", "v1", started_ms=9)])
    assert versions.only_version(SERVICE, []) == "v1"


def test_a_begin_at_a_version_that_is_not_recorded_is_named_by_its_record_alone() -> None:
    """The store took no write, and the engine is back under its id as the recorded version."""
    versions = VersionsInUse()
    versions.apply_record(record("v1"), 0.0)
    versions.record_begin(SERVICE, "v2", "e", 0.0, started_ms=5)
    versions.name_processes([target("e", "v1", started_ms=9)])
    assert versions.only_version(SERVICE, []) is None


def test_a_version_is_recorded_as_it_comes_and_until_its_last_stream_is_over() -> None:
    versions = VersionsInUse()

    def wanted(now: float, *listed: str) -> set[str]:
        targets = [target(f"e-{v}", v) for v in listed]
        found = versions.wanted([SERVICE], targets, now, keep_s=KEEP_S)
        return set(found.get(SERVICE, ()))

    assert wanted(0.0, "v1") == {"v1"}
    versions.apply_record(record("v1"), 0.0)
    assert wanted(1.0, "v1", "v2") == {"v1", "v2"}
    versions.apply_record(record("v1", "v2", number=2), 1.0)
    assert wanted(2.0, "v2") == {"v1", "v2"}
    assert wanted(1.0 + KEEP_S, "v2") == {"v1", "v2"}
    assert wanted(1.1 + KEEP_S, "v2") == {"v2"}


def test_a_vm_that_starts_keeps_a_version_that_it_has_never_seen() -> None:
    versions = VersionsInUse()
    versions.apply_record(record("v1", "v2"), 100.0)
    found = versions.wanted([SERVICE], [target("e", "v2")], 100.0, keep_s=KEEP_S)
    assert found[SERVICE] == {"v1", "v2"}


def test_new_streams_begin_at_recorded_versions_while_there_are_any() -> None:
    versions = VersionsInUse()
    versions.apply_record(record("v1"), 0.0)
    v1, v2, unnamed = target("a", "v1"), target("b", "v2"), target("c", None)
    assert versions.prefer_recorded([v1, v2, unnamed]) == (v1, unnamed)
    assert versions.prefer_recorded([v2]) == (v2,)


def test_no_stream_begins_at_a_version_before_the_record_names_it() -> None:
    """Guards against a loss of all VMs right after; an outage of the store ends no service."""
    versions = VersionsInUse()
    versions.apply_record(record("v1"), 0.0)
    v2, unnamed = target("b", "v2"), target("c", None)
    assert versions.holds_back(v2, 1.0)
    assert not versions.holds_back(unnamed, 1.0)
    versions.apply_record(record("v1", "v2", number=2), 1.2)
    assert not versions.holds_back(v2, 1.2)
    v3 = target("d", "v3")
    assert versions.holds_back(v3, 2.0)
    assert not versions.holds_back(v3, 2.0 + MAX_HOLD_S)


def test_a_version_that_no_record_will_tell_of_gets_no_stream_if_one_would_be_guessed() -> None:
    """Guards against a guess after a loss of all VMs; an outage ends no service with several."""
    versions = VersionsInUse()
    v1, v2, unnamed = target("a", "v1"), target("b", "v2"), target("c", None)
    versions.apply_record(record(), 0.0)
    assert versions.bars(v1), "a version that is recorded later would be taken for it"
    versions.apply_record(record("v1", number=2), 1.0)
    assert not versions.bars(v1)
    assert versions.bars(v2)
    assert not versions.bars(unnamed)
    versions.apply_record(record("v1", UNNAMED, number=3), 2.0)
    assert not versions.bars(v2)


def test_a_version_that_is_back_waits_for_its_record_anew() -> None:
    """Guards against a wait that counts from before the version was recorded and gone."""
    versions = VersionsInUse()
    versions.apply_record(record("v1"), 0.0)
    v2 = target("b", "v2")
    assert versions.holds_back(v2, 1.0)
    versions.apply_record(record("v1", "v2", number=2), 1.1)
    versions.apply_record(record("v1", number=3), 60.0)
    assert versions.holds_back(v2, 61.0)


def test_a_stream_at_an_unlisted_process_leaves_versions_open_until_its_entry_names_it() -> None:
    """Guards against taking a process for one of the only recorded version by its address."""
    versions = VersionsInUse()
    versions.apply_record(record("v1"), 0.0)
    versions.record_begin(SERVICE, None, "e-next", 1.0)
    versions.record_begin(SERVICE, None, "other", 1.0)
    assert versions.only_version(SERVICE, []) is None
    versions.name_processes([target("e-next", "v1"), target("other", None)])
    assert versions.only_version(SERVICE, []) is None
    versions.name_processes([target("other", "v1")])
    assert versions.only_version(SERVICE, []) == "v1"


def test_a_version_that_has_come_is_noticed_before_it_is_recorded() -> None:
    versions = VersionsInUse()
    both = [target("a", "v1"), target("b", "v2"), target("c", None)]
    assert not versions.has_newcomer(SERVICE, both), "nothing is recorded yet"
    versions.apply_record(record("v1"), 0.0)
    assert versions.has_newcomer(SERVICE, both)
    versions.apply_record(record("v1", "v2", number=2), 1.0)
    assert not versions.has_newcomer(SERVICE, both)


def test_a_version_that_was_listed_for_a_moment_is_recorded() -> None:
    """It may have begun streams, and is gone as the record is looked at."""
    versions = VersionsInUse()
    versions.apply_record(record("v1"), 0.0)
    versions.record_begin(SERVICE, "v2", "b", 1.0)
    found = versions.wanted([SERVICE], [target("a", "v1")], 1.1, keep_s=KEEP_S)
    assert found[SERVICE] == {"v1", "v2"}


LIMITS = EngineLimits(slots=4, memory_tokens=1_000)


def test_new_streams_spare_a_version_that_could_not_lose_an_engine() -> None:
    """Two of many engines are of the old version, and its streams can go on nowhere else."""
    engines = [target(f"old-{n}", "v1") for n in range(2)]
    engines += [target(f"new-{n}", "v2") for n in range(18)]
    loads = {"v1": VersionLoad(runs=4, memory_tokens=400)}
    spare = engines_to_spare(engines, loads, limits=LIMITS, memory_tokens=100)
    assert spare == {"old-0", "old-1"}
    loads = {"v1": VersionLoad(runs=3, memory_tokens=300)}
    assert not engines_to_spare(engines, loads, limits=LIMITS, memory_tokens=100)


def test_no_version_is_spared_where_all_are_short_or_there_is_one() -> None:
    one_of_each = [target("a", "v1"), target("b", "v2")]
    assert not engines_to_spare(one_of_each, {}, limits=LIMITS, memory_tokens=100)
    full = {"v1": VersionLoad(runs=99, memory_tokens=9_999)}
    same = [target("a", "v1"), target("b", "v1")]
    assert not engines_to_spare(same, full, limits=LIMITS, memory_tokens=100)


def test_vms_together_stay_within_a_share_of_the_store_s_writes() -> None:
    for vms, writes_per_s in ((9, 400.0), (75, 1_200.0), (195, 3_200.0), (400, 400.0)):
        period_s = batch_period_s(vms=vms, writes_per_s=writes_per_s)
        assert vms / period_s <= 0.1 * writes_per_s + 1e-6 or period_s == 0.2


@attrs.define
class _Stream:
    """What a caller has: the versions that wrote its events."""

    wrote: set[str] = attrs.field(factory=set)


class StreamVersionMachine(RuleBasedStateMachine):
    """VMs, versions, returns and losses; the guards are the decisions above.

    A VM knows what it was told: the record of versions, origins of streams. Streams begin and go
    on by the same decisions as at a gateway; the model only knows what really wrote the events.
    """

    guarded = True

    @initialize()
    def start(self) -> None:
        self.now = 0.0
        self.alive: dict[str, str] = {}
        """The engines that run, with the versions of their software."""
        self.listed: dict[str, str] = {}
        self.stored = record("v1", number=1)
        self.stored_origins: dict[str, str] = {}
        self.streams: dict[str, _Stream] = {}
        self.begun = 0
        """No two requests have the same id, also when the first is over."""
        self.revision = 1
        self._new_vms()
        self._start_engine("v1")

    def _new_vms(self) -> None:
        self.versions, self.origins = VersionsInUse(), StreamOrigins()
        self.versions.apply_record(self.stored, self.now)

    def _start_engine(self, version: str) -> None:
        name = f"e-{len(self.alive) + len(self.streams)}-{self.revision}-{version}"
        self.alive[name] = self.listed[name] = version

    def _targets(self) -> list[ListedTarget]:
        return [target(name, version) for name, version in self.listed.items()]

    def _keep_record(self) -> None:
        wanted = self.versions.wanted([SERVICE], self._targets(), self.now, keep_s=KEEP_S)
        if wanted == self.stored.versions:
            return
        self.revision += 1
        self.stored = RecordedVersions(
            versions=wanted, revision=Revision(number=self.revision), proven=True
        )
        self.versions.apply_record(self.stored, self.now)

    def _write(self, request: str, engine: str) -> None:
        """Have an engine write events of a stream."""
        version = self.alive[engine]
        self.streams.setdefault(request, _Stream()).wrote.add(version)
        self.origins.record(origin(request, version, engine), self.now)
        self.versions.record_begin(SERVICE, version, engine, self.now)
        if self.versions.has_several(SERVICE):
            self.stored_origins[request] = version

    def _able(self, version: str | None) -> list[ListedTarget]:
        running = [t for t in self._targets() if t.id in self.alive]
        if version is not None:
            return [t for t in running if t.version == version]
        able = self.versions.prefer_recorded(running)
        able = tuple(t for t in able if not self.versions.holds_back(t, self.now))
        return [t for t in able if not (self.guarded and self.versions.bars(t))]

    @rule(version=st.sampled_from(["v1", "v2", "v2.0", ""]))
    def another_engine_comes(self, version: str) -> None:
        self._start_engine(version)

    @rule(version=st.sampled_from(["v1", "v2"]))
    def one_version_replaces_all_others(self, version: str) -> None:
        self.alive.clear()
        self.listed.clear()
        self._start_engine(version)

    @precondition(lambda self: len(self.streams) < 8)
    @rule(versions=st.permutations(["v1", "v2"]), data=st.data())
    def power_goes_as_a_version_has_just_come(
        self, versions: list[str], data: st.DataObject
    ) -> None:
        came, serves_again = versions
        self.one_version_replaces_all_others(came)
        self.a_stream_begins(data)
        self.all_vms_die()
        self.one_version_replaces_all_others(serves_again)

    @precondition(lambda self: len(self.streams) < 8)
    @rule(versions=st.permutations(["v1", "v2"]), data=st.data())
    def power_goes_after_the_store_took_no_write_for_long(
        self, versions: list[str], data: st.DataObject
    ) -> None:
        came, serves_again = versions
        self.one_version_replaces_all_others(came)
        self.a_stream_begins(data)
        self.now += MAX_HOLD_S
        self.a_stream_begins(data)
        self.all_vms_die()
        self.one_version_replaces_all_others(serves_again)

    @rule()
    def the_record_is_kept(self) -> None:
        self._keep_record()

    @precondition(lambda self: len(self.alive) > 1)
    @rule(data=st.data())
    def an_engine_ends(self, data: st.DataObject) -> None:
        name = data.draw(st.sampled_from(sorted(self.alive)))
        del self.alive[name]
        if data.draw(st.booleans()):
            del self.listed[name]

    @precondition(lambda self: len(self.streams) < 8)
    @rule(data=st.data())
    def a_stream_begins(self, data: st.DataObject) -> None:
        able = self._able(None)
        if able:
            engine = data.draw(st.sampled_from(sorted(t.id for t in able)))
            self.begun += 1
            self._write(f"r-{self.begun}", engine)

    @precondition(lambda self: self.streams)
    @rule(data=st.data())
    def a_caller_takes_its_stream_up(self, data: st.DataObject) -> None:
        request = data.draw(st.sampled_from(sorted(self.streams)))
        found = self.origins.find(request)
        version = (
            found.version
            if found is not None
            else self.versions.only_version(SERVICE, self._targets())
        )
        if version is None:
            version = self.stored_origins.get(request)
        if version is None and self.guarded:
            return
        able = self._able(version if self.guarded else None)
        if able:
            self._write(request, data.draw(st.sampled_from(sorted(t.id for t in able))))

    @rule()
    def all_vms_die(self) -> None:
        """Power may go before the record names a version that has come."""
        self._new_vms()

    @rule(seconds=st.sampled_from([1.0, KEEP_S + 1.0]))
    def time_passes(self, seconds: float) -> None:
        self._keep_record()
        self.now += seconds
        if seconds > KEEP_S:
            self.streams.clear()
        self.versions.expire(self.now, keep_s=KEEP_S)
        self.origins.expire(self.now, keep_s=KEEP_S)
        self._keep_record()

    @invariant()
    def no_stream_has_events_of_two_versions(self) -> None:
        for request, stream in getattr(self, "streams", {}).items():
            assert len(stream.wrote) <= 1, f"{request}: {stream.wrote}"


class UnguardedMachine(StreamVersionMachine):
    """Any engine goes on with any stream, as before."""

    guarded = False


TestStreamVersions = StreamVersionMachine.TestCase


def test_the_model_finds_streams_of_two_versions_without_the_guard() -> None:
    case = UnguardedMachine.TestCase()
    failed = ""
    try:
        case.runTest()
    except AssertionError as error:
        failed = str(error)
    assert "v" in failed and "r-" in failed
