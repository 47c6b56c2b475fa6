"""What the tests of an entry daemon as a separate process share.

Each test program is run by CTest: <program> <path of bronzehub-entryd>
[~CASE...]. `~CASE` leaves a case out.
"""

import asyncio
import json
import os
import socket
import subprocess
import sys
import tempfile
import time
import unittest

from platform_standin import (
    REQUEST_ID,
    Replica,
    Store,
    configuration,
    read_message,
    route,
)

PROGRAM = ""
# Words before the program's path, for a tool that runs it.
PREFIX = []

ROUTES = [
    route("/read/", "idempotent"),
    route("/pay/", "non_idempotent"),
    route("/open/", "idempotent", public=True),
    route("/chat/", "streaming", "model", max_attempts=1, session_affinity=True),
    route("/plan/", "streaming", "model", session_affinity=True, stream_resumption=True),
    route(
        "/long/",
        "streaming",
        "model",
        max_attempts=3,
        session_affinity=True,
        stream_resumption=True,
    ),
    route("/slow/", "non_idempotent", timeout_ms=300),
]


def command():
    """The words that start the program under test."""
    return PREFIX + [PROGRAM]


def reserve_ports(count):
    """Sockets whose ports no other process is given while they are open.

    A daemon can listen on them all the same: Linux lets two sockets have one
    address when both allow its reuse and at most one listens.
    """
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        each.bind(("127.0.0.1", 0))
    return sockets


class Daemon:
    """One process of the program under test."""

    def __init__(self, store, name="host-1", **bounds):
        self.reserved = reserve_ports(4)
        self.callers, self.ready, self.operators, self.peers = (
            each.getsockname()[1] for each in self.reserved
        )
        self.settings = tempfile.NamedTemporaryFile("w", suffix=".json")
        json.dump(
            {
                "host": {"name": name, "failure_domain": "a"},
                "listeners": {
                    "callers": f"127.0.0.1:{self.callers}",
                    "readiness": f"127.0.0.1:{self.ready}",
                    "operators": f"127.0.0.1:{self.operators}",
                    "peers": f"127.0.0.1:{self.peers}",
                },
                "store": {"address": f"127.0.0.1:{store.port}"},
                "bounds": {
                    "revocation_ms": 3000,
                    "retry_ratio": 0.5,
                    "retry_extra": 100,
                    **bounds,
                },
                "limits": {"descriptors": 100},
            },
            self.settings,
        )
        self.settings.flush()
        self.log = tempfile.TemporaryFile("w+")
        self.process = subprocess.Popen(
            command() + ["--settings", self.settings.name],
            stdout=self.log,
            stderr=subprocess.STDOUT,
        )

    def resident_peak(self):
        """The largest resident memory so far, in bytes."""
        with open(f"/proc/{self.process.pid}/status") as status:
            for line in status:
                if line.startswith("VmHWM:"):
                    return int(line.split()[1]) * 1024
        raise AssertionError("no VmHWM")

    def lines(self):
        self.log.seek(0)
        return [json.loads(line) for line in self.log if line.startswith("{")]

    def stop(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.settings.close()
        self.log.close()
        for each in self.reserved:
            each.close()


async def send(port, path, method="GET", key="key-1", body=b"", request_id="r-1", **other):
    """Sends one request on a new connection; returns the open connection."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    headers = {
        "Host": "h.example",
        REQUEST_ID: request_id,
        "Bronzehub-Deadline-Ms": "2500",
        "Content-Length": str(len(body)),
    }
    if key:
        headers["Api-Key"] = key
    headers.update({name.replace("_", "-"): value for name, value in other.items()})
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
    return reader, writer


async def ask(port, path, **options):
    """Sends one request; returns (status, headers, body)."""
    reader, writer = await send(port, path, **options)
    try:
        line, headers, body = await asyncio.wait_for(read_message(reader), 10)
    finally:
        writer.close()
    return int(line.split(" ")[1]), headers, body


async def eventually(check, seconds=3.0):
    """Waits until `check` holds; returns how long that took."""
    began = time.monotonic()
    while not await check():
        if time.monotonic() - began > seconds:
            raise AssertionError(f"did not come true within {seconds} s")
        await asyncio.sleep(0.02)
    return time.monotonic() - began


class EntryPathCase(unittest.IsolatedAsyncioTestCase):
    """A daemon with two plain servers, two engines and a store."""

    async def asyncSetUp(self):
        self.store = Store()
        await self.store.start()
        self.plain = [Replica(self.store, f"p-{i}", "plain") for i in range(2)]
        self.model = [Replica(self.store, f"m-{i}", "model") for i in range(2)]
        for replica in self.plain + self.model:
            await replica.start()
        for replica in self.model:
            replica.act = "stream"
        self.store.write_json("op", "config", configuration(1, ROUTES))
        self.daemon = Daemon(self.store)
        await eventually(self.is_ready, 8)

    async def asyncTearDown(self):
        self.daemon.stop()
        for listener in self.plain + self.model + [self.store]:
            await listener.stop()

    async def is_ready(self, daemon=None):
        try:
            status, _, _ = await ask((daemon or self.daemon).ready, "/api/readiness")
            return status == 200
        except (OSError, asyncio.IncompleteReadError):
            return False

    def ask(self, path, **options):
        return ask(self.daemon.callers, path, **options)

    def set_all(self, replicas, act):
        for replica in replicas:
            replica.act = act

    def runs(self, replicas):
        return [run for replica in replicas for run in replica.runs]

    async def has_ended(self):
        return self.daemon.process.poll() is not None


class CaseLoader(unittest.TestLoader):
    """Finds all cases but some. A case that is asked for by name is run."""

    def __init__(self, left_out):
        super().__init__()
        self.left_out = left_out

    def getTestCaseNames(self, testCaseClass):
        return [
            name
            for name in super().getTestCaseNames(testCaseClass)
            if f"{testCaseClass.__name__}.{name}" not in self.left_out
        ]


def run_cases():
    """Runs the cases of the main module."""
    global PROGRAM
    PROGRAM = os.path.abspath(sys.argv.pop(1))
    excluded = {word[1:] for word in sys.argv[1:] if word.startswith("~")}
    main_module = sys.modules["__main__"]
    for case in excluded:
        owner, _, name = case.partition(".")
        if not hasattr(getattr(main_module, owner, None), name):
            sys.exit(f"found {case} to leave out, expected a case of this program")
    names = [word for word in sys.argv if not word.startswith("~")]
    unittest.main(argv=names, verbosity=1, testLoader=CaseLoader(excluded))
