"""Who a service hears that its caller is, and who is not let through to it."""

from __future__ import annotations

import pytest
import trio

from lagoonlever.entry.services.call import ServiceCall, forwarded_answer
from lagoonlever.entry.services.settings import Service
from lagoonlever.fakes.cluster import EmbeddedCluster
from lagoonlever.http.client import Response, fetch
from lagoonlever.http.messages import Headers, Request
from lagoonlever.outcomes import OUTCOME_HEADER, RETRY_AFTER_HEADER, NotRun, OutcomeTag
from lagoonlever.tree.nodes import ROOT, Node, Override, TreeView
from lagoonlever.tree.options import api_key_digest

TIMEOUT_S = 30
KEYED = Node(path="/motus", overrides=(Override(option="api_keys", value=(api_key_digest("k1"),)),))


@pytest.mark.parametrize(
    ("text", "retry_after_s"), [("3", 3.0), ("\xb2", None), ("9" * 5_000, None), ("-1", None)]
)
def test_an_odd_pause_of_another_vm_says_nothing(text: str, retry_after_s: float | None) -> None:
    """A superscript two counts as a digit but makes no number; the answer it came with was lost."""
    fields = ((OUTCOME_HEADER, OutcomeTag.NOT_RUN.value), (RETRY_AFTER_HEADER, text))
    answer = forwarded_answer(Response(status=503, headers=Headers(fields), body=b""))
    assert answer is not None
    assert isinstance(answer.outcome, NotRun)
    assert answer.outcome.retry_after_s == retry_after_s


def test_a_service_gets_the_organisation_and_not_the_key() -> None:
    """An organisation's key stands in the log of a service that it calls."""
    request = Request(
        method="POST",
        path="/services/application/bids",
        query={},
        headers=Headers((("authorization", "Bearer k1"), ("Content-Type", "application/json"))),
        body=b"{}",
        peer="10.0.0.1:999",
    )
    call = ServiceCall(
        service=Service(name="application"),
        request=request,
        path="/bids",
        organisation="/motus",
        deadline=None,
    )
    headers = call.target_headers()
    assert headers.get("Authorization") is None
    assert headers.get("Lagoonlever-Organisation") == "/motus"
    assert headers.get("Content-Type") == "application/json"
    assert call.headers().get("Authorization") == "Bearer k1"


def test_a_call_without_a_known_key_reaches_no_service() -> None:
    """Anybody places bids, although the settings name the callers' keys.

    The key was looked up, found unknown, and the call went on as nobody's.
    """

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            cluster = EmbeddedCluster(nursery=nursery)
            with trio.fail_after(TIMEOUT_S):
                await cluster.start(engines=1, vms=1)
                (vm,) = cluster.vms.values()
                tree = TreeView(version=1, nodes=(Node(path=ROOT), KEYED))
                vm.daemon.parts.tree.publish(tree)
                answer = await fetch(
                    vm.daemon.address,
                    method="POST",
                    path="/services/application/bids",
                    body=b"{}",
                    step="bid",
                    timeout_s=TIMEOUT_S,
                )
            assert answer.status == 401
            assert answer.headers.get("Lagoonlever-Outcome") == "not-run"
            (application,) = cluster.applications.values()
            assert application.executions.without_key == 0
            nursery.cancel_scope.cancel()

    trio.run(main)
