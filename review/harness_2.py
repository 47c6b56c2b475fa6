"""Stand-ins and helpers of the cases 6 to 10.

One event loop runs the platform's store, the replicas and the clients on
loopback addresses; the program under test runs as separate processes, started
with the command of `deploy/system.toml` and with its settings template filled
in. The stand-ins do what PROTOCOL.md and DEPLOY.md say, and nothing else.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[1]
HOST = "rota.example"
KEY = "k7q2m9x4c1"
TENANT = "museum-1"

# Exit codes of a case.
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not run, so it says nothing about the rule."""


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started_at = time.monotonic()

    def __call__(self, text):
        line = f"{time.monotonic() - self.started_at:8.3f} s  {text}"
        print(line, file=self.file, flush=True)


# Settings of a machine, with the bounds of the site docentline-lakes.
def platform_fields(ip, name, zone, store_address, **limits):
    return {
        "node-name": name,
        "availability-zone": zone,
        "ip-address": ip,
        "internal-port-range": [7400, 7415],
        "listen-addresses": {"frontend": f"{ip}:8783", "ready": f"{ip}:8780"},
        "limits": {"memory-mb": 110, "file-descriptors": 4100, **limits},
        "bounds": {
            "drain-timeout-ms": 2000,
            "grace-period-s": 8,
            "config-apply-ms": 2000,
            "revocation-ms": 5000,
            "retry-budget-ratio": 0.2,
            "budget-window-s": 10,
            "retry-budget-extra": 54,
            "delivery-deadline-ms": 120,
        },
        "platform": {"address": store_address},
    }


def look_up(fields, path):
    value = fields
    for part in path.split("."):
        if isinstance(value, list):
            value = value[int(part)]
        elif isinstance(value, dict):
            value = value.get(part)
        if value is None:
            return None
    return value


def fill_in(template, fields):
    """Fills in the placeholders that the project's template uses."""

    def section(match):
        value = look_up(fields, match.group(1))
        return "" if value is None else match.group(2).replace("{{.}}", str(value))

    def placeholder(match):
        value = look_up(fields, match.group(1))
        return json.dumps(value) if match.group(2) else str(value)

    text = re.sub(r"\{\{#([\w.-]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.-]+)(\|json)?\}\}", placeholder, text)


def free_loopback_addresses(count):
    """Returns loopback addresses on which the ports of a machine are free."""
    result = []
    for _ in range(1000):
        ip = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}.{random.randint(1, 250)}"
        try:
            for port in (7400, 7401, 8780, 8783):
                with socket.socket() as probe:
                    probe.bind((ip, port))
        except OSError:
            continue
        result.append(ip)
        if len(result) == count:
            return result
    raise CannotRun("no loopback address with free ports")


def free_port(ip="127.0.0.1"):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Machine:
    """One machine of the system with its process."""

    def __init__(self, folder, ip, name, zone, store_address, **limits):
        self.ip, self.name = ip, name
        with open(ROOT / "deploy/system.toml", "rb") as file:
            role = tomllib.load(file)["roles"]["entry"]
        program, *words = role["run"].split(" ")
        if not (ROOT / program).exists():
            raise CannotRun(f"{program} is missing: run the build of the deploy file first")
        settings = Path(folder) / f"{name}.toml"
        template = (ROOT / role["template"]).read_text()
        settings.write_text(
            fill_in(template, platform_fields(ip, name, zone, store_address, **limits))
        )
        # The platform puts the settings at a fixed place; here it is a
        # temporary folder.
        words = [str(settings) if w == "/etc/bronzehub/local.toml" else w for w in words]
        self.log = open(Path(folder) / f"{name}.log", "w+")
        self.command = [str(ROOT / program), *words]
        self.process = None
        self.start()

    def start(self):
        self.process = subprocess.Popen(
            self.command, stdout=self.log, stderr=subprocess.STDOUT, cwd=ROOT, env={}
        )

    def signal(self, number):
        self.process.send_signal(number)

    def end(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, 8780)
            writer.write(f"GET /api/readiness HTTP/1.1\r\nHost: {self.ip}\r\n\r\n".encode())
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, timeout_s=15):
        deadline = time.monotonic() + timeout_s
        while not await self.is_ready():
            if time.monotonic() > deadline:
                raise CannotRun(f"{self.name} did not become ready")
            await asyncio.sleep(0.1)


async def read_message(reader):
    """Reads one message: (start line, headers with lower-case names, body)."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return head[0], headers, body


def encode_response(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} X", *(f"{n}: {v}" for n, v in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Listener:
    def __init__(self):
        self.server, self.port, self.tasks = None, 0, set()

    async def start(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def accept(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    async def stop(self):
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class Store(Listener):
    """The platform's store: rows, transactions and the feed of changes."""

    LATENCY_S = 0.004

    def __init__(self):
        super().__init__()
        self.rows, self.history, self.version = {}, [], 0
        self.changed = asyncio.Event()

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    def write(self, table, key, value):
        self.version += 1
        self.rows[(table, key)] = (value, self.version)
        self.history.append((table, key, value, self.version))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def write_json(self, table, key, value):
        self.write(table, key, json.dumps(value).encode())

    @staticmethod
    def encode_row(table, key, value, version):
        return {
            "table-name": table,
            "part": "",
            "key": key,
            "row-version": version,
            "value": base64.b64encode(value).decode(),
        }

    def changes(self, table, after):
        return [
            self.encode_row(*row) for row in self.history if row[0] == table and row[3] > after
        ]

    async def serve(self, reader, writer):
        while True:
            line, _, body = await read_message(reader)
            await asyncio.sleep(self.LATENCY_S)
            writer.write(await self.respond(line, body))
            await writer.drain()

    async def respond(self, line, body):
        method, target, _ = line.split(" ")
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        result = {}
        if parts.path == "/api/rows-get":
            table = query["table-name"]
            rows = [
                self.encode_row(table, key, value, version)
                for (row_table, key), (value, version) in sorted(self.rows.items())
                if row_table == table and key >= query.get("from", "")
            ]
            result = {"rows": rows, "has-more": False}
        elif parts.path == "/api/rows-feed":
            table, after = query["table-name"], int(query["after"])
            deadline = time.monotonic() + int(query["wait-ms"]) / 1000
            while not self.changes(table, after) and time.monotonic() < deadline:
                try:
                    await asyncio.wait_for(self.changed.wait(), deadline - time.monotonic())
                except asyncio.TimeoutError:
                    break
            result = {"rows": self.changes(table, after)}
        elif method == "POST" and parts.path == "/api/rows-tx":
            for row in json.loads(body).get("write", []):
                self.write(row["table-name"], row["key"], base64.b64decode(row["value"]))
        else:
            return encode_response(404, {})
        result["row-version"] = self.version
        result["current-time-ms"] = int(time.monotonic() * 1000)
        return encode_response(
            200, {"Content-Type": "application/json"}, json.dumps(result).encode()
        )


class Replica(Listener):
    """A sound replica of a plain service.

    `work_s` gives the seconds that it works on a request, by the query `work`.
    """

    HEARTBEAT_S = 1.2

    def __init__(self, store, record, name, service, zone, slots=6):
        super().__init__()
        self.store, self.record = store, record
        self.name, self.service, self.zone, self.slots = name, service, zone, slots
        self.born = int(time.time() * 1000)
        self.sequence = 0
        # (id, method, target, body) of each request that it began to run.
        self.runs = []
        self.free = asyncio.Semaphore(slots)
        self.heart = None

    async def start(self):
        await super().start()
        self.register()
        self.heart = asyncio.ensure_future(self.beat())

    async def beat(self):
        while True:
            await asyncio.sleep(self.HEARTBEAT_S)
            self.register()

    def register(self, state="available"):
        self.sequence += 1
        self.store.write_json(
            "servers",
            self.name,
            {
                "service": self.service,
                "address": f"127.0.0.1:{self.port}",
                "availability-zone": self.zone,
                "version": "v1",
                "capacity-slots": self.slots,
                "state": state,
                "cold-remaining-ms": 0,
                "sequence": self.sequence,
                "born": self.born,
            },
        )

    async def stop(self):
        if self.heart:
            self.heart.cancel()
        await super().stop()

    async def serve(self, reader, writer):
        while True:
            line, headers, body = await read_message(reader)
            method, target, _ = line.split(" ")
            request_id = headers.get("bronzehub-attempt-id", "")
            if headers.get("bronzehub-expected-replica", self.name) != self.name:
                writer.write(encode_response(421, {"Bronzehub-Attempt-Id": request_id}))
                continue
            async with self.free:
                self.runs.append((request_id, method, target, body))
                self.record(f"{self.name} runs {request_id}: {method} {target}, {len(body)} bytes")
                await self.handle(writer, request_id, target, body)
            await writer.drain()

    async def handle(self, writer, request_id, target, body):
        query = parse_qs(urlsplit(target).query)
        await asyncio.sleep(float(query.get("work", ["0.015"])[0]))
        content = f"the answer to {request_id} of {self.name}\n".encode()
        writer.write(
            encode_response(
                200,
                {
                    "Bronzehub-Attempt-Id": request_id,
                    "Bronzehub-Replica-Signature": f"{self.name}.{request_id}",
                    "Bronzehub-Replica-Load": f"0,0,{self.slots}",
                    "Keep-Alive": "timeout=15",
                },
                content,
            )
        )
        self.record(f"{self.name} answers {request_id}")


def configuration(version, routes, services=("rota-app",), limits=None):
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": name, "connection-limit": 100} for name in services],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
            **(limits or {}),
        },
        "tenants": [{"name": TENANT, "api-keys": [KEY]}],
    }


def route(prefix, kind, service="rota-app", **more):
    return {
        "name": prefix.strip("/"),
        "hostname": HOST,
        "path-prefix": prefix,
        "route-kind": kind,
        "timeout-ms": 10000,
        "target-latency-ms": 100,
        "priority-level": 2,
        "service": service,
        "max-attempts": 2 if kind == "idempotent" else 1,
        "public": False,
        **more,
    }


def encode_request(request_id, target, method="GET", body=None, deadline_ms=8000, **more):
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {HOST}",
        f"Bronzehub-Attempt-Id: {request_id}",
        f"Bronzehub-Deadline-Ms: {deadline_ms}",
        f"Api-Key: {KEY}",
        *(f"{name}: {value}" for name, value in more.items()),
    ]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + (body or b"")


def new_id():
    return f"{random.getrandbits(64):016x}"


def run_case(case, folder):
    """Runs `case(record, temporary folder)`, which returns whether the rule held."""
    record = Record(Path(folder) / "record.txt")
    record(f"trouble: {'yes' if trouble() else 'no'}")
    try:
        with tempfile.TemporaryDirectory() as temporary:
            held = asyncio.run(asyncio.wait_for(case(record, temporary), 100))
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        record(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(CANNOT_RUN)
    record("the rule held" if held else "the rule was broken")
    print("the rule held" if held else "the rule was broken")
    sys.exit(HELD if held else BROKEN)
