"""Division of a pool's slots where there is nothing to divide."""

from __future__ import annotations

import pytest

from lagoonlever.decisions.shares.shares import ShareNode, ShareTree
from lagoonlever.decisions.shares.slots import LeafDemand, divide_slots


@pytest.mark.parametrize(
    ("slots", "demand"),
    [(8.0, {}), (0.0, {"/a": LeafDemand(total=3, own=1)})],
    ids=["no demand", "no engine left"],
)
def test_nothing_to_divide_gives_an_empty_division(
    slots: float, demand: dict[str, LeafDemand]
) -> None:
    """A VM without a request, or whose last engine died, ends with an error within a second.

    The division named the root with no slots; whoever read it took the root's
    organisation, or divided by the sum.
    """
    tree = ShareTree(
        [ShareNode(path="/", weight=1, parent=None), ShareNode(path="/a", weight=1, parent="/")]
    )
    divided = divide_slots(
        tree=tree, demand=demand, slots=slots, pull=lambda _: 1.0, max_running={}
    )
    assert divided == {}
