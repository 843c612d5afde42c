"""The list of roll-outs, as operators see it."""

from __future__ import annotations

from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.http.messages import Address
from lagoonlever.platform.documents import target_entry
from lagoonlever.tests.beside_store import run_alone, run_beside_store
from lagoonlever.tests.free_ports import free_address

ORDER = b'{"Service": "apps", "To": "v2", "DurationS": 12}'


def test_an_order_is_told_with_its_state() -> None:
    status = ("status/rollout/apps", b'{"State": "rolled_back", "To": "v2"}')
    told = run_beside_store("rollouts", ("op/rollout/apps", ORDER), status)
    assert told.output == "apps  to v2 within 12 s: rolled-back\n"


def test_an_order_that_no_gateway_has_taken_is_told() -> None:
    status = ("status/rollout/apps", b'{"State": "completed", "To": "v1"}')
    told = run_beside_store("rollouts", status, ("op/rollout/apps", ORDER))
    assert told.output == "apps  to v2 within 12 s: no gateway has taken it yet\n"


def test_a_service_that_a_verdict_left_without_targets_is_told() -> None:
    """Guards against an operator who can't see why every call is refused."""
    status = ("status/rollout/apps", b'{"State": "rolled_back", "To": "v2"}')
    new, old = (listed(name, version) for name, version in (("new", "v2"), ("old", "v1")))
    alone = run_beside_store("rollouts", ("op/rollout/apps", ORDER), status, new).output
    assert alone.startswith("apps  to v2 within 12 s: rolled-back; nothing serves")
    beside = run_beside_store("rollouts", ("op/rollout/apps", ORDER), status, new, old).output
    assert "nothing serves" not in beside


def listed(name: str, version: str) -> tuple[str, bytes]:
    """Give the entry of a target of the application service."""
    target = ListedTarget(
        id=name,
        service="apps",
        address=Address(host="10.0.0.1", port=9000),
        data_center="dc-0",
        version=version,
    )
    return (f"servers/{name}", target_entry(target))


def test_what_can_t_be_read_is_told() -> None:
    assert "unreadable" in run_beside_store("rollouts", ("op/rollout/apps", b"[1]")).output
    odd = ("status/rollout/apps", b'{"State": "odd", "To": "v2"}')
    assert "unreadable" in run_beside_store("rollouts", ("op/rollout/apps", ORDER), odd).output


def test_an_empty_store_has_none() -> None:
    assert run_beside_store("rollouts").output == "no version was ordered\n"


def test_a_store_that_is_away_is_told() -> None:
    told = run_alone("rollouts", str(free_address()))
    assert told.exit_code == 3
