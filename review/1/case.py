"""A runner's second copy of an old refusal is taken for the refusal of a bid that it runs.

Three gateways, the store and three runners of an application service, all on loopback. A runner
that is full refuses with 503 and Not-Executed. Runners with the fault send some of their answers
a second time, late, where the answer to the next request on that connection is expected; each
answer bears the Request-Id of the request that it belongs to.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

import trio

from lagoonlever.fakes.metadata_store import FakeMetadataStore
from lagoonlever.http.server import open_listeners

HERE = Path(__file__).parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LENGTH_S = 80.0
CLOSING_S = 4.0
"""After the last request was sent, for what is still to be run or answered."""
GATEWAYS, RUNNERS = 3, 5
ZONES = ("z-a", "z-b", "z-c")
SLOTS, WAITING = 2, 2
WORK_S = 0.045
CALLS_PER_S = 270.0
"""More than the runners can serve at times, so that full ones refuse some, as the pages say."""
BID_SHARE = 0.7
BID_TIMEOUT_MS, DEADLINE_MS = 1200, 2500
BID_ATTEMPTS = int(os.environ.get("BID_ATTEMPTS", "1"))
"""MaxAttempts of the route of bids; 1 in all site files."""
FAULTY_SHARE = 0.6
"""Of the runners."""
COPIED_SHARE = 0.03
"""Of a faulty runner's answers that it sends twice."""
FAULT_S, PAUSE_S = 5.0, 2.0
"""Each time that the fault lasts, and the pause before the next time."""
KEY, HOST = "key-1", "shop.example"
BROKEN = 10
"""The exit code for a broken rule, which a fault of this script never has."""
PROMISES = (408, 421, 429, 503)
CONNECTIONS = 12
"""Kept by the clients to each gateway."""


class Record:
    """What was sent, answered and run, by the clients and the runners."""

    def __init__(self) -> None:
        self.start = time.monotonic()
        self.lines: list[str] = []
        self.sent: dict[str, str] = {}
        self.answers: dict[str, int | None] = {}
        self.runs: dict[str, list[str]] = {}
        self.refused: dict[str, int] = {}
        self.copies = 0
        self.at: dict[str, float] = {}
        """When each request was sent."""

    def tell(self, *words: object) -> None:
        at = time.monotonic() - self.start
        self.lines.append(f"{at:8.3f} " + " ".join(map(str, words)))

    def requests(self) -> list[str]:
        """One line a request: when it was sent, what it was, its answer, who refused or ran it."""
        return [
            f"{self.at[request]:8.3f} {kind} {request} answered {self.answers.get(request)}"
            f" refused {self.refused.get(request, 0)} run by {','.join(self.runs.get(request, [])) or 'none'}"
            for request, kind in self.sent.items()
        ]

    def broken(self) -> list[str]:
        """Bids that were answered with a promise not to have run, and have run; or ran twice."""
        found = []
        for request, kind in self.sent.items():
            runs = self.runs.get(request, [])
            if kind != "bid":
                continue
            if self.answers.get(request) in PROMISES and runs:
                found.append(f"{request}: answered {self.answers[request]}, and run by {runs}")
            elif len(runs) > 1:
                found.append(f"{request}: run by {runs}")
        return found


class Runner:
    """An application runner: some slots, a short queue, HTTP/1.1 on kept connections."""

    def __init__(self, name: str, record: Record, rng: random.Random, *, faulty: bool) -> None:
        self.name = name
        self.record = record
        self.rng = rng
        self.faulty = faulty
        self.active = asyncio.Semaphore(SLOTS)
        self.inside = 0

    def copies_now(self) -> bool:
        into = (time.monotonic() - self.record.start) % (FAULT_S + PAUSE_S)
        return TROUBLE and self.faulty and into < FAULT_S and self.rng.random() < COPIED_SHARE

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        extra = b""
        try:
            while True:
                method, path, fields, _ = await read_message(reader)
                if extra:
                    # The late second copy, just before the answer that is due now.
                    writer.write(extra)
                    await writer.drain()
                    extra = b""
                answer = await self.answer(fields)
                writer.write(answer)
                await writer.drain()
                if self.copies_now():
                    extra = answer
                    self.record.copies += 1
                    self.record.tell(self.name, "will copy its answer to", fields["request-id"])
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            writer.close()

    async def answer(self, fields: dict[str, str]) -> bytes:
        request = fields["request-id"]
        echo = f"Request-Id: {request}\r\n"
        if fields.get("expect-instance", self.name) != self.name:
            return b"HTTP/1.1 421 Misdirected\r\n" + head(echo + "Not-Executed: 1\r\n", b"")
        if self.inside >= SLOTS + WAITING:
            self.record.refused[request] = self.record.refused.get(request, 0) + 1
            self.record.tell(self.name, "refuses", request)
            return b"HTTP/1.1 503 Busy\r\n" + head(echo + "Not-Executed: 1\r\n", b"")
        self.inside += 1
        try:
            async with self.active:
                self.record.runs.setdefault(request, []).append(self.name)
                await asyncio.sleep(WORK_S * self.rng.uniform(0.5, 1.5))
        finally:
            self.inside -= 1
        body = f"answer to {request}".encode()
        return b"HTTP/1.1 200 OK\r\n" + head(echo + f"Response-Seal: s-{request}\r\n", body)


def head(fields: str, body: bytes) -> bytes:
    return f"{fields}Content-Length: {len(body)}\r\n\r\n".encode() + body


async def read_message(reader: asyncio.StreamReader) -> tuple[str, str, dict[str, str], bytes]:
    """Read a request or an answer; gives the first two words of its first line, fields, body."""
    raw = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = raw.strip().split("\r\n")
    fields = {n.strip().lower(): v.strip() for n, _, v in (line.partition(":") for line in lines)}
    words = first.split(" ")
    size = int(fields.get("content-length", 0))
    body = await reader.readexactly(size) if size else b""
    return words[0], words[1], fields, body


class Client:
    """Sends calls to one gateway on kept connections; each call has an id of its own."""

    def __init__(self, address: tuple[str, int], record: Record, rng: random.Random) -> None:
        self.address = address
        self.record = record
        self.rng = rng
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.number = 0

    async def call(self) -> None:
        self.number += 1
        is_bid = self.rng.random() < BID_SHARE
        request = f"{self.address[0].rpartition('.')[2]}{self.number:07x}{self.rng.getrandbits(32):08x}"
        self.record.sent[request] = "bid" if is_bid else "look"
        body = b"x" * 200 if is_bid else b""
        line = f"POST /bid/{self.number}" if is_bid else f"GET /look/{self.number}"
        length = f"Content-Length: {len(body)}\r\n" if is_bid else ""
        message = (
            f"{line} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request}\r\n"
            f"Deadline-Ms: {DEADLINE_MS}\r\nAuthorization: Bearer {KEY}\r\n{length}\r\n"
        ).encode() + body
        self.record.at[request] = time.monotonic() - self.record.start
        status: int | None = None
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000):
                reader, writer = (
                    self.idle.pop() if self.idle else await asyncio.open_connection(*self.address)
                )
                try:
                    writer.write(message)
                    _, code, fields, _ = await read_message(reader)
                    status = int(code)
                    if "close" in fields.get("connection", "") or len(self.idle) >= CONNECTIONS:
                        writer.close()
                    else:
                        self.idle.append((reader, writer))
                except BaseException:
                    writer.close()
                    raise
        except (TimeoutError, asyncio.IncompleteReadError, OSError) as error:
            self.record.tell("client gets no answer to", request, type(error).__name__)
        self.record.answers[request] = status

    async def run(self, until: float, per_s: float) -> None:
        async with asyncio.TaskGroup() as calls:
            while time.monotonic() < until:
                calls.create_task(self.call())
                await asyncio.sleep(self.rng.expovariate(per_s))


def configuration() -> bytes:
    def route(name: str, kind: str, attempts: int) -> dict[str, object]:
        return {
            "Name": name, "Host": HOST, "Prefix": f"/{name}/", "RouteType": kind,
            "TimeoutMs": BID_TIMEOUT_MS, "TargetLatencyMs": 150, "Priority": 2,
            "Service": "block-app", "MaxAttempts": attempts, "AllowAnonymous": False,
            "ResumeStreams": False,
        }  # fmt: skip

    service = {"Name": "block-app", "HealthPath": "/healthz", "MaxConnections": 110}
    limits = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1048576, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 30000}
    return json.dumps({
        "Version": 3,
        "Routes": [route("bid", "non_idempotent", BID_ATTEMPTS), route("look", "idempotent", 2)],
        "Services": [service], "Limits": limits,
        "Tenants": [{"Name": "org-1", "ApiKeys": [KEY]}],
    }).encode()  # fmt: skip


def settings(number: int, base: str, store: str, seeds: str) -> str:
    ip = f"{base}.{number + 1}"
    zones = "".join(f"Zones.{zone}=r\n" for zone in ZONES)
    return (
        f"Node=front-{ZONES[number]}-1\nRole=gateway\nNodeClass=front\nServes=front,control,directory\n"
        f"Ip={ip}\nZone={ZONES[number]}\nRegion=r\n{zones}"
        f"Listen.Front={ip}:8740\nListen.Ready={ip}:8749\nListen.Control={ip}:8748\n"
        f"Listen.Directory={ip}:8746\nPortRange=7200,7215\nSeeds={seeds}\nBootstrap=true\n"
        "Limits.CpuShare=0.537\nLimits.Cores=2\nLimits.MemoryMb=300\nLimits.MaxFds=4100\n"
        "Limits.LinkMbps=1000.0\nDiscovery=platform\nEntry=directory\nHeartbeatMs=1200\n"
        "Contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform\n"
        "Bounds.SeedLagS=3\nBounds.AddrReuseS=2\nBounds.StableWindowMs=3000\nBounds.AckMs=4000\n"
        "Bounds.CatchUpS=4\nBounds.DrainMs=2000\nBounds.GraceS=8\nBounds.LossSlackMs=200\n"
        "Bounds.ConfigApplyMs=2000\nBounds.RollbackSlackMs=250\nBounds.OuterMs=5000\n"
        "Bounds.RetryBudgetRatio=0.8\nBounds.BudgetWindowS=10\nBounds.RetryBudgetSlack=150\n"
        "Bounds.RecoverS=12\nBounds.PassMs=120\nBounds.RetryAfterS=10\nBounds.ttl_max_s=5\n"
        f"Platform.Address={store}\nPlatform.form=kv\nPlatform.WritesPerS=400\n"
        "Platform.ReadsPerS=2000\nPlatform.HistoryS=20\nPlatform.ValueBytes=1048576\nPlatform.TtlMinMs=1000\n"
    )


def entry(name: str, address: str, zone: str) -> bytes:
    return json.dumps({
        "Service": "block-app", "Address": address, "Zone": zone, "Version": "v1",
        "Slots": SLOTS, "State": "ready", "ColdRemainingMs": 0, "Sequence": 1,
        "born": 1_764_800_000_000,
    }).encode()  # fmt: skip


def run_store(host: str, entries: dict[str, bytes], started: threading.Event) -> None:
    """Run the project's stand-in of the platform's store in a thread of its own."""

    async def main() -> None:
        store = FakeMetadataStore()
        for key, value in entries.items():
            store.put(key, value)
        listeners = await open_listeners(host=host, port=8742)
        started.set()
        await store.run(listeners)

    trio.run(main)


async def is_ready(host: str) -> bool:
    try:
        async with asyncio.timeout(1):
            reader, writer = await asyncio.open_connection(host, 8749)
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            _, status, _, _ = await read_message(reader)
            writer.close()
    except (TimeoutError, asyncio.IncompleteReadError, OSError):
        return False
    return status == "200"


async def play(record: Record, base: str, folder: Path, processes: list[subprocess.Popen]) -> bool:
    seed = time.time_ns()
    record.tell("seed", seed, "trouble", TROUBLE)
    entries = {"op/config": configuration()}
    for number in range(RUNNERS):
        faulty = number < int(FAULTY_SHARE * RUNNERS)
        name, host = f"i-runner-{number}", f"{base}.{150 + number}"
        runner = Runner(name, record, random.Random(f"{seed}-r{number}"), faulty=faulty)
        await asyncio.start_server(runner.serve, host, 9000)
        entries[f"servers/{name}"] = entry(name, f"{host}:9000", ZONES[number % 3])
    started = threading.Event()
    threading.Thread(target=run_store, args=(f"{base}.250", entries, started), daemon=True).start()
    if not await asyncio.to_thread(started.wait, 10):
        return False
    seeds = ",".join(f"{base}.{number + 1}:8748" for number in range(GATEWAYS))
    for number in range(GATEWAYS):
        file = folder / f"vm-{number}.conf"
        file.write_text(settings(number, base, f"{base}.250:8742", seeds))
        environment = {**os.environ, "LAGOONLEVER_NODE_FILE": str(file), "PYTHONPATH": "target/deps"}
        with (folder / f"vm-{number}.log").open("wb") as log:
            processes.append(subprocess.Popen(
                [sys.executable, "-S", "-m", "lagoonlever.gateway"],
                env=environment, stdout=log, stderr=log,
            ))  # fmt: skip
    until = time.monotonic() + 20
    while not all([await is_ready(f"{base}.{n + 1}") for n in range(GATEWAYS)]):
        if time.monotonic() > until:
            return False
        await asyncio.sleep(0.2)
    await asyncio.sleep(2.0)
    record.start = time.monotonic()
    ends = record.start + LENGTH_S
    async with asyncio.TaskGroup() as clients:
        for number in range(GATEWAYS):
            client = Client((f"{base}.{number + 1}", 8740), record, random.Random(f"{seed}-c{number}"))
            clients.create_task(client.run(ends, CALLS_PER_S / GATEWAYS))
    await asyncio.sleep(CLOSING_S)
    return all(process.poll() is None for process in processes)


def free_base() -> str:
    """Choose loopback addresses of this run's own."""
    pid = os.getpid()
    return f"127.{20 + pid % 200}.{pid // 200 % 250}"


def main() -> int:
    record = Record()
    processes: list[subprocess.Popen] = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            ran = asyncio.run(play(record, free_base(), Path(folder), processes))
        except OSError as error:
            record.tell("could not run:", error)
            ran = False
        finally:
            for process in processes:
                process.kill()
                process.wait()
        if os.environ.get("KEEP_LOGS"):
            for log in Path(folder).glob("*.log"):
                Path(os.environ["KEEP_LOGS"], log.name).write_bytes(log.read_bytes())
    broken = record.broken()
    answers = list(record.answers.values())
    summary = {
        "trouble": TROUBLE, "ran": ran, "sent": len(record.sent), "answers_sent_twice": record.copies,
        "refused_by_runners": sum(record.refused.values()),
        "statuses": {str(s): answers.count(s) for s in sorted(set(answers), key=str)},
        "broken": broken,
    }  # fmt: skip
    (HERE / "record.txt").write_text("\n".join([*record.lines, *record.requests(), json.dumps(summary, indent=1), ""]))
    print(json.dumps(summary, indent=1))
    if not ran or len(record.sent) < 100:
        return 2
    return BROKEN if broken else 0


if __name__ == "__main__":
    sys.exit(main())
