"""Stand-ins for the review's scripts: the platform's store, replicas, and the
machines of bronzehub-entryd.

Everything listens on loopback addresses. The stand-ins are written from the
users' pages only; where a page is silent, they behave like a sound server,
client or platform. All of them run on the event loop of one script; the
daemons under test are separate processes, started with the command of
deploy/system.toml and with settings made from its template.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
ATTEMPT_ID = "Bronzehub-Attempt-Id"
SIGNATURE = "Bronzehub-Replica-Signature"
NOT_EXECUTED = "Bronzehub-Not-Executed"

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_COULD_NOT_RUN = 2


def trouble():
    """Whether the script runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run, with the time of each."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.started_at = time.monotonic()

    def now(self):
        return time.monotonic() - self.started_at

    def add(self, *words):
        self.file.write(f"{self.now():9.3f} " + " ".join(str(word) for word in words) + "\n")
        self.file.flush()


async def read_head(reader):
    """Reads a head; returns (start line, headers with names in lower case)."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = bytearray()
        while True:
            line = await reader.readline()
            if not line.endswith(b"\n"):
                raise asyncio.IncompleteReadError(line, None)
            size = int(line.split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                return bytes(body)
    return await reader.readexactly(int(headers.get("content-length", 0)))


def encode_response(status, headers=None, body=b""):
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def free_address():
    """Returns a loopback address on which no port of this review is in use."""
    while True:
        address = f"127.{random.randrange(10, 250)}.{random.randrange(1, 250)}.{random.randrange(2, 250)}"
        try:
            for port in (7400, 7401, 8080, 8443, 8780, 8781, 8783):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((address, port))
            return address
        except OSError:
            continue


class Listener:
    """A TCP server of this process."""

    def __init__(self, address, port):
        self.address = address
        self.port = port
        self.server = None
        self.tasks = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self.accept, self.address, self.port, limit=2**20, backlog=4096
        )

    async def accept(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass  # The peer closed the connection, or the server stops.
        finally:
            self.tasks.discard(task)
            writer.close()

    async def stop(self):
        if self.server:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class Store(Listener):
    """The platform's store: rows, transactions and the feed of changes."""

    def __init__(self):
        super().__init__(free_address(), 8781)
        self.rows = {}
        self.history = []
        self.version = 0
        self.changed = asyncio.Event()

    def write(self, table, key, value):
        self.version += 1
        self.rows[(table, key)] = (value, self.version)
        self.history.append((table, key, value, self.version))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def delete(self, table, key):
        if self.rows.pop((table, key), None) is not None:
            self.version += 1
            self.history.append((table, key, None, self.version))
            changed, self.changed = self.changed, asyncio.Event()
            changed.set()

    def write_json(self, table, key, value):
        self.write(table, key, json.dumps(value).encode())

    @staticmethod
    def encode_row(table, key, value, version):
        row = {"table-name": table, "part": "", "key": key, "row-version": version}
        if value is None:
            row["deleted"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    def changes(self, table, after):
        newest = {}
        for row_table, key, value, version in self.history:
            if row_table == table and version > after:
                newest[key] = (table, key, value, version)
        return [self.encode_row(*row) for row in sorted(newest.values(), key=lambda row: row[3])]

    async def serve(self, reader, writer):
        while True:
            line, headers = await read_head(reader)
            body = await read_body(reader, headers)
            await asyncio.sleep(0.004)
            status, text = await self.answer(line, body)
            writer.write(encode_response(status, {"Content-Type": "application/json"}, text))
            await writer.drain()

    async def answer(self, line, body):
        """Returns (status, body) of the answer to a call."""
        status, result = await self.respond(line, body)
        if result is None:
            return status, b""
        result["row-version"] = self.version
        result["current-time-ms"] = int(time.monotonic() * 1000)
        return status, json.dumps(result).encode()

    async def respond(self, line, body):
        method, target, _ = line.split(" ")
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        table = query.get("table-name", "")
        if parts.path == "/api/rows-get":
            limit = min(int(query.get("result-limit", 500)), 500)
            keys = sorted(
                key
                for row_table, key in self.rows
                if row_table == table
                and key >= query.get("from", "")
                and ("to" not in query or key < query["to"])
            )
            rows = [self.encode_row(table, key, *self.rows[(table, key)]) for key in keys[:limit]]
            return 200, {"rows": rows, "has-more": len(keys) > limit}
        if parts.path == "/api/rows-feed":
            after = int(query["after"])
            deadline = time.monotonic() + int(query["wait-ms"]) / 1000
            while not self.changes(table, after) and time.monotonic() < deadline:
                try:
                    await asyncio.wait_for(self.changed.wait(), deadline - time.monotonic())
                except asyncio.TimeoutError:
                    break
            return 200, {"rows": self.changes(table, after)}
        if method == "POST" and parts.path == "/api/rows-tx":
            call = json.loads(body)
            for row in call.get("precondition", []):
                held = self.rows.get((row["table-name"], row["key"]), (None, 0))[1]
                if held != row["row-version"]:
                    return 412, {"rows": []}
            for row in call.get("write", []):
                if row["table-name"] in ("op", "servers"):
                    return 403, None
                self.write(row["table-name"], row["key"], base64.b64decode(row["value"]))
            for row in call.get("deletes", []):
                self.delete(row["table-name"], row["key"])
            return 200, {}
        return 404, None


class StoreDoor(Listener):
    """An address of the store that serves one machine.

    With `refusing`, the store turns that machine away with 503 and serves the
    others, as the pages say that it may.
    """

    def __init__(self, store):
        super().__init__(free_address(), 8781)
        self.store = store
        self.refusing = False

    async def serve(self, reader, writer):
        while True:
            line, headers = await read_head(reader)
            body = await read_body(reader, headers)
            await asyncio.sleep(0.004)
            if self.refusing:
                writer.write(encode_response(503))
            else:
                status, text = await self.store.answer(line, body)
                if self.refusing:
                    status, text = 503, b""
                writer.write(encode_response(status, {"Content-Type": "application/json"}, text))
            await writer.drain()


class PlainReplica(Listener):
    """A replica of a plain service with slots, a queue and a time of work."""

    def __init__(self, store, record, name, service, zone, slots=6, queue=24, work_s=0.015):
        super().__init__(free_address(), 8443)
        self.store = store
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.queue = queue
        self.work_s = work_s
        self.free = asyncio.Semaphore(slots)
        self.waiting = 0
        self.running = 0
        self.beats = 0
        self.born = int(time.time() * 1000)
        # Attempt ids in the order in which their requests began to run.
        self.runs = []
        self.beat_task = None
        # Another address to register, of a link.
        self.registered_address = None

    async def start(self):
        await super().start()
        self.beat_task = asyncio.ensure_future(self.beat())

    async def beat(self):
        while True:
            self.register("available")
            await asyncio.sleep(1.2)

    def register(self, state):
        self.beats += 1
        self.store.write_json(
            "servers",
            self.name,
            {
                "service": self.service,
                "address": self.registered_address or f"{self.address}:{self.port}",
                "availability-zone": self.zone,
                "version": "v1",
                "capacity-slots": self.slots,
                "state": state,
                "cold-remaining-ms": 0,
                "sequence": self.beats,
                "born": self.born,
            },
        )

    def response_headers(self, attempt):
        return {
            ATTEMPT_ID: attempt,
            "Keep-Alive": "timeout=5",
            "Bronzehub-Replica-Load": f"{self.running},{self.waiting},{self.slots}",
        }

    async def serve(self, reader, writer):
        while True:
            line, headers = await read_head(reader)
            body = await read_body(reader, headers)
            attempt = headers.get(ATTEMPT_ID.lower(), "")
            expected = headers.get("bronzehub-expected-replica", self.name)
            if expected != self.name:
                writer.write(encode_response(421, {"Bronzehub-Replica-Id": self.name}))
            elif self.waiting >= self.queue:
                rejected = {**self.response_headers(attempt), NOT_EXECUTED: 1}
                writer.write(encode_response(503, rejected))
            else:
                await self.run(writer, attempt, line, headers, body)
            await writer.drain()

    async def run(self, writer, attempt, line, headers, body):
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            self.runs.append(attempt)
            self.record.add("run", self.name, attempt, f"body={len(body)}")
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
            self.free.release()
        signed = {**self.response_headers(attempt), SIGNATURE: f"{self.name}.{attempt}"}
        writer.write(encode_response(200, signed, b"x" * 800))

    async def stop(self):
        if self.beat_task:
            self.beat_task.cancel()
        await super().stop()


class EngineReplica(PlainReplica):
    """A model replica: batches requests and streams their events.

    A request that is meant for other weights gets 421, as the pages say.
    """

    def __init__(
        self, *args, slots=24, events=12, pause_s=0.02, first_event_s=0.02, **options
    ):
        super().__init__(*args, slots=slots, **options)
        self.events = events
        self.pause_s = pause_s
        # Time in which the prompt is read.
        self.first_event_s = first_event_s
        self.weights = 1

    def response_headers(self, attempt):
        return {**super().response_headers(attempt), "Bronzehub-Weight-Versions": self.weights}

    async def run(self, writer, attempt, line, headers, body):
        wanted = headers.get("bronzehub-expected-version")
        if wanted not in (None, str(self.weights)):
            self.record.add("other weights", self.name, attempt, f"wanted={wanted}")
            writer.write(
                encode_response(421, {**self.response_headers(attempt), NOT_EXECUTED: 1})
            )
            return
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            await self.stream(writer, attempt, headers)
        finally:
            self.running -= 1
            self.free.release()

    async def stream(self, writer, attempt, headers):
        self.runs.append(attempt)
        self.record.add("run", self.name, attempt, headers.get("bronzehub-tenant", ""))
        lines = [f"{name}: {value}" for name, value in self.response_headers(attempt).items()]
        lines += [f"{SIGNATURE}: {self.name}.{attempt}", "Content-Type: text/event-stream"]
        lines += ["Transfer-Encoding: chunked"]
        writer.write(("HTTP/1.1 200 OK\r\n" + "\r\n".join(lines) + "\r\n\r\n").encode())
        first = int(headers.get("last-event-id", 0)) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.first_event_s if number == first else self.pause_s)
            event = f"id: {number}\ndata: {attempt}.{number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


class Link(Listener):
    """A link to a replica, with the replica's address towards the machines.

    While it is cut with resets, connections are refused, and what is sent on
    an open one, either way, resets it. The replica behind it works on.
    """

    def __init__(self, address, port):
        super().__init__(address, port)
        self.target = None
        self.cut = False

    async def set_cut(self, cut):
        self.cut = cut
        if cut:
            self.server.close()
        else:
            await self.start()

    async def serve(self, reader, writer):
        target_reader, target_writer = await asyncio.open_connection(*self.target)
        ways = [
            asyncio.ensure_future(self.copy(reader, target_writer)),
            asyncio.ensure_future(self.copy(target_reader, writer)),
        ]
        await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        for way in ways:
            way.cancel()
        if self.cut:
            for each in (writer, target_writer):
                each.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
                each.transport.abort()
        target_writer.close()

    async def copy(self, reader, writer):
        while data := await reader.read(65536):
            if self.cut:
                return
            writer.write(data)
            await writer.drain()


def fill_template(text, fields):
    """Fills in the placeholders that deploy/entry-settings.template uses."""

    def value_of(match):
        value = fields
        for name in match.group(1).split("."):
            value = value[int(name)] if isinstance(value, list) else value[name]
        return json.dumps(value) if match.group(2) else str(value)

    return re.sub(r"\{\{([a-z0-9.-]+)(\|json)?\}\}", value_of, text)


class Machine:
    """An edge machine with its process of bronzehub-entryd."""

    def __init__(self, store, record, name, zone, bounds=None, memory_mb=260):
        self.record = record
        self.name = name
        self.memory_mb = memory_mb
        self.address = free_address()
        self.frontend = (self.address, 8783)
        self.ready = (self.address, 8780)
        self.process = None
        self.peak_rss_mb = 0
        self.ends = []
        self.fields = {
            "node-name": name,
            "ip-address": self.address,
            "availability-zone": zone,
            "internal-port-range": [7400, 7415],
            "listen-addresses": {
                "frontend": f"{self.address}:8783",
                "ready": f"{self.address}:8780",
            },
            "platform": {"address": f"{store.address}:{store.port}"},
            "bounds": {
                "drain-timeout-ms": 2000,
                "config-apply-ms": 2000,
                "revocation-ms": 5000,
                "grace-period-s": 8,
                "delivery-deadline-ms": 120,
                "retry-budget-ratio": 0.2,
                "retry-budget-extra": 56,
                "budget-window-s": 10,
                **(bounds or {}),
            },
            "limits": {"file-descriptors": 4100, "memory-mb": memory_mb},
        }
        self.folder = tempfile.TemporaryDirectory(prefix="bronzehub-review-")

    def start(self):
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["entry"]
        with open(os.path.join(ROOT, role["template"])) as file:
            settings = fill_template(file.read(), self.fields)
        path = os.path.join(self.folder.name, "local.toml")
        with open(path, "w") as file:
            file.write(settings)
        command = role["run"].replace("/etc/bronzehub/local.toml", path).split(" ")
        if not os.path.exists(os.path.join(ROOT, command[0])):
            raise FileNotFoundError(f"{command[0]} is not built")
        log = open(os.path.join(self.folder.name, "log"), "a")
        self.process = subprocess.Popen(
            command,
            cwd=ROOT,
            stdout=log,
            stderr=log,
            env={
                "PATH": os.environ.get("PATH", ""),
                "HOME": self.folder.name,
                "LANG": "C.UTF-8",
                "BRONZEHUB_NODE_FILE": path,
            },
        )
        log.close()
        self.record.add("start", self.name, f"pid={self.process.pid}")

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def rss_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status") as status:
                for line in status:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    async def enforce_memory_limit(self):
        """Kills the process once it exceeds `memory-mb`, as the pages say."""
        while True:
            if self.is_running():
                rss = self.rss_mb()
                self.peak_rss_mb = max(self.peak_rss_mb, rss)
                if rss > self.memory_mb:
                    self.process.send_signal(signal.SIGKILL)
                    self.process.wait()
                    self.ends.append((self.record.now(), rss))
                    self.record.add(
                        "end", self.name, f"rss={rss:.0f} MB exceeds memory-mb={self.memory_mb}"
                    )
                    await asyncio.sleep(0.5)
                    self.start()
            await asyncio.sleep(0.005)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(*self.ready)
            writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: ready\r\n\r\n")
            line, _ = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return line.split(" ")[1] == "200"
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False

    async def wait_until_ready(self, timeout_s=15):
        deadline = time.monotonic() + timeout_s
        while not await self.is_ready():
            if time.monotonic() > deadline:
                raise TimeoutError(f"{self.name} is not ready after {timeout_s} s")
            await asyncio.sleep(0.1)

    def send_signal(self, number):
        if self.is_running():
            self.process.send_signal(number)

    def stop(self):
        if self.is_running():
            self.process.kill()
        if self.process:
            self.process.wait()
        self.folder.cleanup()


def run_script(main, record_path):
    """Runs `main(record)`, which returns whether the rule held; exits."""
    record = Record(record_path)
    try:
        held = asyncio.run(main(record))
    except Exception as error:  # The case could not run; say why.
        record.add("could not run:", type(error).__name__, error)
        print(f"could not run: {type(error).__name__}: {error}")
        sys.exit(EXIT_COULD_NOT_RUN)
    record.add("the rule held" if held else "the rule was broken")
    print("the rule held" if held else "the rule was broken")
    sys.exit(EXIT_HELD if held else EXIT_BROKEN)
