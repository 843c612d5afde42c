"""A caller stops an answer and asks on; the new request goes on from the old one's memory.

Three gateways, the store and four model runners, all on loopback. Callers hold sessions: the last
part of the prompts of a session is the session's own, as the pages say. A caller that leaves
before its deadline asks its next question a moment later, with another body, another path and a
longer prompt, on a new connection, with neither Last-Event-Id nor Resumes.

Runners keep copies of runs as the pages tell (Kv-Backup). A runner that is sent Kv-From goes on
from that memory, so the text of its events follows the prompt that the memory was read from.
"""

from __future__ import annotations

import asyncio
import contextlib
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
BROKEN = 10
"""The exit code for a broken rule, which a fault of this script never has."""
LENGTH_S = 60.0
GATEWAYS, ENGINES = 3, 4
ZONES = ("z-a", "z-b", "z-c")
SLOTS, MEMORY_TOKENS, TOKEN_BYTES, STRIDE = 24, 55_000, 18_432, 8
PREFILL_TOKENS_PER_S = 5_000.0
EVENT_S = 0.03
EVENTS = 140
HANDLE_S = 4.0
SESSIONS = 10
"""That go on at the same time."""
OBJECTIVE_S = 4.5
LEAVE_EVERY = 5
"""One session in five is of a caller that leaves: a share of 0.2."""
LEAVES_AFTER_S = OBJECTIVE_S / 2
ASKS_ON_AFTER_S = 0.5
DEADLINE_MS = 25_000
KEY, HOST = "key-1", "shop.example"


class Record:
    """What was sent, answered and run, by the clients and the runners."""

    def __init__(self) -> None:
        self.start = time.monotonic()
        self.lines: list[str] = []
        self.question: dict[str, str] = {}
        """The question that each request asks; a repeat of a request would ask the same."""
        self.seen: dict[str, str] = {}
        """The question whose answer a client got, by request."""
        self.broken: list[str] = []

    def tell(self, *words: object) -> None:
        at = time.monotonic() - self.start
        self.lines.append(f"{at:8.3f} " + " ".join(map(str, words)))


class Memory:
    """What a runner keeps of a run: whose prompt it was read from, and how far it has come."""

    def __init__(self, request: str, question: str, made: int) -> None:
        self.request = request
        self.question = question
        self.made = made
        self.until = time.monotonic() + HANDLE_S


class Engine:
    """A model runner: prompts, events, reports, copies of runs."""

    def __init__(self, name: str, address: str, fleet: dict[str, Engine], record: Record) -> None:
        self.name = name
        self.address = address
        self.fleet = fleet
        self.record = record
        self.copies: dict[str, Memory] = {}
        self.runs: dict[str, list] = {}
        self.busy = asyncio.Semaphore(SLOTS)
        fleet[address] = self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                method, path, fields, body = await read_message(reader)
                if path.startswith("/-/"):
                    writer.write(self.answer_call(method, path, body))
                    await writer.drain()
                    continue
                await self.run(path, fields, body, reader, writer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            writer.close()

    def answer_call(self, method: str, path: str, body: bytes) -> bytes:
        if path == "/-/report":
            running = [run for run in self.runs.values() if run[2]]
            used = sum(run[1] for run in self.runs.values())
            return answer_json({
                "Stage": "both", "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
                "Busy": False, "Sequence": 0, "Queued": 0, "Running": len(self.runs),
                "KvUsed": used, "KvTotal": MEMORY_TOKENS, "Handles": len(self.copies),
                "State": "ready", "Runs": [run[:1] + run[1:3] + [5] for run in running],
                "born": 1_764_800_000_000,
            })  # fmt: skip
        if path == "/-/kv-list":
            return answer_json({"epoch": 1, "Next": 1, "held": []})
        if path == "/-/kv-move":
            ask = json.loads(body)
            run, holder = self.runs.get(ask["Id"]), self.fleet.get(ask["To"])
            if run is None or holder is None:
                return answer_json({}, status="404 Not Found")
            handle = f"h-{ask['Id']}"
            holder.copies[handle] = Memory(ask["Id"], self.record.question[ask["Id"]], run[2])
            return answer_json({"Handle": handle, "Created": run[2]})
        if method == "DELETE" and path.startswith("/-/kv-handle/"):
            for engine in self.fleet.values():
                engine.copies.pop(path.rpartition("/")[2], None)
            return answer_json({})
        return answer_json({}, status="404 Not Found")

    async def run(
        self,
        path: str,
        fields: dict[str, str],
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        request = fields["request-id"]
        echo = f"Request-Id: {request}\r\n"
        if fields.get("expect-instance", self.name) != self.name:
            writer.write(answer_json({}, status="421 Misdirected", more=echo + "Not-Executed: 1\r\n"))
            return
        question = body.decode()
        memory: Memory | None = None
        kv_from = fields.get("kv-from")
        if kv_from is not None:
            memory = self.copies.pop(kv_from.partition("/")[2], None)
            if memory is None or memory.until < time.monotonic():
                writer.write(answer_json({}, status="503 Busy", more=echo + "Not-Executed: 1\r\n"))
                return
        self.record.tell(
            self.name, "runs", request, path, "asks", question, "prompt", fields["prompt-prefix"],
            "last event", fields.get("last-event-id"), "Kv-From", kv_from,
        )  # fmt: skip
        if memory is not None and memory.question != question:
            self.record.broken.append(
                f"{request} asks {question!r} and was sent with Kv-From: {kv_from}, the memory of"
                f" {memory.request}, which asked {memory.question!r}"
            )
        prompt_tokens = int(fields["token-count"].partition(",")[0])
        made = int(fields.get("last-event-id", 0))
        run = self.runs[request] = [request, prompt_tokens, 0]
        gone = asyncio.ensure_future(reader.read(1))
        holder = self.fleet.get(fields.get("kv-backup", ""))
        source = memory.question if memory is not None else question
        try:
            async with self.busy:
                if memory is None:
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
                    event = f"id: {made}\ndata: of {source} {made}\n\n".encode()
                    writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                    await writer.drain()
                    if holder is not None:
                        holder.copies[request] = Memory(request, source, made)
                writer.write(b"0\r\n\r\n")
                await writer.drain()
                if holder is not None:
                    holder.copies.pop(request, None)
                self.record.tell(self.name, "has run", request)
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


class Caller:
    """Asks two questions in a session, each to any gateway."""

    def __init__(self, addresses: list[tuple[str, int]], record: Record, rng: random.Random) -> None:
        self.addresses = addresses
        self.record = record
        self.rng = rng

    async def ask(self, session: str, turn: int, tokens: int, *, leave: bool) -> None:
        request = f"{self.rng.getrandbits(64):016x}"
        question = f"question {turn} of {session}"
        self.record.question[request] = question
        body = question.encode()
        message = (
            f"POST /ask/{session}/{turn} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request}\r\n"
            f"Model: m\r\nToken-Count: {tokens + 200},{EVENTS * STRIDE}\r\n"
            f"Prompt-Prefix: 5c1e07a2:200,{session}:{tokens}\r\n"
            f"Deadline-Ms: {DEADLINE_MS}\r\nAuthorization: Bearer {KEY}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body
        self.record.tell("caller sends", request, question)
        reader, writer = await asyncio.open_connection(*self.rng.choice(self.addresses))
        lines: list[str] = []
        try:
            writer.write(message)
            limit_s = LEAVES_AFTER_S if leave else DEADLINE_MS / 1000
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(limit_s):
                    while line := await reader.readline():
                        lines.append(line.decode().strip())
                        if line == b"0\r\n":
                            break
        finally:
            writer.close()
        events = [line for line in lines if line.startswith("data: ")]
        foreign = [event for event in events if f"of {question} " not in event]
        self.record.tell(
            "caller of", request, "leaves with" if leave else "gets", lines[:1],
            len(events), "events,", len(foreign), "of another question", foreign[:1],
        )  # fmt: skip
        if foreign:
            self.record.seen[request] = foreign[0]

    async def run(self, number: int, until: float) -> None:
        """Hold one session after the other; every fifth caller leaves its first answer."""
        turn = number
        while time.monotonic() < until:
            session = f"{self.rng.getrandbits(32):08x}"
            leave = TROUBLE and turn % LEAVE_EVERY == 0
            await self.ask(session, 1, 4_800, leave=leave)
            await asyncio.sleep(ASKS_ON_AFTER_S)
            await self.ask(session, 2, 5_100, leave=False)
            turn += 1


def configuration() -> bytes:
    route = {
        "Name": "ask", "Host": HOST, "Prefix": "/ask/", "RouteType": "streaming",
        "TimeoutMs": 25_000, "TargetLatencyMs": 4_500, "GapAimMs": 700, "Priority": 1,
        "Service": "lever-pool", "MaxAttempts": 5, "AllowAnonymous": False,
        "ResumeStreams": True, "StickySessions": True,
    }  # fmt: skip
    engine = {
        "Slots": SLOTS, "KvCapacity": MEMORY_TOKENS, "KvTokenBytes": TOKEN_BYTES, "Backups": True,
        "HandleS": HANDLE_S, "Moves": True, "Stride": STRIDE,
    }  # fmt: skip
    service = {"Name": "lever-pool", "HealthPath": "/healthz", "MaxConnections": 210, "Engine": engine}
    limits = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1048576, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 30000}
    return json.dumps({
        "Version": 3, "Routes": [route], "Services": [service], "Limits": limits,
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


async def play(record: Record, base: str, folder: Path, processes: list[subprocess.Popen]) -> bool:
    seed = time.time_ns()
    record.tell("seed", seed, "trouble", TROUBLE)
    entries = {"op/config": configuration()}
    fleet: dict[str, Engine] = {}
    for number in range(ENGINES):
        name, host = f"i-engine-{number}", f"{base}.{100 + number}"
        engine = Engine(name, f"{host}:9000", fleet, record)
        await asyncio.start_server(engine.serve, host, 9000)
        entries[f"servers/{name}"] = entry(engine.address, ZONES[number % 3])
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
    addresses = [(f"{base}.{number + 1}", 8740) for number in range(GATEWAYS)]
    async with asyncio.TaskGroup() as callers:
        for number in range(SESSIONS):
            caller = Caller(addresses, record, random.Random(f"{seed}-c{number}"))
            callers.create_task(caller.run(number, record.start + LENGTH_S))
            await asyncio.sleep(0.4)
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
    summary = {
        "trouble": TROUBLE, "ran": ran, "requests": len(record.question),
        "broken": record.broken, "callers_with_foreign_events": record.seen,
    }  # fmt: skip
    (HERE / "record.txt").write_text("\n".join([*record.lines, json.dumps(summary, indent=1), ""]))
    print(json.dumps(summary, indent=1))
    if not ran or len(record.question) < 20:
        return 2
    return BROKEN if record.broken else 0


if __name__ == "__main__":
    sys.exit(main())
