"""Settings files: every fault told at once, sections in lists and optionals, strict checks."""

from __future__ import annotations

from pathlib import Path

import attrs
import pytest

from lagoonlever.config.options import load, option
from lagoonlever.config.vm import VmSettings, load_vm_settings, warnings_of
from lagoonlever.exceptions import FaultsError


@attrs.frozen(kw_only=True)
class Inner:
    """A section for these tests."""

    size: int = option(doc="A size.", at_least=1)


@attrs.frozen(kw_only=True)
class Outer:
    """A section that holds others in each way that is allowed."""

    one: Inner | None = option(doc="Optional.", default=None)
    many: list[Inner] = option(doc="Listed.", factory=list)
    fixed: tuple[Inner, ...] = option(doc="Listed.", default=())
    named: dict[str, Inner] = option(doc="By name.", factory=dict)


GOOD = """{
  // what stands here is the least
  name: "e1",
  "data_center": "dc-a",
  "listen": "127.0.0.1:8080",
  "peer_listen": "127.0.0.1:8081",
  "platform": {"addresses": ["127.0.0.1:2379"]},
  "seeds": ["127.0.0.1:9081"],
}"""


def _faults(cls: type, document: object) -> dict[str, str]:
    with pytest.raises(FaultsError) as raised:
        load(cls, document)
    return {fault.path: fault.message for fault in raised.value.faults}


def _write(folder: Path, text: str) -> Path:
    file = folder / "vm.json"
    file.write_text(text, encoding="utf-8")
    return file


def test_sections_in_lists_maps_and_optionals_are_checked_too() -> None:
    faults = _faults(
        Outer,
        {
            "one": {"size": 0},
            "many": [{"size": 1}, {"sise": 2}],
            "fixed": [{"size": "x"}],
            "named": {"a": {"size": 0}},
        },
    )
    assert set(faults) == {
        "one.size",
        "many[1].size",
        "many[1].sise",
        "fixed[0].size",
        "named.a.size",
    }
    assert "did you mean 'size'" in faults["many[1].sise"]


def test_nested_sections_are_loaded_as_their_classes() -> None:
    document = {"one": None, "many": [{"size": 1}], "fixed": [{"size": 2}], "named": {}}
    loaded = load(Outer, document)
    assert loaded == Outer(one=None, many=[Inner(size=1)], fixed=(Inner(size=2),), named={})


def test_a_list_in_place_of_a_section_is_a_fault_and_no_crash() -> None:
    assert set(_faults(Outer, {"one": [], "many": {}, "named": [], "fixed": 3})) == {
        "one",
        "many",
        "named",
        "fixed",
    }


def test_a_least_file_with_comments_is_enough(tmp_path: Path) -> None:
    settings = load_vm_settings(_write(tmp_path, GOOD), strict=True)
    assert settings.name == "e1"
    assert str(settings.advertised) == "127.0.0.1:8080"


def test_all_faults_are_told_together_by_option() -> None:
    faults = _faults(
        VmSettings,
        {
            "name": "E 1",
            "listen": "0.0.0.0:80",
            "peer_listen": "0.0.0.0:80",
            "platform": {"addresses": [], "adapter": "other"},
            "sedes": [],
        },
    )
    assert set(faults) == {
        "name",
        "data_center",
        "peer_listen",
        "advertise",
        "platform.addresses",
        "platform.adapter",
        "sedes",
    }


@pytest.mark.parametrize("text", ["localhost:80", "10.0.0.1", "10.0.0.1:99999", "10.0.0.1:http"])
def test_an_address_is_an_ip_number_and_a_port(text: str) -> None:
    document = {
        "name": "e1",
        "data_center": "a",
        "listen": text,
        "peer_listen": "127.0.0.1:1",
        "platform": {"addresses": ["127.0.0.1:2"]},
    }
    assert set(_faults(VmSettings, document)) == {"listen"}


def test_strict_counts_warnings_as_faults(tmp_path: Path) -> None:
    file = _write(tmp_path, GOOD.replace('"seeds"', '"history_file": "h.jsonl", // "seeds"'))
    warned = {fault.path for fault in warnings_of(load_vm_settings(file))}
    assert warned == {"seeds", "history_file"}
    with pytest.raises(FaultsError) as raised:
        load_vm_settings(file, strict=True)
    assert {fault.path for fault in raised.value.faults} == warned


@pytest.mark.parametrize("text", ['{"name": }', '{"name": "a", "name": "b"}'])
def test_a_file_that_cannot_be_parsed_is_one_fault_with_its_name(tmp_path: Path, text: str) -> None:
    file = _write(tmp_path, text)
    with pytest.raises(FaultsError) as raised:
        load_vm_settings(file)
    assert [fault.path for fault in raised.value.faults] == [str(file)]
