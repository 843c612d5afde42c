"""The platform by the etcd v3 key-value protocol, over JSON and HTTP."""

from __future__ import annotations

import contextlib
import math
from collections.abc import Sequence

from lagoonlever.exceptions import PlatformAnswerLost, PlatformUnavailable
from lagoonlever.http.messages import Address
from lagoonlever.instruments import Metrics
from lagoonlever.revisions import Revision
from lagoonlever.store import etcd_wire as wire
from lagoonlever.store.etcd_servers import CALL_TIMEOUT_S, EtcdCall, EtcdServers
from lagoonlever.store.etcd_watch import EtcdWatch
from lagoonlever.store.port import (
    ABSENT,
    MAX_VALUE_BYTES,
    NO_LEASE,
    ChangeRefused,
    ClaimedKey,
    ClaimResult,
    Conflict,
    KeyRead,
    KeyValue,
    Lapsed,
    Lease,
    LeaseLapsed,
    NewKey,
    PrefixRead,
    RenewalResult,
    Renewed,
    Swapped,
    SwapResult,
    VmEntry,
    VmRole,
    VmState,
    Watch,
)
from lagoonlever.store.registry import adapter


@adapter("etcd-json")
class EtcdPlatform:
    """An adapter of the platform's port; safe for use by many tasks."""

    def __init__(
        self,
        *,
        addresses: Sequence[Address],
        metrics: Metrics | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        self._servers = EtcdServers(addresses=addresses, metrics=metrics, timeout_s=timeout_s)

    async def get(self, key: str, *, stale_ok: bool = False) -> KeyRead:
        """Read one key; with ``stale_ok`` as one member of the service has it."""
        request = wire.RangeRequest(key=_key(key), serializable=stale_ok)
        response = await self._range(request, step="get")
        entry = wire.key_value(response.kvs[0]) if response.kvs else None
        return KeyRead(revision=_revision(response.header), entry=entry)

    async def get_prefix(self, prefix: str) -> PrefixRead:
        """Read all keys under a prefix."""
        end = wire.to_base64(wire.prefix_end(prefix.encode()))
        request = wire.RangeRequest(key=_key(prefix), range_end=end)
        response = await self._range(request, step="get-prefix")
        return PrefixRead(
            revision=_revision(response.header),
            entries=tuple(wire.key_value(each) for each in response.kvs),
        )

    async def compare_and_swap(
        self, key: str, *, expected_revision: int, value: bytes | None, lease: int = NO_LEASE
    ) -> SwapResult:
        """Write a key, or delete it by None, if its revision is the expected one."""
        change = _deletion(key) if value is None else _put(key, value, lease)
        request = wire.TxnRequest(
            compare=[_compare(key, expected_revision)],
            success=[change],
            failure=[_read(key)],
        )
        response = await self._txn(request, step="compare-and-swap")
        revision = _revision(response.header)
        if response.succeeded:
            return Swapped(revision=revision)
        return Conflict(revision=revision, current=_first(response))

    async def claim(self, keys: Sequence[NewKey]) -> ClaimResult:
        """Create each key that is absent, all in one transaction, and read the others."""
        nested = [
            wire.TxnRequest(
                compare=[_compare(new.key, ABSENT)],
                success=[_put(new.key, new.value, new.lease)],
                failure=[_read(new.key)],
            )
            for new in keys
        ]
        request = wire.TxnRequest(success=[wire.RequestOp(request_txn=each) for each in nested])
        response = await self._txn(request, step="claim")
        answers = [op.response_txn or wire.TxnResponse() for op in response.responses]
        if len(answers) != len(keys):
            raise PlatformAnswerLost("not one answer a key", step="claim", peer="platform")
        return ClaimResult(
            revision=_revision(response.header),
            keys=tuple(
                ClaimedKey(key=new.key, holder=None if answer.succeeded else _first(answer))
                for new, answer in zip(keys, answers, strict=True)
            ),
        )

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Take a lease of at least ``ttl_s``, in whole seconds as the protocol has it."""
        request = wire.GrantRequest(TTL=str(math.ceil(ttl_s)))
        response = await self._servers.change(
            EtcdCall(
                step="grant-lease",
                path=wire.GRANT_PATH,
                message=request,
                answer=wire.LeaseResponse,
            )
        )
        return Lease(id=int(response.ID), ttl_s=float(response.TTL))

    async def keep_alive(self, lease: Lease) -> RenewalResult:
        """Renew a lease."""
        request = wire.LeaseRequest(ID=str(lease.id))
        response = await self._servers.read(
            EtcdCall(
                step="keep-alive",
                path=wire.KEEP_ALIVE_PATH,
                message=request,
                answer=wire.KeepAliveResponse,
            )
        )
        ttl_s = float(response.result.TTL)
        return Renewed(ttl_s=ttl_s) if ttl_s > 0 else Lapsed()

    async def revoke(self, lease: Lease) -> None:
        """Give a lease up, with its keys; one that has lapsed is no error."""
        request = wire.LeaseRequest(ID=str(lease.id))
        with contextlib.suppress(LeaseLapsed):
            await self._servers.read(
                EtcdCall(
                    step="revoke",
                    path=wire.REVOKE_PATH,
                    message=request,
                    answer=wire.WriteResponse,
                )
            )

    def watch(self, prefix: str, *, after_revision: Revision) -> Watch:
        """Watch the changes after a revision."""
        return EtcdWatch(servers=self._servers, prefix=prefix, after_revision=after_revision)

    async def list_vms(self) -> tuple[VmEntry, ...]:
        """Read the list of live and leaving VMs."""
        listed = await self._servers.read(
            EtcdCall(step="list-vms", path=wire.VMS_PATH, method="GET", answer=wire.VmList)
        )
        try:
            return tuple(_vm_entry(each) for each in listed.vms)
        except ValueError as error:
            raise PlatformUnavailable(str(error), step="list-vms", peer="platform") from error

    async def aclose(self) -> None:
        """Close idle connections."""
        await self._servers.aclose()

    async def _range(self, request: wire.RangeRequest, *, step: str) -> wire.RangeResponse:
        return await self._servers.read(
            EtcdCall(step=step, path=wire.RANGE_PATH, message=request, answer=wire.RangeResponse)
        )

    async def _txn(self, request: wire.TxnRequest, *, step: str) -> wire.TxnResponse:
        return await self._servers.change(
            EtcdCall(step=step, path=wire.TXN_PATH, message=request, answer=wire.TxnResponse)
        )


def _key(key: str) -> str:
    return wire.to_base64(key.encode())


def _revision(header: wire.Header) -> Revision:
    return Revision(number=int(header.revision))


def _compare(key: str, expected_revision: int) -> wire.Compare:
    if expected_revision == ABSENT:
        return wire.Compare(key=_key(key), target="CREATE", create_revision="0")
    return wire.Compare(key=_key(key), target="MOD", mod_revision=str(expected_revision))


def _put(key: str, value: bytes, lease: int) -> wire.RequestOp:
    if len(value) > MAX_VALUE_BYTES:
        raise ChangeRefused(
            f"{key} has {len(value)} bytes; at most {MAX_VALUE_BYTES} fit",
            step="put",
            peer="platform",
        )
    held = str(lease) if lease != NO_LEASE else None
    put = wire.PutRequest(key=_key(key), value=wire.to_base64(value), lease=held)
    return wire.RequestOp(request_put=put)


def _deletion(key: str) -> wire.RequestOp:
    return wire.RequestOp(request_delete_range=wire.DeleteRangeRequest(key=_key(key)))


def _read(key: str) -> wire.RequestOp:
    return wire.RequestOp(request_range=wire.RangeRequest(key=_key(key)))


def _first(response: wire.TxnResponse) -> KeyValue | None:
    for op in response.responses:
        if op.response_range is not None and op.response_range.kvs:
            return wire.key_value(op.response_range.kvs[0])
    return None


def _vm_entry(listed: wire.WireVm) -> VmEntry:
    peer_address = Address.parse(listed.peer_address) if listed.peer_address else None
    return VmEntry(
        name=listed.name,
        address=Address.parse(listed.address),
        peer_address=peer_address,
        data_center=listed.data_center,
        role=VmRole(listed.role),
        state=VmState(listed.state),
    )
