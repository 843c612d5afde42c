"""Questions to engines that several requests share."""

from __future__ import annotations

from typing import Any

import pytest
import trio
import trio.testing

from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.gateway.messages import EngineReport
from lagoonlever.gateway.prober import EngineProber
from lagoonlever.http.messages import Address

ENGINE = ListedTarget(
    id="e", service="engines", address=Address(host="127.0.0.1", port=1), data_center="dc-0"
)


def test_a_question_whose_first_asker_leaves_is_asked_for_the_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A caller left while a live engine was asked, and other requests took it for gone."""
    report: Any = object()
    asked: list[trio.Event] = []

    async def fetch(prober: EngineProber, engine: ListedTarget) -> Any:
        answered = trio.Event()
        asked.append(answered)
        await answered.wait()
        return _Question(report)

    monkeypatch.setattr(EngineProber, "_fetch", fetch)

    async def main() -> None:
        prober = EngineProber()
        reports: list[EngineReport | None] = []

        async def ask() -> None:
            reports.append(await prober.ask(ENGINE))

        async with trio.open_nursery() as others:
            async with trio.open_nursery() as first:
                first.start_soon(ask)
                await trio.testing.wait_all_tasks_blocked()
                others.start_soon(ask)
                others.start_soon(ask)
                await trio.testing.wait_all_tasks_blocked()
                first.cancel_scope.cancel()
            await trio.testing.wait_all_tasks_blocked()
            for answered in asked:
                answered.set()
        assert reports == [report, report]
        assert len(asked) == 2

    trio.run(main)


class _Question:
    """One that was answered."""

    broke = False

    def __init__(self, report: Any) -> None:
        self.report = report
