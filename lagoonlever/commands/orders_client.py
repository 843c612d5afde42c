"""Talks to the orders' part of the administration API of an entry VM."""

from __future__ import annotations

import attrs

from lagoonlever.commands.admin_client import AdminClient
from lagoonlever.entry.admin.orders_messages import (
    ORDERS_CHANGE_PATH,
    ORDERS_PATH,
    OrdersChangeAsked,
    OrdersChangeTold,
    OrdersShown,
)

CHANGE_STATUSES = (200, 409, 422, 503, 504)


@attrs.frozen(kw_only=True)
class OrdersClient(AdminClient):
    """The orders to engines by one VM; the query first, then the command."""

    async def show(self) -> OrdersShown:
        """Give what is wanted of each engine, what it reports, and who gives the orders."""
        return await self.get(ORDERS_PATH, OrdersShown)

    async def change(self, asked: OrdersChangeAsked) -> OrdersChangeTold:
        """Change what is wanted of engines.

        Guards against an answer that is lost between the VM and the operator:
        the change is sent again, and either stands as wanted by then or is made.
        Where it meets another state after that, an earlier try may have been
        stored and replaced, so that "nothing was stored" would be a guess.
        """
        answered = await self.send_change(ORDERS_CHANGE_PATH, asked, statuses=CHANGE_STATUSES)
        told = self.decode(answered.body, OrdersChangeTold)
        if answered.resent and told.tag in ("conflict", "not-stored"):
            return attrs.evolve(told, tag="undetermined")
        return told
