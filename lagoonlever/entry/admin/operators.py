"""Who may use the administration API of a VM."""

from __future__ import annotations

import ipaddress

import attrs

from lagoonlever.config.options import option
from lagoonlever.exceptions import RequestRefused
from lagoonlever.http.messages import Address, Request
from lagoonlever.tree.options import API_KEY_DIGEST, api_key_digest

AUTHORIZATION = "Authorization"
BEARER = "bearer "
UNAUTHORIZED, FORBIDDEN = 401, 403


def _check_digests(digests: tuple[str, ...]) -> str | None:
    if all(API_KEY_DIGEST.match(digest) for digest in digests):
        return None
    return "holds something that is no 'sha256:<64 hex digits>'; never store the key itself"


@attrs.frozen(kw_only=True)
class AdminSettings:
    """The section ``admin`` of a VM's settings."""

    api_keys: tuple[str, ...] = option(
        default=(),
        check=_check_digests,
        doc="Digests of the operators' keys; without any, only callers on the VM itself are heard.",
    )


@attrs.frozen(kw_only=True)
class Operators:
    """The callers whom the administration API hears."""

    _settings: AdminSettings = attrs.field(factory=AdminSettings)

    def check(self, request: Request) -> None:
        """Let an operator's request pass; raises ``RequestRefused`` for any other."""
        if not self._settings.api_keys:
            self._check_local(request)
            return
        value = request.headers.get(AUTHORIZATION) or ""
        key = value[len(BEARER) :].strip() if value.lower().startswith(BEARER) else ""
        if api_key_digest(key) not in self._settings.api_keys:
            raise RequestRefused(
                status=UNAUTHORIZED,
                field=AUTHORIZATION,
                message="give 'Bearer' and an operator's key",
            )

    def _check_local(self, request: Request) -> None:
        if ipaddress.ip_address(Address.parse(request.peer).host).is_loopback:
            return
        raise RequestRefused(
            status=FORBIDDEN,
            field="admin.api_keys",
            message="is empty on this VM, so only callers on the VM itself are heard",
        )
