"""Machines are restarted in turn; a leaving one takes new streams that it can't finish, and cuts them.

Three gateways, one a zone, the store and eight model runners, all on loopback. Each gateway gets
SIGTERM, one a second, and is started again half a second after its end. Clients ask the directory
as the pages say: up to three machines, nearest first, one second for each; they keep an answer for
its TtlS, some of them three times as long, and longer while they can get no new one.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from urllib.parse import urlencode

import attrs
import trio

from lagoonlever.fakes.metadata_store import FakeMetadataStore
from lagoonlever.http.server import open_listeners

HERE = Path(__file__).parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN = 10
"""The exit code for a broken rule, which a fault of this script never has."""
LENGTH_S = 60.0
GATEWAYS, ENGINES = 3, 8
ZONES = ("z-a", "z-b", "z-c")
SLOTS, MEMORY_TOKENS, TOKEN_BYTES, STRIDE = 12, 88_000, 18_432, 7
PREFILL_TOKENS_PER_S = 8_000.0
EVENT_S = 0.03
EVENTS = 130
HANDLE_S = 4.0
STREAMS_PER_S = 4.0
PROMPT_TOKENS = 8_000
GRACE_S = 8.0
EXCUSED_S = 3.0
"""After SIGTERM: a request that was sent no later may be cut in the last sixth of GraceS."""
ROLLS_AT_S = (6.0, 34.0)
GAP_S = 1.0
"""Between two machines of a roll, one at a time."""
DOWN_S = 0.5
"""From the end of a process until it is started again."""
LONG_KEPT = 0.3
"""Of the clients: they keep an answer of the directory three times as long as it says."""
TTL_MAX_S = 5.0
DEADLINE_MS = 25_000
KEY, HOST = "key-1", "shop.example"


@attrs.define(kw_only=True)
class Sent:
    """One request of a client."""

    gateway: int
    at: float
    arrived: bool = False
    """A runner has got it."""
    status: str = ""
    events: int = 0
    whole: bool = False
    ended: float = 0.0


class Record:
    """What was sent, answered and run, and when which machine got SIGTERM."""

    def __init__(self) -> None:
        self.start = time.monotonic()
        self.lines: list[str] = []
        self.sent: dict[str, Sent] = {}
        self.terms: list[tuple[int, float]] = []

    @property
    def now(self) -> float:
        return time.monotonic() - self.start

    def tell(self, *words: object) -> None:
        self.lines.append(f"{self.now:8.3f} " + " ".join(map(str, words)))

    def broken(self) -> list[str]:
        """Streams that a leaving machine took later than 3 s after SIGTERM, passed on and cut."""
        found = []
        for request, sent in self.sent.items():
            terms = [at for gateway, at in self.terms if gateway == sent.gateway and at < sent.at]
            if not terms or sent.whole or not sent.arrived or sent.status != "200":
                continue
            taken_s, cut_s = sent.at - terms[-1], sent.ended - terms[-1]
            if EXCUSED_S < taken_s and cut_s <= GRACE_S + 1.0 and sent.ended - sent.at < DEADLINE_MS / 1000 - 1:
                found.append(
                    f"{request}: sent to machine {sent.gateway} {taken_s:.2f} s after its SIGTERM,"
                    f" passed on, cut {cut_s:.2f} s after SIGTERM with {sent.events} of {EVENTS} events"
                )
        return found


class Engine:
    """A model runner: prompts, events, reports."""

    def __init__(self, name: str, address: str, record: Record) -> None:
        self.name = name
        self.address = address
        self.record = record
        self.runs: dict[str, list] = {}
        self.busy = asyncio.Semaphore(SLOTS)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                _, path, fields, _ = await read_message(reader)
                if path.startswith("/-/"):
                    writer.write(self.answer_call(path))
                    await writer.drain()
                    continue
                await self.run(fields, reader, writer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            writer.close()

    def answer_call(self, path: str) -> bytes:
        if path == "/-/report":
            running = [run for run in self.runs.values() if run[2]]
            used = sum(run[1] for run in self.runs.values())
            return answer_json({
                "Stage": "both", "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
                "Busy": False, "Sequence": 0, "Queued": 0, "Running": len(self.runs),
                "KvUsed": used, "KvTotal": MEMORY_TOKENS, "Handles": 0, "State": "ready",
                "Runs": [[*run, 5] for run in running], "born": 1_764_800_000_000,
            })  # fmt: skip
        if path == "/-/kv-list":
            return answer_json({"epoch": 1, "Next": 1, "held": []})
        return answer_json({}, status="404 Not Found")

    async def run(
        self, fields: dict[str, str], reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        request = fields["request-id"]
        echo = f"Request-Id: {request}\r\n"
        if fields.get("expect-instance", self.name) != self.name:
            writer.write(answer_json({}, status="421 Misdirected", more=echo + "Not-Executed: 1\r\n"))
            return
        if fields.get("kv-from") is not None:
            writer.write(answer_json({}, status="503 Busy", more=echo + "Not-Executed: 1\r\n"))
            return
        self.record.sent[request].arrived = True
        self.record.tell(self.name, "gets", request)
        prompt_tokens = int(fields["token-count"].partition(",")[0])
        made = int(fields.get("last-event-id", 0))
        run = self.runs[request] = [request, prompt_tokens, 0]
        gone = asyncio.ensure_future(reader.read(1))
        try:
            async with self.busy:
                await asyncio.wait({gone}, timeout=prompt_tokens / PREFILL_TOKENS_PER_S)
                if gone.done():
                    raise ConnectionError
                writer.write((
                    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + echo
                    + f"Response-Seal: s-{request}\r\nServer-Load: {len(self.runs)},0,{SLOTS}\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n"
                ).encode())  # fmt: skip
                while made < EVENTS:
                    await asyncio.wait({gone}, timeout=EVENT_S)
                    if gone.done():
                        raise ConnectionError
                    made += 1
                    run[1] += STRIDE
                    run[2] = made
                    event = f"id: {made}\ndata: of {request} {made}\n\n".encode()
                    writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                    await writer.drain()
                writer.write(b"0\r\n\r\n")
                await writer.drain()
        except OSError:
            self.record.tell(self.name, "stops", request, "at event", made, ": its connection is closed")
            raise
        finally:
            del self.runs[request]
            gone.cancel()
            with contextlib.suppress(asyncio.CancelledError, OSError):
                await gone


def answer_json(value: object, *, status: str = "200 OK", more: str = "") -> bytes:
    body = json.dumps(value).encode()
    head = f"HTTP/1.1 {status}\r\n{more}Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


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
    """Sends streams; resolves as the pages say, and picks an address at random."""

    def __init__(self, number: int, base: str, record: Record, rng: random.Random) -> None:
        self.base = base
        self.record = record
        self.rng = rng
        self.zone = number % GATEWAYS
        self.times = 3.0 if number < LONG_KEPT * 10 else 1.0
        self.addresses: list[str] = []
        self.until = 0.0
        self.failed: set[str] = set()

    async def resolve(self) -> None:
        """Ask the nearest three machines for addresses; keep the old ones where none tells any."""
        if time.monotonic() < self.until:
            return
        for step in range(GATEWAYS):
            host = f"{self.base}.{(self.zone + step) % GATEWAYS + 1}"
            query = urlencode({"Name": HOST, "Region": "r", "Zone": ZONES[self.zone]})
            try:
                async with asyncio.timeout(1):
                    reader, writer = await asyncio.open_connection(host, 8746)
                    writer.write(f"GET /-/resolve?{query} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
                    _, status, _, body = await read_message(reader)
                    writer.close()
                    told = json.loads(body) if status == "200" else {}
            except (TimeoutError, asyncio.IncompleteReadError, OSError, ValueError):
                continue
            if told.get("Addresses"):
                self.addresses, self.failed = told["Addresses"], set()
                self.until = time.monotonic() + self.times * min(TTL_MAX_S, told["TtlS"])
                return
        self.record.tell("client of zone", self.zone, "gets no addresses, keeps", self.addresses)

    async def send(self) -> None:
        await self.resolve()
        able = [each for each in self.addresses if each not in self.failed] or self.addresses
        if not able:
            return
        address = self.rng.choice(able)
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(host, int(port))
        except (TimeoutError, OSError):
            self.failed.add(address)
            return
        request = f"{self.rng.getrandbits(64):016x}"
        own_part = f"{self.rng.getrandbits(32):08x}"
        gateway = int(host.rpartition(".")[2]) - 1
        message = (
            f"POST /ask/{own_part} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request}\r\n"
            f"Model: m\r\nToken-Count: {PROMPT_TOKENS + 200},{EVENTS * STRIDE}\r\n"
            f"Prompt-Prefix: 5c1e07a2:200,{own_part}:{PROMPT_TOKENS}\r\n"
            f"Deadline-Ms: {DEADLINE_MS}\r\nAuthorization: Bearer {KEY}\r\n"
            "Content-Length: 3\r\n\r\nask"
        ).encode()
        sent = self.record.sent[request] = Sent(gateway=gateway, at=self.record.now)
        self.record.tell("client sends", request, "to machine", gateway)
        lines: list[str] = []
        try:
            writer.write(message)
            with contextlib.suppress(TimeoutError, OSError):
                async with asyncio.timeout(DEADLINE_MS / 1000):
                    while line := await reader.readline():
                        lines.append(line.decode().strip())
                        if line == b"0\r\n" or lines[0].split(" ")[1] != "200":
                            break
        finally:
            writer.close()
        sent.ended = self.record.now
        sent.status = lines[0].split(" ")[1] if lines else "none"
        sent.events = sum(line.startswith("data: ") for line in lines)
        sent.whole = lines[-1:] == ["0"]
        self.record.tell("client of", request, "has", sent.status, sent.events, "events, whole:", sent.whole)

    async def run(self, until: float) -> None:
        async with asyncio.TaskGroup() as streams:
            while time.monotonic() < until:
                streams.create_task(self.send())
                await asyncio.sleep(self.rng.expovariate(STREAMS_PER_S / 10))


def configuration() -> bytes:
    route = {
        "Name": "ask", "Host": HOST, "Prefix": "/ask/", "RouteType": "streaming",
        "TimeoutMs": 25_000, "TargetLatencyMs": 4_500, "GapAimMs": 700, "Priority": 1,
        "Service": "lever-pool", "MaxAttempts": 5, "AllowAnonymous": False,
        "ResumeStreams": True, "StickySessions": True,
    }  # fmt: skip
    engine = {
        "Slots": SLOTS, "KvCapacity": MEMORY_TOKENS, "KvTokenBytes": TOKEN_BYTES, "Backups": False,
        "HandleS": HANDLE_S, "Moves": False, "Stride": STRIDE,
    }  # fmt: skip
    service = {"Name": "lever-pool", "HealthPath": "/healthz", "MaxConnections": 210, "Engine": engine}
    limits = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1048576, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 30000}
    return json.dumps({
        "Version": 3, "Routes": [route], "Services": [service], "Limits": limits,
        "Tenants": [{"Name": "org-1", "ApiKeys": [KEY]}],
    }).encode()  # fmt: skip


def settings(number: int, base: str, *, first: bool) -> str:
    ip = f"{base}.{number + 1}"
    store = f"{base}.250:8742"
    seeds = ",".join(f"{base}.{each + 1}:8748" for each in range(GATEWAYS))
    zones = "".join(f"Zones.{zone}=r\n" for zone in ZONES)
    return (
        f"Node=front-{ZONES[number]}-1\nRole=gateway\nNodeClass=front\nServes=front,control,directory\n"
        f"Ip={ip}\nZone={ZONES[number]}\nRegion=r\n{zones}"
        f"Listen.Front={ip}:8740\nListen.Ready={ip}:8749\nListen.Control={ip}:8748\n"
        f"Listen.Directory={ip}:8746\nPortRange=7200,7215\nSeeds={seeds}\nBootstrap={str(first).lower()}\n"
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


def entry(address: str, zone: str) -> bytes:
    return json.dumps({
        "Service": "lever-pool", "Address": address, "Zone": zone, "Version": "v1",
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


class Machine:
    """One gateway process, which is started again when it has ended."""

    def __init__(self, number: int, base: str, folder: Path, record: Record) -> None:
        self.number = number
        self.base = base
        self.folder = folder
        self.record = record
        self.process: subprocess.Popen | None = None

    def start(self, *, first: bool) -> None:
        file = self.folder / f"vm-{self.number}.conf"
        file.write_text(settings(self.number, self.base, first=first))
        environment = {**os.environ, "LAGOONLEVER_NODE_FILE": str(file), "PYTHONPATH": "target/deps"}
        with (self.folder / f"vm-{self.number}.log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-S", "-m", "lagoonlever.gateway"],
                env=environment, stdout=log, stderr=log,
            )  # fmt: skip

    async def restart(self) -> None:
        """SIGTERM, SIGKILL after GraceS, and a new start a moment later."""
        self.record.terms.append((self.number, self.record.now))
        self.record.tell("machine", self.number, "gets SIGTERM")
        self.process.send_signal(signal.SIGTERM)
        until = time.monotonic() + GRACE_S
        while self.process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.02)
        if self.process.poll() is None:
            self.process.kill()
            self.record.tell("machine", self.number, "gets SIGKILL")
        self.process.wait()
        self.record.tell("machine", self.number, "has ended")
        await asyncio.sleep(DOWN_S)
        self.start(first=False)


async def roll(machines: list[Machine], record: Record, at_s: float) -> None:
    await asyncio.sleep(max(0.0, at_s - record.now))
    async with asyncio.TaskGroup() as restarts:
        for machine in machines:
            restarts.create_task(machine.restart())
            await asyncio.sleep(GAP_S)


async def play(record: Record, base: str, folder: Path, machines: list[Machine]) -> bool:
    seed = time.time_ns()
    record.tell("seed", seed, "trouble", TROUBLE)
    entries = {"op/config": configuration()}
    for number in range(ENGINES):
        name, host = f"i-engine-{number}", f"{base}.{100 + number}"
        engine = Engine(name, f"{host}:9000", record)
        await asyncio.start_server(engine.serve, host, 9000)
        entries[f"servers/{name}"] = entry(engine.address, ZONES[number % 3])
    started = threading.Event()
    threading.Thread(target=run_store, args=(f"{base}.250", entries, started), daemon=True).start()
    if not await asyncio.to_thread(started.wait, 10):
        return False
    for number in range(GATEWAYS):
        machines.append(Machine(number, base, folder, record))
        machines[-1].start(first=True)
    until = time.monotonic() + 20
    while not all([await is_ready(f"{base}.{n + 1}") for n in range(GATEWAYS)]):
        if time.monotonic() > until:
            return False
        await asyncio.sleep(0.2)
    await asyncio.sleep(2.0)
    record.start = time.monotonic()
    async with asyncio.TaskGroup() as tasks:
        for number in range(10):
            client = Client(number, base, record, random.Random(f"{seed}-c{number}"))
            tasks.create_task(client.run(record.start + LENGTH_S))
        for at_s in ROLLS_AT_S if TROUBLE else ():
            tasks.create_task(roll(machines, record, at_s))
    return all(machine.process.poll() is None for machine in machines)


def free_base() -> str:
    """Choose loopback addresses of this run's own."""
    pid = os.getpid()
    return f"127.{20 + pid % 200}.{pid // 200 % 250}"


def main() -> int:
    record = Record()
    machines: list[Machine] = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            ran = asyncio.run(play(record, free_base(), Path(folder), machines))
        except OSError as error:
            record.tell("could not run:", error)
            ran = False
        finally:
            for machine in machines:
                if machine.process is not None:
                    machine.process.kill()
                    machine.process.wait()
        if os.environ.get("KEEP_LOGS"):
            for log in Path(folder).glob("*.log"):
                Path(os.environ["KEEP_LOGS"], log.name).write_bytes(log.read_bytes())
    sent = list(record.sent.values())
    broken = record.broken()
    summary = {
        "trouble": TROUBLE, "ran": ran, "streams": len(sent), "whole": sum(each.whole for each in sent),
        "cut": sum(each.status == "200" and not each.whole for each in sent),
        "refused": sum(each.status in ("429", "503") for each in sent), "broken": broken,
    }  # fmt: skip
    (HERE / "record.txt").write_text("\n".join([*record.lines, json.dumps(summary, indent=1), ""]))
    print(json.dumps(summary, indent=1))
    if not ran or len(sent) < 50:
        return 2
    return BROKEN if broken else 0


if __name__ == "__main__":
    sys.exit(main())
