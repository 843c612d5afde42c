"""Stand-ins of a small deployment for the scripts of this review, with the standard library alone.

One process holds the platform's store, the runners, the platform's probes and the clients, as
`PROTOCOL.md` describes them; the gateways are processes of their own, started as the deploy file
says. Everything listens on loopback addresses that are free at the start.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
ZONES = ("zone-a", "zone-b", "zone-c")
FRONT, READY, CONTROL, DIRECTORY, TUNNEL = 8740, 8749, 8748, 8746, 7200
STORE_PORT, RUNNER_PORT, ENGINE_PORT, METRICS = 8742, 9100, 9200, 9464
KEY = "key-of-a"
HOST = "small.example"
STABLE_WINDOW_S = 3.0
PLATFORM_S = 1.0
COULD_NOT_RUN = 2
"""The exit code of a case that has no verdict; 1 is a broken rule, 0 one that held."""
REASONS = {
    200: "OK",
    404: "Not Found",
    408: "x",
    412: "Precondition Failed",
    410: "Gone",
    421: "Misdirected Request",
    429: "Too Many",
    500: "Error",
    503: "Unavailable",
}


class Closed(Exception):
    """The peer has closed its connection."""


class Http:
    """One connection that is read as HTTP/1.1."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    async def head(self):
        """Read a head; give its first line and its fields by their names in lower case."""
        try:
            raw = await self.reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            raise Closed(str(error)) from error
        first, *lines = raw.decode("latin-1").split("\r\n")
        fields = {}
        for line in filter(None, lines):
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
        return first, fields

    async def exactly(self, size):
        try:
            return await self.reader.readexactly(size)
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            raise Closed(str(error)) from error

    async def piece(self):
        """Read one chunk of a body in chunks; empty at its end."""
        try:
            size = int((await self.reader.readuntil(b"\r\n")).split(b";")[0], 16)
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            raise Closed(str(error)) from error
        return (await self.exactly(size + 2))[:-2]

    async def body(self, fields):
        if "chunked" in fields.get("transfer-encoding", ""):
            pieces = []
            while piece := await self.piece():
                pieces.append(piece)
            return b"".join(pieces)
        return await self.exactly(int(fields.get("content-length", "0")))

    async def respond(self, status, body=b"", fields=()):
        head = [f"HTTP/1.1 {status} {REASONS.get(status, 'x')}", f"Content-Length: {len(body)}"]
        head += [f"{name}: {value}" for name, value in fields]
        await self.write(("\r\n".join(head) + "\r\n\r\n").encode() + body)

    async def write(self, data):
        try:
            self.writer.write(data)
            await self.writer.drain()
        except ConnectionError as error:
            raise Closed(str(error)) from error


class Server:
    """Serves connections one request after the other until stopped; ``reset`` ends them all."""

    def __init__(self, host, port):
        self.host, self.port = host, port
        self.writers, self.tasks, self.server = set(), set(), None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.host, self.port, limit=1 << 20)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        self.tasks.add(asyncio.current_task())
        http = Http(reader, writer)
        try:
            while True:
                first, fields = await http.head()
                method, target, _ = first.split(" ", 2)
                body = await http.body(fields)
                await self.handle(http, method, target, fields, body)
        except (Closed, ConnectionError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(asyncio.current_task())
            writer.transport.abort() if getattr(self, "aborts", False) else writer.close()

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def stop(self):
        self.server.close()
        self.reset()
        for task in list(self.tasks):
            task.cancel()


class Store(Server):
    """The platform's metadata store: items, leases, watches that wait, conditional changes."""

    def __init__(self, host, port):
        super().__init__(host, port)
        self.items, self.history, self.revision = {}, [], 0
        self.leases, self.next_lease = {}, 100
        self.changed = asyncio.Event()
        self.refused = set()
        """Source addresses that it answers with 503."""
        self.era = 1
        self.log = []

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, created, lease)
        self.history.append((self.revision, key, value, created, lease))
        self._tell()

    def delete(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.history.append((self.revision, key, None, 0, 0))
            self._tell()

    def _tell(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [each for each, (_, ends) in self.leases.items() if ends < now]:
                self._end(lease)

    def _end(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item[3] == lease]:
            self.delete(key)

    @staticmethod
    def _item(key, item):
        value, revision, created, lease = item
        return {
            "Key": key,
            "Value": base64.b64encode(value).decode(),
            "Revision": revision,
            "Created": created,
            "Lease": lease,
        }

    async def answer(self, http, status, payload):
        fields = [("Content-Type", "application/json"), ("Store-Era", str(self.era))]
        await http.respond(status, json.dumps(payload).encode(), fields)

    async def handle(self, http, method, target, fields, body):
        path, _, query = target.partition("?")
        asked = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        peer = http.writer.get_extra_info("peername")[0]
        if peer in self.refused:
            await self.answer(http, 503, {})
            return
        name, _, argument = path.removeprefix("/-/").partition("/")
        if name == "kv-key":
            item = self.items.get(asked["Key"])
            payload = {"StoreRevision": self.revision}
            if item is not None:
                payload |= self._item(asked["Key"], item)
            await self.answer(http, 200 if item else 404, payload)
        elif name == "kv-range":
            keys = sorted(k for k in self.items if k.startswith(asked.get("Prefix", "")))
            keys = [k for k in keys if k > asked.get("After", "")]
            page = [self._item(k, self.items[k]) for k in keys[:500]]
            await self.answer(
                http,
                200,
                {"Items": page, "MorePages": len(keys) > 500, "StoreRevision": self.revision},
            )
        elif name == "kv-watch":
            await self._watch(http, asked)
        elif name == "kv-txn":
            await self._change(http, json.loads(body))
        elif name == "kv-lease":
            ttl_ms = json.loads(body)["TtlMs"]
            self.next_lease += 1
            self.leases[self.next_lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
            await self.answer(http, 200, {"Lease": self.next_lease, "TtlMs": ttl_ms})
        elif name == "kv-keep":
            lease = self.leases.get(int(argument))
            if lease is not None:
                self.leases[int(argument)] = (lease[0], time.monotonic() + lease[0] / 1000)
            await self.answer(http, 200 if lease else 404, {"TtlMs": lease[0]} if lease else {})
        elif name == "kv-lease-end":
            self._end(int(argument))
            await self.answer(http, 200, {})
        else:
            await self.answer(http, 404, {})

    async def _watch(self, http, asked):
        after, prefix = int(asked["After"]), asked.get("Prefix", "")
        ends = time.monotonic() + int(asked["WaitMs"]) / 1000
        while True:
            events = []
            for revision, key, value, created, lease in self.history:
                if revision > after and key.startswith(prefix):
                    gone = {"Key": key, "Revision": revision, "Removed": True}
                    events.append(
                        gone
                        if value is None
                        else self._item(key, (value, revision, created, lease))
                    )
            left = ends - time.monotonic()
            if events or left <= 0:
                await self.answer(http, 200, {"events": events, "StoreRevision": self.revision})
                return
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def _change(self, http, change):
        expected = [(row["Key"], row["Revision"]) for row in change.get("ExpectedRevision") or ()]
        if any((self.items[k][1] if k in self.items else 0) != r for k, r in expected):
            items = [self._item(k, self.items[k]) for k, _ in expected if k in self.items]
            await self.answer(http, 412, {"Items": items})
            return
        for row in change.get("SetKeys") or ():
            if row.get("Lease") and row["Lease"] not in self.leases:
                await self.answer(http, 404, {})
                return
        for row in change.get("SetKeys") or ():
            self.put(row["Key"], base64.b64decode(row["Value"]), row.get("Lease") or 0)
        for key in change.get("DeleteKeys") or ():
            self.delete(key)
        await self.answer(http, 200, {"Revision": self.revision})


class Target(Server):
    """What an application runner and an engine have in common."""

    def __init__(self, world, host, port, service, zone, number, slots):
        super().__init__(host, port)
        self.world, self.service, self.zone, self.slots = world, service, zone, slots
        self.id = f"i-{service}-{number}-{random.randrange(1 << 32):08x}"
        self.started_ms = int(time.time() * 1000)
        self.running, self.sequence, self.draining, self.extra = 0, 0, False, []
        self.version = "v1"

    def entry(self):
        self.sequence += 1
        return json.dumps(
            {
                "Service": self.service,
                "Address": f"{self.host}:{self.port}",
                "Zone": self.zone,
                "Version": self.version,
                "Slots": self.slots,
                "State": "draining" if self.draining else "ready",
                "ColdRemainingMs": 0,
                "Sequence": self.sequence,
                "born": self.started_ms,
            }
        ).encode()

    def register(self):
        self.world.store.put(f"servers/{self.id}", self.entry())

    def fields(self, request):
        seal = ("Response-Seal", f"seal.{self.id}.{request}")
        load = ("Server-Load", f"{self.running},0,{self.slots}")
        return [("Request-Id", request), seal, load, *self.extra]

    async def handle(self, http, method, target, fields, body):
        request = fields.get("request-id", "")
        if target == "/healthz":
            await http.respond(200, b"", [("Instance-Id", self.id)])
            return
        if target.startswith("/-/"):
            await self.call(http, method, target, body)
            return
        if fields.get("expect-instance") not in (None, self.id):
            named = [("Request-Id", request), ("Instance-Id", self.id), ("Not-Executed", "1")]
            await http.respond(421, b"", named)
            return
        if self.running >= self.slots:
            named = [("Request-Id", request), ("Not-Executed", "1")]
            await http.respond(503, b"", named)
            return
        self.running += 1
        self.world.ran(self, request, method, target, fields, body)
        try:
            await self.work(http, request, fields, body)
        finally:
            self.running -= 1

    async def call(self, http, method, target, body):
        await http.respond(404, b"{}", [("Content-Type", "application/json")])


class Runner(Target):
    """An application runner: 30 ms of work, one whole answer."""

    work_s = 0.03

    async def work(self, http, request, fields, body):
        await asyncio.sleep(self.work_s)
        await http.respond(200, b"done " + request.encode(), self.fields(request))


class Engine(Target):
    """A language-model runner: events with rising ids at a steady pace."""

    first_s, event_s, count = 0.2, 0.04, 40
    trouble = False
    """Whether its answers are bytes without end that are no answer."""
    trouble_chunk = b""

    def __init__(self, *words):
        super().__init__(*words)
        self.runs, self.endless, self.troubled = {}, 0, 0

    async def call(self, http, method, target, body):
        typed = [("Content-Type", "application/json")]
        if target == "/-/report":
            runs = [[name, 100, made, 5] for name, made in self.runs.items()]
            report = {
                "Stage": "both",
                "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
                "Busy": False,
                "Sequence": 0,
                "Queued": 0,
                "Running": self.running,
                "KvUsed": 100 * self.running,
                "KvTotal": 55000,
                "Handles": 0,
                "State": "ready",
                "Runs": runs,
                "Pinned": 0,
                "held": 0,
                "born": self.started_ms,
            }
            await http.respond(200, json.dumps(report).encode(), typed)
        elif target.startswith("/-/kv-list"):
            held = {"epoch": 1, "Next": 1, "held": [], "born": self.started_ms}
            await http.respond(200, json.dumps(held).encode(), typed)
        else:
            await http.respond(404, b"{}", typed)

    async def work(self, http, request, fields, body):
        self.runs[request] = 0
        try:
            await asyncio.sleep(self.first_s)
            head = [
                "HTTP/1.1 200 OK",
                "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked",
                "Weight-Versions: 1",
            ]
            head += [f"{name}: {value}" for name, value in self.fields(request)]
            await http.write(("\r\n".join(head) + "\r\n\r\n").encode())
            if self.trouble:
                self.troubled += 1
                await self._endless(http)
                return
            begin = int(fields.get("last-event-id") or 0)
            for number in range(begin + 1, self.count + 1):
                await asyncio.sleep(self.event_s)
                event = f"id: {number}\ndata: token-{number} of {request}\n\n".encode()
                await http.write(b"%x\r\n%s\r\n" % (len(event), event))
                self.runs[request] = number
            await http.write(b"0\r\n\r\n")
        finally:
            self.runs.pop(request, None)

    async def _endless(self, http):
        chunk = b"%x\r\n%s\r\n" % (len(self.trouble_chunk), self.trouble_chunk)
        block = chunk * (32 * 1024 // len(chunk))
        while True:
            await http.write(block)
            self.endless += len(block)
            await asyncio.sleep(0)


class Gateway:
    """One VM: its settings file and its process."""

    def __init__(self, world, number):
        self.world, self.zone = world, ZONES[number % len(ZONES)]
        self.host, self.name = world.address(1 + number), f"front-{number}"
        self.process, self.disturbed_at, self.up = None, time.monotonic(), []
        self.settings = {}

    def write_settings(self):
        seeds = ",".join(f"{vm.host}:{CONTROL}" for vm in self.world.vms[:3])
        lines = {
            "Node": self.name,
            "Role": "gateway",
            "NodeClass": "front",
            "Serves": "front,control,directory",
            "Ip": self.host,
            "Zone": self.zone,
            "Region": "here",
            **{f"Zones.{zone}": "here" for zone in ZONES},
            "Listen.Front": f"{self.host}:{FRONT}",
            "Listen.Ready": f"{self.host}:{READY}",
            "Listen.Control": f"{self.host}:{CONTROL}",
            "Listen.Directory": f"{self.host}:{DIRECTORY}",
            "PortRange": "7200,7215",
            "Seeds": seeds,
            "Bootstrap": "true",
            "Limits.CpuShare": "0.537",
            "Limits.Cores": "2",
            "Limits.MemoryMb": "300",
            "Limits.MaxFds": "4100",
            "Limits.LinkMbps": "1000.0",
            "Limits.DiskMb": "0",
            "Discovery": "platform",
            "Entry": "directory",
            "HeartbeatMs": "1200",
            "Contracts": "base,drain,config,cost,retry,recover,engine,stream,tenants,platform",
            "FaultTolerance.Machines": "1",
            "Bounds.SeedLagS": "3",
            "Bounds.AddrReuseS": "2",
            "Bounds.StableWindowMs": "3000",
            "Bounds.AckMs": "4000",
            "Bounds.CatchUpS": "4",
            "Bounds.DrainMs": "2000",
            "Bounds.GraceS": "8",
            "Bounds.LossSlackMs": "200",
            "Bounds.ConfigApplyMs": "2000",
            "Bounds.RollbackSlackMs": "250",
            "Bounds.OuterMs": "5000",
            "Bounds.StrictRevoke": "false",
            "Bounds.RevokeMs": "5000",
            "Bounds.RetryBudgetRatio": "0.8",
            "Bounds.BudgetWindowS": "10",
            "Bounds.RetryBudgetSlack": "150",
            "Bounds.RecoverS": "12",
            "Bounds.PassMs": "120",
            "Bounds.RetryAfterS": "10",
            "Bounds.ttl_max_s": "5",
            "Platform.Address": f"{self.world.store.host}:{STORE_PORT}",
            "Platform.form": "kv",
            "Platform.WritesPerS": "400",
            "Platform.ReadsPerS": "2000",
            "Platform.HistoryS": "20",
            "Platform.ValueBytes": "1048576",
            "Platform.TtlMinMs": "1000",
            **self.settings,
        }
        self.file = self.world.folder / f"{self.name}.conf"
        self.file.write_text("".join(f"{k}={v}\n" for k, v in lines.items()), encoding="utf-8")

    def start(self):
        self.write_settings()
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = {
            **kept,
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "LAGOONLEVER_NODE_FILE": str(self.file),
        }
        self.log = (self.world.folder / f"{self.name}.log").open("ab")
        command = ("python3", "-S", "-m", "lagoonlever.gateway")
        self.process = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdout=self.log, stderr=self.log
        )
        self.disturbed_at = time.monotonic()

    def signal(self, number):
        self.disturbed_at = time.monotonic()
        if self.process.poll() is None:
            self.process.send_signal(number)

    @property
    def ended(self):
        return self.process is not None and self.process.poll() is not None

    def memory_mb(self):
        """Return the resident memory of the process, as its operating system tells it."""
        try:
            pages = Path(f"/proc/{self.process.pid}/statm").read_text().split()[1]
        except (OSError, IndexError):
            return 0.0
        return int(pages) * os.sysconf("SC_PAGE_SIZE") / 1e6


class World:
    """The whole deployment; ``line`` writes to record.txt."""

    def __init__(self, folder, *, vms=3, engines=3, runners=3):
        self.record = (Path(folder) / "record.txt").open("w", encoding="utf-8")
        self.folder = Path(tempfile.mkdtemp(prefix="review-2-"))
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.net = self._free_net()
        self.began = time.monotonic()
        self.store = Store(self.address(250), STORE_PORT)
        self.vms = []
        self.vms += [Gateway(self, number) for number in range(vms)]
        self.engines = [
            Engine(self, self.address(100 + n), ENGINE_PORT, "pool", ZONES[n % 3], n, 24)
            for n in range(engines)
        ]
        self.runners = [
            Runner(self, self.address(150 + n), RUNNER_PORT, "app", ZONES[n % 3], n, 6)
            for n in range(runners)
        ]
        self.runs, self.version, self.tasks, self.lag_s = [], 0, [], 0.0
        self.tenants = [{"Name": "tenant-a", "ApiKeys": [KEY]}]

    def _free_net(self):
        for _ in range(50):
            net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
            try:
                for port in (FRONT, READY, CONTROL, DIRECTORY, TUNNEL, METRICS):
                    with socket.socket() as probe:
                        probe.bind((f"{net}.1", port))
                return net
            except OSError:
                continue
        raise SystemExit(COULD_NOT_RUN)

    def address(self, number):
        return f"{self.net}.{number}"

    @property
    def now(self):
        return time.monotonic() - self.began

    def line(self, text):
        if self.record.closed:
            return
        self.record.write(f"{self.now:8.3f} {text}\n")
        self.record.flush()

    def routes(self):
        def route(name, kind, service, timeout_ms, attempts, **more):
            return {
                "Name": name,
                "Host": HOST,
                "Prefix": f"/{name}/",
                "RouteType": kind,
                "Service": service,
                "TimeoutMs": timeout_ms,
                "MaxAttempts": attempts,
                "Priority": 1,
                **more,
            }

        return [
            route("bid", "non_idempotent", "app", 1200, 1, TargetLatencyMs=150),
            route("status", "idempotent", "app", 1200, 2, TargetLatencyMs=150),
            route(
                "summary",
                "streaming",
                "pool",
                25000,
                5,
                TargetLatencyMs=4500,
                ResumeStreams=True,
                StickySessions=True,
                GapAimMs=700,
            ),
        ]

    def configure(self, routes=None, **changes):
        self.version += random.randint(1, 4)
        pool = {
            "Name": "pool",
            "HealthPath": "/healthz",
            "MaxConnections": 210,
            "Engine": {
                "Slots": 24,
                "KvCapacity": 55000,
                "KvTokenBytes": 18432,
                "Stride": 8,
                "HandleS": 4,
                "Backups": False,
                "Moves": False,
            },
        }
        document = {
            "Version": self.version,
            "Routes": routes or self.routes(),
            "Services": [pool, {"Name": "app", "HealthPath": "/healthz", "MaxConnections": 110}],
            "Tenants": self.tenants,
            "Limits": {
                "MaxHeaderBytes": 16384,
                "MaxBodyBytes": 4194304,
                "HeaderTimeoutMs": 3000,
                "IdleTimeoutMs": 15000,
            },
            **changes,
        }
        self.store.put("op/config", json.dumps(document).encode())
        self.line(f"config version {self.version}")
        return self.version

    def ran(self, target, request, method, path, fields, body):
        self.runs.append((self.now, request, target.id))
        self.line(f"run {request} {method} {path} at {target.id}")

    async def start(self):
        await self.store.start()
        self.spawn(self.store.expire())
        self.configure()
        for target in (*self.engines, *self.runners):
            await target.start()
            target.register()
            self.spawn(self._beat(target))
        for vm in self.vms:
            vm.start()
            self.spawn(self._probe(vm))
        self.spawn(self._watch_lag())

    def spawn(self, coroutine):
        self.tasks.append(asyncio.ensure_future(coroutine))
        return self.tasks[-1]

    async def _beat(self, target):
        while True:
            await asyncio.sleep(1.2)
            if f"servers/{target.id}" in self.store.items:
                target.register()

    async def _watch_lag(self):
        """Note how late this process itself is: a late stand-in would look like a late gateway."""
        while True:
            began = time.monotonic()
            await asyncio.sleep(0.05)
            self.lag_s = max(self.lag_s, time.monotonic() - began - 0.05)

    async def _probe(self, vm):
        """Ask for readiness once a second, as the platform does."""
        while True:
            began = time.monotonic()
            status = 0
            try:
                status, _, _ = await asyncio.wait_for(
                    fetch(vm.host, READY, "GET", "/-/ready", ()), PLATFORM_S
                )
            except (Closed, OSError, asyncio.TimeoutError):
                pass
            vm.up.append((self.now, status))
            await asyncio.sleep(max(0.0, began + 1.0 - time.monotonic()))

    async def until_ready(self, limit_s=15.0):
        ends = time.monotonic() + limit_s
        while time.monotonic() < ends:
            if all(vm.up and vm.up[-1][1] == 200 for vm in self.vms):
                return
            await asyncio.sleep(0.1)
        self.line("the gateways are not ready")
        raise SystemExit(COULD_NOT_RUN)

    async def addresses(self, rng):
        """Ask up to three directories where to connect, nearest first or in any order."""
        for vm in rng.sample(self.vms, min(3, len(self.vms))):
            try:
                path = f"/-/resolve?Name={HOST}&Region=here&Zone={vm.zone}"
                status, _, body = await asyncio.wait_for(
                    fetch(vm.host, DIRECTORY, "GET", path, ()), 1.0
                )
                if status == 200:
                    return [each.rpartition(":")[0] for each in json.loads(body)["Addresses"]]
            except (Closed, OSError, asyncio.TimeoutError):
                continue
        return []

    async def close(self):
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.wait(others, timeout=2.0)
        for vm in self.vms:
            if vm.process is not None and vm.process.poll() is None:
                vm.process.send_signal(signal.SIGCONT)
                vm.process.kill()
                vm.process.wait()
        if os.environ.get("KEEP"):
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


async def connect(host, port):
    reader, writer = await asyncio.wait_for(asyncio.open_connection(host, port, limit=1 << 20), 1.0)
    return Http(reader, writer)


def request_head(method, path, fields, body=b""):
    lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in fields)]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def fetch(host, port, method, path, fields, body=b""):
    http = await connect(host, port)
    try:
        await http.write(request_head(method, path, (("Host", HOST), *fields), body))
        first, got = await http.head()
        return int(first.split(" ")[1]), got, await http.body(got)
    finally:
        http.writer.transport.abort()


def new_id(rng):
    return f"{rng.randrange(1 << 64):016x}"


def client_fields(request, deadline_ms, more=()):
    return (
        ("Request-Id", request),
        ("Deadline-Ms", str(deadline_ms)),
        ("Authorization", f"Bearer {KEY}"),
        *more,
    )


def stream_fields(request, rng, more=()):
    shared, own = f"{rng.randrange(200):08x}", new_id(rng)[:8]
    return client_fields(
        request,
        25000,
        (
            ("Model", "m"),
            ("Token-Count", "1200,320"),
            ("Length-Hint", "320"),
            ("Prompt-Prefix", f"{shared}:200,{own}:1000"),
            *more,
        ),
    )


def main(folder, scenario, **sizes):
    """Run a scenario in its world and exit with what it returns."""

    async def play():
        world = World(folder, **sizes)
        try:
            await world.start()
            await world.until_ready()
            return await scenario(world)
        finally:
            world.line(f"this process was late by {world.lag_s:.3f} s at most")
            await world.close()

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    try:
        verdict = asyncio.run(play())
    except Exception as error:  # whatever it is, it is no verdict
        print(f"the case could not run: {error!r}", file=sys.stderr)
        sys.exit(COULD_NOT_RUN)
    sys.exit(verdict)
