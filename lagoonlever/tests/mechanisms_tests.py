"""Mechanisms that can be switched off: each has its plain way, and none is off by itself."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest
import trio

from lagoonlever.config.options import load
from lagoonlever.decisions.settings.mechanisms import MECHANISMS, Mechanisms, gives
from lagoonlever.exceptions import FaultsError
from lagoonlever.gateway import parts  # noqa: F401  registers the gateway's mechanisms
from lagoonlever.gateway.options import (
    OPTIONS_VARIABLE,
    GatewayOptions,
    apply_options,
    load_options,
)
from lagoonlever.tests.gateway_site import GatewaySite, run_site


@pytest.fixture(autouse=True)
def all_on() -> Iterator[None]:
    yield
    MECHANISMS.switch_off(())


def test_the_plain_way_is_taken_while_a_mechanism_is_off() -> None:
    mechanisms = Mechanisms()

    @mechanisms.register("twice", does="doubles", without="zero", plain=gives(0))
    def twice(number: int) -> int:
        return 2 * number

    @mechanisms.register("later", does="waits", without="nothing", plain=gives(None))
    async def later(number: int) -> int | None:
        return number

    assert twice(4) == 8
    mechanisms.switch_off(("twice", "later"))
    assert twice(4) == 0
    assert trio.run(later, 4) is None
    mechanisms.switch_off(())
    assert trio.run(later, 4) == 4


def test_every_mechanism_says_what_is_done_without_it() -> None:
    assert len(MECHANISMS.known) >= 12
    for mechanism in MECHANISMS.known:
        assert MECHANISMS.is_on(mechanism.name)
        assert mechanism.does and mechanism.without


def test_an_unknown_mechanism_is_told_with_those_that_are_known() -> None:
    options = load(GatewayOptions, {"without": ["copies", "cofee"]})
    with pytest.raises(FaultsError) as caught:
        apply_options(options)
    assert "cofee" in str(caught.value) and "copies" in str(caught.value)
    assert MECHANISMS.is_on("copies")


def test_a_gateway_s_own_settings_are_json_with_comments(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    file = tmp_path / "gateway.jsonc"
    file.write_text('{"without": ["copies"]} // to see what they are worth')
    monkeypatch.setenv(OPTIONS_VARIABLE, str(file))
    assert load_options() == GatewayOptions(without=("copies",))
    monkeypatch.delenv(OPTIONS_VARIABLE)
    assert load_options() == GatewayOptions()


def test_streams_are_whole_without_any_mechanism() -> None:
    """No promise rests on one: a stream through a crash is whole, its prompt is read twice."""
    MECHANISMS.switch_off(mechanism.name for mechanism in MECHANISMS.known)

    async def story(site: GatewaySite) -> None:
        def crash(count: int) -> None:
            if count == 5:
                site.crash(next(name for name, engine in site.engines.items() if engine.runs))

        got = await site.stream("p1", events=30, prompt_tokens=1000, on_event=crash)
        assert got.whole and got.is_events("p1", 1, 30)
        answer = await site.call("/look/1")
        assert answer.status == 200

    run_site(story)
