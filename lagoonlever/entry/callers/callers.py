"""Who calls: from an API key to a node of the settings tree."""

from __future__ import annotations

from http import HTTPStatus

import attrs

from lagoonlever.exceptions import RequestRefused
from lagoonlever.http.messages import Headers
from lagoonlever.published import Published
from lagoonlever.tree.nodes import ROOT, TreeView
from lagoonlever.tree.options import EffectiveSettings

AUTHORIZATION = "Authorization"
BEARER = "bearer "


@attrs.define(kw_only=True)
class CallerDirectory:
    """Knows the callers by the settings in force; a tree without any key is open to all."""

    _tree: Published[TreeView]

    def organisation_of(self, headers: Headers) -> str:
        """Give the path of the caller's node; raises ``RequestRefused`` naming the header."""
        tree = self._tree.value
        if not any(node.get("api_keys") for node in tree.nodes):
            return ROOT
        value = headers.get(AUTHORIZATION) or ""
        if not value.lower().startswith(BEARER):
            raise RequestRefused(
                status=HTTPStatus.UNAUTHORIZED,
                field=AUTHORIZATION,
                message="give 'Bearer' and an API key",
            )
        path = tree.organisation_of_key(value[len(BEARER) :].strip())
        if path is None:
            raise RequestRefused(
                status=HTTPStatus.UNAUTHORIZED,
                field=AUTHORIZATION,
                message="holds no key of an organisation",
            )
        return path

    def settings_of(self, path: str) -> EffectiveSettings:
        """Give the options in force for a caller's node."""
        tree = self._tree.value
        return tree.resolve(path if path in tree else ROOT)
