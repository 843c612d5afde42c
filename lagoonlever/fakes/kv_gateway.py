"""The etcd v3 JSON gateway over the stand-in's store: one call in, one message out."""

from __future__ import annotations

from typing import NoReturn, TypeVar

import msgspec

from lagoonlever.exceptions import LagoonleverException
from lagoonlever.fakes.kv_store import KeyValueStore, LeaseNotFound, Stored
from lagoonlever.store import etcd_wire as wire
from lagoonlever.store.port import MAX_VALUE_BYTES

T = TypeVar("T")
MAX_TXN_OPERATIONS = 128
INVALID_ARGUMENT = 3


class GatewayError(LagoonleverException):
    """A call that the gateway refuses, with its status and its body."""

    def __init__(self, *, status: int, code: int, message: str) -> None:
        self.status = status
        self.body = wire.ErrorResponse(code=code, message=message)
        super().__init__(message)


class Gateway:
    """Answers the calls that are no watch; raises ``GatewayError``."""

    def __init__(self, *, store: KeyValueStore) -> None:
        self._store = store

    @property
    def header(self) -> wire.Header:
        """The head of an answer now."""
        return wire.Header(revision=str(self._store.revision))

    def answer(self, path: str, body: bytes, *, now: float) -> object:
        """Carry a call out and give the message that answers it."""
        self._store.expire(now=now)
        try:
            return self._answer(path, body, now)
        except LeaseNotFound as error:
            _refuse(f"etcdserver: {error}", status=404, code=wire.NOT_FOUND)
        except (msgspec.MsgspecError, ValueError) as error:
            _refuse(str(error))

    def _answer(self, path: str, body: bytes, now: float) -> object:
        if path == wire.RANGE_PATH:
            return self._range(_read(body, wire.RangeRequest))
        if path == wire.TXN_PATH:
            return self._commit_txn(_read(body, wire.TxnRequest))
        if path == wire.PUT_PATH:
            put = _read(body, wire.PutRequest)
            return self._commit_txn(wire.TxnRequest(success=[wire.RequestOp(request_put=put)]))
        if path == wire.GRANT_PATH:
            ttl_s = float(_read(body, wire.GrantRequest).TTL)
            lease = self._store.grant(ttl_s, now=now)
            return wire.LeaseResponse(ID=str(lease.id), TTL=str(int(lease.ttl_s)))
        if path == wire.KEEP_ALIVE_PATH:
            return self._keep_alive(int(_read(body, wire.LeaseRequest).ID), now)
        if path == wire.REVOKE_PATH:
            self._store.revoke(int(_read(body, wire.LeaseRequest).ID))
            self._store.commit()
            return wire.WriteResponse(header=self.header)
        if path == wire.COMPACTION_PATH:
            self._store.compact(int(_read(body, wire.CompactionRequest).revision))
            return wire.WriteResponse(header=self.header)
        return _refuse(f"no {path} here", status=404, code=0)

    def _keep_alive(self, lease_id: int, now: float) -> wire.KeepAliveResponse:
        try:
            lease = self._store.renew(lease_id, now=now)
        except LeaseNotFound:
            return wire.KeepAliveResponse(result=wire.LeaseResponse(ID=str(lease_id)))
        result = wire.LeaseResponse(ID=str(lease_id), TTL=str(int(lease.ttl_s)))
        return wire.KeepAliveResponse(result=result)

    def _range(self, request: wire.RangeRequest) -> wire.RangeResponse:
        end = None if request.range_end is None else wire.from_base64(request.range_end)
        found = self._store.range(wire.from_base64(request.key), end)
        return wire.RangeResponse(header=self.header, kvs=[wire_of(stored) for stored in found])

    def _commit_txn(self, request: wire.TxnRequest) -> wire.TxnResponse:
        self._check(request)
        try:
            response = self._txn(request)
        except GatewayError:
            self._store.discard()
            raise
        self._store.commit()
        return self._with_header(response)

    def _with_header(self, response: wire.TxnResponse) -> wire.TxnResponse:
        return wire.TxnResponse(
            header=self.header, succeeded=response.succeeded, responses=response.responses
        )

    def _check(self, request: wire.TxnRequest) -> None:
        operations = request.success + request.failure
        largest = max(len(request.compare), len(request.success), len(request.failure))
        if largest > MAX_TXN_OPERATIONS:
            _refuse("etcdserver: too many operations in txn request")
        for operation in operations:
            put = operation.request_put
            if put is not None and len(wire.from_base64(put.value)) > MAX_VALUE_BYTES:
                _refuse("etcdserver: request is too large")
            if put is not None and put.lease is not None:
                self._store.lease(int(put.lease))
            if operation.request_txn is not None:
                self._check(operation.request_txn)

    def _txn(self, request: wire.TxnRequest) -> wire.TxnResponse:
        held = all(self._holds(compare) for compare in request.compare)
        operations = request.success if held else request.failure
        responses = [self._run(operation) for operation in operations]
        return wire.TxnResponse(header=self.header, succeeded=held, responses=responses)

    def _holds(self, compare: wire.Compare) -> bool:
        found = self._store.range(wire.from_base64(compare.key), None)
        if compare.target == "CREATE":
            actual = found[0].create_revision if found else 0
            return actual == int(compare.create_revision or 0)
        if compare.target == "MOD":
            actual = found[0].mod_revision if found else 0
            return actual == int(compare.mod_revision or 0)
        return _refuse(f"target {compare.target!r} is not supported")

    def _run(self, operation: wire.RequestOp) -> wire.ResponseOp:
        if operation.request_put is not None:
            put = operation.request_put
            key, value = wire.from_base64(put.key), wire.from_base64(put.value)
            self._store.put(key, value, lease=int(put.lease or 0))
            return wire.ResponseOp(response_put=wire.WriteResponse(header=self.header))
        if operation.request_range is not None:
            return wire.ResponseOp(response_range=self._range(operation.request_range))
        if operation.request_delete_range is not None:
            self._store.delete(wire.from_base64(operation.request_delete_range.key))
            return wire.ResponseOp(response_delete_range=wire.WriteResponse(header=self.header))
        if operation.request_txn is not None:
            return wire.ResponseOp(response_txn=self._txn(operation.request_txn))
        return _refuse("an operation is empty")


def wire_of(stored: Stored) -> wire.WireKeyValue:
    """Give a stored key as it travels."""
    return wire.WireKeyValue(
        key=wire.to_base64(stored.key),
        value=wire.to_base64(stored.value),
        create_revision=str(stored.create_revision),
        mod_revision=str(stored.mod_revision),
        version=str(stored.version),
        lease=str(stored.lease),
    )


def _read(body: bytes, cls: type[T]) -> T:
    return msgspec.json.decode(body, type=cls)


def _refuse(message: str, *, status: int = 400, code: int = INVALID_ARGUMENT) -> NoReturn:
    raise GatewayError(status=status, code=code, message=message)
