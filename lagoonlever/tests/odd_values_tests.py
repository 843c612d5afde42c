"""Values that other writers leave: read or turned away, and then sent to other VMs and served."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import logbook
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.exceptions import RequestRefused
from lagoonlever.gateway import events
from lagoonlever.http.messages import Address, Headers
from lagoonlever.http.server import CONNECTION_FAULT
from lagoonlever.peers.bus import MESSAGE_UNSENDABLE
from lagoonlever.platform.configuration import UnreadableConfiguration, read_configuration
from lagoonlever.platform.documents import configuration_document, target_entry
from lagoonlever.platform.engine_calls import Report, read_report
from lagoonlever.platform.headers import read_answer, read_caller
from lagoonlever.platform.targets import TARGETS_PREFIX, UnreadableTarget, read_target
from lagoonlever.soak.deployments import PLAIN
from lagoonlever.tests.gateway_site import GatewaySite, run_site, until

DEEP = 2_000
ODD_NUMBERS = (10**25, 10**400, -1, -(10**25), 1e308, 2**63, 2**64, 0.5)
ODD: tuple[Any, ...] = (*ODD_NUMBERS, None, True, "", "x" * 10_000, [], {}, [[[[]]]], {"a": []})
odd_values = st.one_of(st.sampled_from(ODD), st.integers(), st.floats(allow_nan=False), st.text())

LISTED = ListedTarget(
    id="e-1",
    service="engines",
    address=Address(host="127.0.0.1", port=9000),
    data_center="dc-0",
    slots=12,
    version="v1",
    started_ms=1_700_000_000_000,
)


def _json(value: Any) -> bytes:
    return msgspec.json.encode(_plain(value))


def _plain(value: Any) -> Any:
    """Return a value with numbers that the encoder refuses as raw JSON."""
    if isinstance(value, int) and not isinstance(value, bool) and abs(value) >= 2**63:
        return msgspec.Raw(str(value).encode())
    if isinstance(value, dict):
        return {key: _plain(inner) for key, inner in value.items()}
    if isinstance(value, list):
        return [_plain(inner) for inner in value]
    return value


def _nested(name: str) -> bytes:
    return b'{"' + name.encode() + b'":' + b"[" * DEEP * 100 + b"]" * DEEP * 100 + b"}"


def _sendable(value: Any) -> None:
    msgspec.msgpack.encode(value)


@given(
    field=st.sampled_from(sorted(msgspec.json.decode(target_entry(LISTED)))),
    value=odd_values,
)
def test_a_target_that_is_listed_can_be_told_to_other_vms(field: str, value: Any) -> None:
    """An entry with a start of 25 digits was listed, and no list with it could be sent."""
    document = {**msgspec.json.decode(target_entry(LISTED)), field: value}
    try:
        listed = read_target(f"{TARGETS_PREFIX}e-1", _json(document))
    except UnreadableTarget:
        return
    _sendable(listed)
    assert listed.slots >= 1


@pytest.mark.parametrize("address", ["1.2.3.4:70000", "1.2.3.4:-1", "1.2.3.4:0", "x:1", "1.2.3.4"])
def test_an_entry_with_an_address_that_can_not_be_reached_names_no_target(address: str) -> None:
    document = {**msgspec.json.decode(target_entry(LISTED)), "Address": address}
    with pytest.raises(UnreadableTarget):
        read_target(f"{TARGETS_PREFIX}e-1", _json(document))


@given(
    field=st.sampled_from([f.encode_name for f in msgspec.structs.fields(Report)]), value=odd_values
)
def test_an_odd_value_spoils_no_report_of_an_engine(field: str, value: Any) -> None:
    raw = msgspec.json.decode(_json({"Queued": 3, field: value}), type=Report)
    report = read_report(raw)
    _sendable(report)
    assert field == "Queued" or report.waiting == 3


@given(data=st.data())
def test_a_configuration_that_is_taken_can_be_told_to_other_vms(data: st.DataObject) -> None:
    document = msgspec.json.decode(configuration_document(PLAIN.configuration(1, ("key",))))
    _spoil(document, data.draw)
    try:
        configuration = read_configuration(_json(document))
    except UnreadableConfiguration:
        return
    _sendable(configuration.version)


def _spoil(document: Any, draw: Callable[[Any], Any]) -> None:
    """Put an odd value anywhere in a document."""
    while isinstance(document, dict | list) and document:
        keys = sorted(document) if isinstance(document, dict) else list(range(len(document)))
        key = draw(st.sampled_from(keys))
        inner = document[key]
        if not isinstance(inner, dict | list) or not inner or draw(st.booleans()):
            document[key] = draw(odd_values)
            return
        document = inner


@pytest.mark.parametrize("read", [read_configuration, lambda raw: read_target("servers/e", raw)])
def test_what_is_deeply_nested_is_turned_away(read: Callable[[bytes], object]) -> None:
    with pytest.raises((UnreadableConfiguration, UnreadableTarget)):
        read(_nested("Routes"))


@given(
    name=st.sampled_from(["Token-Count", "Last-Event-Id", "Length-Hint", "Prompt-Prefix"]),
    text=st.sampled_from(["1" * 25, "1" * 5_000, "-5", "1e300", "p:" + "9" * 30, "nan", "inf"]),
)
def test_what_a_caller_says_can_be_told_to_other_vms(name: str, text: str) -> None:
    """A count of 25 digits ended its request as it was to be told to the other VMs."""
    fields = {"Request-Id": "r", "Host": "h", "Token-Count": "5,5", name: text}
    try:
        head = read_caller(Headers(tuple(fields.items())))
    except RequestRefused:
        return
    _sendable(head)


@given(
    name=st.sampled_from(["Server-Limit", "Server-Load", "Server-Brittle", "Retry-After"]),
    text=st.sampled_from(["1e308", "1e308,1e308,1e308", "9" * 400, "-1", "nan", "inf,1,1"]),
)
def test_what_a_target_says_of_itself_is_finite(name: str, text: str) -> None:
    head = read_answer(503, Headers(((name, text),)))
    _sendable(head)
    if head.load is not None:
        assert int(head.load.running + head.load.waiting + head.load.slots) < 2**63


def test_odd_entries_among_targets_harm_no_request() -> None:
    """Callers lost their connections, and VMs stopped to follow the list."""
    usual = msgspec.json.decode(target_entry(LISTED))
    odd = {f"odd-{n}": _json({**usual, "born": value}) for n, value in enumerate(ODD)}
    odd |= {f"odd-slots-{n}": _json({**usual, "Slots": value}) for n, value in enumerate(ODD)}
    odd |= {"nested": _nested("Zone"), "port": _json({**usual, "Address": "127.0.0.1:70000"})}
    odd |= {"bytes": b"\xff\x00", "empty": b""}

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        for name, value in odd.items():
            site.store.put(f"{TARGETS_PREFIX}{name}", value)
        await site.start_engine("engine-new")
        for vm in list(site.vms):
            targets = site.vms[vm].daemon.parts.beliefs.targets
            await until(lambda targets=targets: targets.find("engine-new") is not None)
        late = await site.start_vm("vm-late")
        await site.wait_ready(late)
        for vm in site.vms:
            stream = await site.stream(f"p-{vm}", vm=vm, events=3)
            assert stream.whole
            assert (await site.call("/bid/1", vm=vm)).status == 200

    with logbook.TestHandler().applicationbound() as handler:
        run_site(story, engines=3, runners=2, vms=2)
    faults = {events.PART_FAILED, events.REQUEST_FAULT, CONNECTION_FAULT, MESSAGE_UNSENDABLE}
    assert not [r.message for r in handler.records if r.extra.get("event") in faults]
