"""Talks to the settings' part of the administration API of an entry VM."""

from __future__ import annotations

from urllib.parse import urlencode

import attrs

from lagoonlever.commands.admin_client import CHANGE_TIMEOUT_S, AdminClient
from lagoonlever.decisions.settings.settings_watchers import InForce
from lagoonlever.entry.admin.messages import (
    CHANGE_PATH,
    CHECK_PATH,
    HISTORY_PATH,
    IN_FORCE_PATH,
    NODE_PATH,
    SETTINGS_PATH,
    ChangeTold,
    CheckAsked,
    CheckTold,
    HistoryShown,
    NodeShown,
    SettingsShown,
)
from lagoonlever.tree.change_plan import ChangeRequest

CHANGE_STATUSES = (200, 409, 422, 503, 504)


@attrs.frozen(kw_only=True)
class SettingsClient(AdminClient):
    """The settings by one VM; queries first, then the one command."""

    async def show(self) -> SettingsShown:
        """Give the settings as written."""
        return await self.get(SETTINGS_PATH, SettingsShown)

    async def node(self, path: str) -> NodeShown:
        """Give one node as the VM has it in force."""
        return await self.get(f"{NODE_PATH}?{urlencode({'path': path})}", NodeShown)

    async def history(self) -> HistoryShown:
        """Give the changes on record."""
        return await self.get(HISTORY_PATH, HistoryShown)

    async def in_force(self, version: int, *, wait_s: float) -> InForce:
        """Tell which VMs have a version in force, after waiting for all for a while."""
        query = urlencode({"version": version, "wait_s": wait_s})
        return await self.get(f"{IN_FORCE_PATH}?{query}", InForce, timeout_s=CHANGE_TIMEOUT_S)

    async def check(self, text: str) -> CheckTold:
        """Give the faults of a document."""
        return await self.post(CHECK_PATH, CheckAsked(text=text), CheckTold)

    async def change(self, request: ChangeRequest, *, wait_s: float) -> ChangeTold:
        """Make a change.

        Guards against an answer that is lost between the VM and the operator:
        the change is sent again under the same id, and the VM finds on record
        whether it was made.
        """
        path = f"{CHANGE_PATH}?{urlencode({'wait_s': wait_s})}"
        answered = await self.send_change(path, request, statuses=CHANGE_STATUSES)
        return self.decode(answered.body, ChangeTold)
