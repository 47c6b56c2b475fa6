"""Stand-ins and helpers of the scripts in `review/11` to `review/15`.

The daemons are the program of the deploy file, one process each. This module
stands in for the platform (its row store and its balancer's view of
readiness), for the backend servers and for the callers, as the users' pages
describe them. All of it listens on loopback addresses and runs on one asyncio
event loop.
"""

import asyncio
import base64
import json
import os
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

HERE = os.path.dirname(os.path.abspath(__file__))
REPOSITORY = os.path.dirname(HERE)
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

# Bounds and limits of a small deployment, under the names of the settings
# template. Times in ms.
BOUNDS = {
    "revocation_ms": 5000,
    "drain_ms": 3000,
    "configuration_ms": 3000,
    "grace_period_ms": 8000,
    "delivery_ms": 200,
    "retry_ratio": 0.2,
    "retry_extra": 56,
    "retry_window_ms": 10000,
}
LIMITS = {"descriptors": 4100, "memory_mb": 260}


class Record:
    """Lines of `record.txt`: what was sent, answered and run, by time."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.started_at = time.monotonic()

    def now(self):
        return time.monotonic() - self.started_at

    def write(self, *words):
        print(f"{self.now():8.3f}", *words, file=self.file, flush=True)

    def say(self, *words):
        self.write(*words)
        print(f"{self.now():8.3f}", *words, flush=True)


async def read_message(reader):
    """Reads one request or response: (start line, headers, body)."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding") == "chunked":
        while True:
            line = await reader.readline()
            if not line.endswith(b"\n"):
                raise asyncio.IncompleteReadError(line, None)
            size = int(line, 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


def response(status, headers=None, body=b""):
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Listener:
    """A TCP server on loopback; a stop closes its connections."""

    def __init__(self, address="127.0.0.1"):
        self.address = address
        self.port = 0
        self.server = None
        self.tasks = set()

    @property
    def endpoint(self):
        return f"{self.address}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(
            self.accept, self.address, self.port, limit=2**22
        )
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
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class Store:
    """The rows of the platform's store, with one version for all tables."""

    ANSWER_S = 0.004
    HISTORY_S = 20

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.history = []  # (time, table, key, value or None, version)
        self.version = 100
        self.era = 1
        self.changed = asyncio.Event()
        # Copies of the rows: (time, version, rows).
        self.copies = []

    def write(self, table, key, value):
        """Writes or, with None, drops a row; returns its version."""
        self.version += 1
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[(table, key)] = (value, self.version)
        self.history.append((time.monotonic(), table, key, value, self.version))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return self.version

    def write_json(self, table, key, value):
        return self.write(table, key, json.dumps(value).encode())

    def take_copy(self):
        self.copies.append((time.monotonic(), self.version, dict(self.rows)))

    def restore(self, age_s):
        """Goes back to the newest copy that is at least so old."""
        wanted = time.monotonic() - age_s
        copies = [copy for copy in self.copies if copy[0] <= wanted]
        _, self.version, rows = copies[-1]
        self.rows = dict(rows)
        self.history = [entry for entry in self.history if entry[4] <= self.version]
        self.copies = copies
        self.era += 1

    def oldest_version(self):
        """Version from which on all changes are known."""
        limit = time.monotonic() - self.HISTORY_S
        while self.history and self.history[0][0] < limit:
            self.forgotten = self.history.pop(0)[4]
        return getattr(self, "forgotten", 0)

    @staticmethod
    def encode_row(table, key, value, version):
        row = {"table-name": table, "part": "", "key": key, "row-version": version}
        if value is None:
            return {**row, "deleted": True}
        return {**row, "value": base64.b64encode(value).decode()}

    def changes(self, table, after):
        newest = {}
        for _, row_table, key, value, version in self.history:
            if row_table == table and version > after:
                newest[key] = (value, version)
        return [
            self.encode_row(table, key, value, version)
            for key, (value, version) in sorted(newest.items(), key=lambda item: item[1][1])
        ]

    def answer(self, status, result=None):
        headers = {"Content-Type": "application/json", "Store-Era": self.era}
        if status != 200:
            return response(status, headers)
        result = result or {}
        result["row-version"] = self.version
        result["current-time-ms"] = int(time.monotonic() * 1000)
        return response(200, headers, json.dumps(result).encode())

    async def respond(self, line, body):
        method, target, _ = line.split(" ")
        await asyncio.sleep(self.ANSWER_S)
        parts = urlsplit(target)
        query = {
            name: values[0]
            for name, values in parse_qs(parts.query, keep_blank_values=True).items()
        }
        if parts.path == "/api/rows-get":
            rows = [
                self.encode_row(table, key, value, version)
                for (table, key), (value, version) in sorted(self.rows.items())
                if table == query["table-name"] and key >= query.get("from", "")
            ]
            limit = min(int(query.get("result-limit", 500)), 500)
            return self.answer(200, {"rows": rows[:limit], "has-more": len(rows) > limit})
        if parts.path == "/api/rows-feed":
            after = int(query["after"])
            era = self.era
            deadline = time.monotonic() + int(query["wait-ms"]) / 1000
            while True:
                if after > self.version or after < self.oldest_version() or era != self.era:
                    return self.answer(410)
                rows = self.changes(query["table-name"], after)
                left = deadline - time.monotonic()
                if rows or left <= 0:
                    return self.answer(200, {"rows": rows, "has-more": False})
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if method == "POST" and parts.path == "/api/rows-tx":
            entries = json.loads(body)
            for row in entries["write"]:
                if row["table-name"] in ("op", "servers"):
                    return self.answer(403)
            for row in entries["write"]:
                self.write(row["table-name"], row["key"], base64.b64decode(row["value"]))
            return self.answer(200)
        return self.answer(404)


class StoreAddress(Listener):
    """The store's address as some machines see it."""

    def __init__(self, store, address="127.0.0.1"):
        super().__init__(address)
        self.store = store
        # Whether calls are turned away with 503, which means that nothing was
        # done.
        self.turns_away = False

    async def serve(self, reader, writer):
        while True:
            line, _, body = await read_message(reader)
            # A call that waits is turned away when the refusals begin.
            answer = asyncio.ensure_future(self.store.respond(line, body))
            while not answer.done():
                await asyncio.wait([answer], timeout=0.02)
                if self.turns_away and not answer.done():
                    answer.cancel()
                    break
            if self.turns_away:
                writer.write(self.store.answer(503))
            else:
                writer.write(answer.result())
            await writer.drain()


class Replica(Listener):
    """A backend server of a plain service: registers, runs, answers."""

    HEARTBEAT_S = 1.2
    WORK_S = 0.015

    def __init__(self, store, record, name, service, zone):
        super().__init__()
        self.store, self.record = store, record
        self.name, self.service, self.zone = name, service, zone
        self.sequence = 0
        self.state = "available"
        self.born = int(time.time() * 1000)
        self.runs = []  # (time, request id, path)
        self.heart = None

    async def start(self):
        await super().start()
        self.register()
        self.heart = asyncio.ensure_future(self.beat())

    def register(self):
        self.sequence += 1
        self.store.write_json(
            "servers",
            self.name,
            {
                "service": self.service,
                "address": self.endpoint,
                "availability-zone": self.zone,
                "version": "v1",
                "capacity-slots": 6,
                "state": self.state,
                "cold-remaining-ms": 0,
                "sequence": self.sequence,
                "born": self.born,
            },
        )

    async def beat(self):
        while True:
            await asyncio.sleep(self.HEARTBEAT_S)
            if getattr(self.store, "is_up", True):
                self.register()

    async def stop(self):
        if self.heart:
            self.heart.cancel()
        await super().stop()

    async def serve(self, reader, writer):
        while True:
            line, headers, _ = await read_message(reader)
            request_id = headers.get("bronzehub-attempt-id", "")
            path = line.split(" ")[1]
            if headers.get("bronzehub-expected-replica") not in (None, self.name):
                writer.write(
                    response(421, {"Bronzehub-Attempt-Id": request_id,
                                   "Bronzehub-Replica-Id": self.name})
                )
                await writer.drain()
                continue
            self.runs.append((self.record.now(), request_id, path))
            self.record.write("run", request_id, path, "at", self.name, "of", self.service)
            await asyncio.sleep(self.WORK_S)
            writer.write(
                response(
                    200,
                    {
                        "Bronzehub-Attempt-Id": request_id,
                        "Bronzehub-Replica-Signature": self.name,
                    },
                    f"{path} done by {self.service}".encode(),
                )
            )
            await writer.drain()


def route(prefix, kind, service, **extra):
    """Returns a route; `_` in a name of `extra` stands for `-`."""
    result = {
        "name": prefix,
        "hostname": "h.example",
        "path-prefix": prefix,
        "route-kind": kind,
        "timeout-ms": 1500,
        "target-latency-ms": 150,
        "priority-level": 1,
        "service": service,
        "max-attempts": 2,
        "public": False,
    }
    result.update({name.replace("_", "-"): value for name, value in extra.items()})
    return result


def configuration(version, routes, services):
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": name, "connection-limit": 100} for name in services],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 5000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [{"name": "org-1", "api-keys": ["key-1"]}],
    }


class Host:
    """One entry host: a process of the deploy file's line `run`."""

    def __init__(self, record, store_endpoint, name, zone, address, **bounds):
        self.record, self.name, self.zone, self.address = record, name, zone, address
        self.ports = {}
        self.settings = {
            "host": {"name": name, "failure_domain": zone},
            "listeners": {},
            "store": {"address": store_endpoint},
            "bounds": {**BOUNDS, **bounds},
            "limits": LIMITS,
        }
        self.process = None

    def start(self):
        if not self.ports:
            held = []
            for purpose in ("callers", "readiness", "operators", "peers"):
                sock = socket.socket()
                sock.bind((self.address, 0))
                held.append(sock)
                self.ports[purpose] = sock.getsockname()[1]
            for sock in held:
                sock.close()
        self.settings["listeners"] = {
            purpose: f"{self.address}:{port}" for purpose, port in self.ports.items()
        }
        self.folder = tempfile.TemporaryDirectory()
        path = os.path.join(self.folder.name, "local.json")
        with open(path, "w") as file:
            json.dump(self.settings, file)
        self.log = open(os.path.join(self.folder.name, "log"), "w+")
        self.process = subprocess.Popen(
            [*run_command(), "--settings", path],
            cwd=REPOSITORY,
            stdout=self.log,
            stderr=subprocess.STDOUT,
        )
        self.record.write("started", self.name)

    def signal(self, number):
        self.record.write("signal", signal.Signals(number).name, self.name)
        self.process.send_signal(number)

    def log_lines(self):
        self.log.flush()
        with open(self.log.name) as file:
            return file.read().splitlines()

    def stop(self):
        if self.process is None:
            return
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()
        self.folder.cleanup()
        self.process = None

    async def is_ready(self):
        try:
            status, _, _ = await fetch(
                self.address, self.ports["readiness"], "/api/readiness", key=None
            )
            return status == 200
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False


def run_command():
    """The program of the deploy file's line `run`."""
    with open(os.path.join(REPOSITORY, "deploy", "system.toml")) as file:
        for line in file:
            if line.startswith("run = "):
                return [os.path.join(REPOSITORY, shlex.split(line)[2].split(" ")[0])]
    raise FileNotFoundError("deploy/system.toml has no line `run`")


def encode_request(path, request_id, method="GET", key="key-1", body=b"", deadline_ms=1500, **extra):
    headers = {
        "Host": "h.example",
        "Bronzehub-Attempt-Id": request_id,
        "Bronzehub-Deadline-Ms": deadline_ms,
    }
    if method != "GET":
        headers["Content-Length"] = len(body)
    if key:
        headers["Api-Key"] = key
    headers.update({name.replace("_", "-"): value for name, value in extra.items()})
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def fetch(address, port, path, request_id="r-0", **options):
    """Sends a request on a new connection: (status, headers, body)."""
    reader, writer = await asyncio.wait_for(asyncio.open_connection(address, port), 1)
    try:
        writer.write(encode_request(path, request_id, **options))
        line, headers, body = await asyncio.wait_for(read_message(reader), 4)
    finally:
        writer.close()
    return int(line.split(" ")[1]), headers, body


class Caller:
    """Sends requests to a host and records the answers."""

    def __init__(self, record, name):
        self.record, self.name = record, name
        self.count = 0
        self.sent = {}  # request id: (time, host, path)
        self.answers = {}  # request id: status, or the failure

    async def call(self, host, path, **options):
        self.count += 1
        request_id = f"{self.name}-{self.count}"
        self.sent[request_id] = (self.record.now(), host.name, path)
        self.record.write("sent", request_id, path, "to", host.name)
        try:
            status, _, body = await fetch(
                host.address, host.ports["callers"], path, request_id, **options
            )
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as failure:
            status, body = type(failure).__name__, b""
        self.answers[request_id] = status
        self.record.write("answered", request_id, status, body[:60].decode("latin-1"))
        return status

    async def keep_calling(self, host, paths, interval_s, until, **options):
        """Calls each path in turn until the record's time `until`."""
        calls = []
        index = 0
        while self.record.now() < until:
            calls.append(
                asyncio.ensure_future(self.call(host, paths[index % len(paths)], **options))
            )
            index += 1
            await asyncio.sleep(interval_s)
        await asyncio.gather(*calls)


async def wait_until(condition, timeout_s):
    deadline = time.monotonic() + timeout_s
    while not await condition():
        if time.monotonic() > deadline:
            return False
        await asyncio.sleep(0.05)
    return True


async def all_ready(hosts, timeout_s=10):
    async def ready():
        return all([await host.is_ready() for host in hosts])

    return await wait_until(ready, timeout_s)


def main(folder, scenario):
    """Runs `scenario(record, started)`; `started` collects what is to end."""
    record = Record(folder)
    started = []

    async def run():
        try:
            return await asyncio.wait_for(scenario(record, started), 110)
        finally:
            for each in reversed(started):
                result = each.stop()
                if asyncio.iscoroutine(result):
                    await result

    def on_terminate(*_):
        raise SystemExit(COULD_NOT_RUN)

    signal.signal(signal.SIGTERM, on_terminate)
    try:
        outcome = asyncio.run(run())
    except Exception as failure:  # Whatever it is, it shows nothing of the rule.
        record.say("could not run:", repr(failure))
        outcome = COULD_NOT_RUN
    record.say(
        {HELD: "the rule held", BROKEN: "the rule was broken",
         COULD_NOT_RUN: "the case could not run"}[outcome]
    )
    sys.exit(outcome)
