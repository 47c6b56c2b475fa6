"""A randomized fault soak of entry daemons as separate processes.

soak.py <bronzehub-entryd> [--seed N] [--seconds S] [--hosts H] [--known-red]

Daemons serve callers while faults come from outside them: loopback proxies
delay, reset, silence or cut the connections to backend servers and to the
store; daemons are stopped, killed, paused and started again; servers break
their answers, leave and come back; streams break off and the server that is
to resume them answers in every way; keys are taken away. Some callers read
slowly, some send several requests on a connection. Faults are drawn from the
seed, overlap and come in series. Promises are checked from what callers and
backend servers see. Prints one JSON line a count; exits non-zero when a
promise was broken.

A seed that KNOWN-RED.txt lists as "soak: seed N" is printed and left out,
unless --known-red asks for it.
"""

import argparse
import asyncio
import json
import os
import pathlib
import random
import re
import signal
import socket
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "entry_path"))

import entry_path_fixture  # noqa: E402
from entry_path_fixture import Daemon, send  # noqa: E402
from platform_standin import (  # noqa: E402
    EVENT_BYTES,
    REQUEST_ID,
    SIGNATURE,
    Listener,
    Replica,
    Store,
    configuration,
    read_message,
    route,
)

KEYS = ["key-1", "key-2"]
ROUTES = [
    route("/read/", "idempotent"),
    route("/pay/", "non_idempotent"),
    route("/open/", "idempotent", public=True),
    route("/chat/", "streaming", "model", max_attempts=1, session_affinity=True),
    route(
        "/plan/",
        "streaming",
        "model",
        max_attempts=3,
        session_affinity=True,
        stream_resumption=True,
    ),
]
MOST_RUNS = {each["path-prefix"]: each["max-attempts"] for each in ROUTES}
STREAMS = ("/chat/", "/plan/")
EVENTS = 8
# What a model server does that fails. Streams break off within or between
# events, by the end or a reset of the connection.
STREAM_FAULTS = [
    "drop",
    "reset",
    "garbage",
    "truncate",
    "unsigned",
    "shed",
    "limited",
    "misdirected",
    "error 400",
    "error 500",
    "error 502",
    "error 504",
    "error_without_length",
    "stream_extra",
    "stream_cut",
    "stream_cut 5",
    "stream_cut 0 close",
    "stream_cut 4 close",
    "stream_cut 3 reset",
]
# How a server answers that is to resume a stream: also in ways that would not
# be a failure in answer to a new request. Half of the answers are good.
RESUMED_FAULTS = STREAM_FAULTS + [
    "error 401",
    "error 404",
    "error 429",
    "error 503",
    "empty 200",
    "empty 204",
    "stream_gap",
    "answer",
    "wait",
]
RESUMED_GOOD = ["stream", f"stream_from_start {EVENTS}"]
# A key that was taken away this long ago must not work: the bound in the
# daemons' settings.
REVOCATION_S = 3.0
# Longest time without a usable answer once nothing is disturbed any more.
RECOVERY_S = 12.0


class Proxy(Listener):
    """Forwards to a port, in one of the modes ok, delay, reset, silent, cut."""

    def __init__(self, target):
        super().__init__()
        self.target = target
        self.mode = "ok"

    async def serve(self, reader, writer):
        if self.mode == "reset":
            writer.transport.abort()
            return
        there, back = await asyncio.open_connection("127.0.0.1", self.target)
        try:
            await asyncio.gather(
                self.pump(reader, back, True), self.pump(there, writer, False)
            )
        finally:
            back.close()

    async def pump(self, source, sink, forward):
        while data := await source.read(65536):
            # `cut` loses one direction only.
            while self.mode == "silent" or (self.mode == "cut" and not forward):
                await asyncio.sleep(0.05)
            if self.mode == "delay":
                await asyncio.sleep(0.15)
            if self.mode == "reset":
                sink.transport.abort()
                raise ConnectionResetError
            sink.write(data)
            await sink.drain()
        sink.close()


def stream_events(body):
    """The (id, server) of each whole event, and whether that was all of `body`."""
    *events, rest = body.decode().split("\n\n")
    form = re.compile(r"id: (\d+)\ndata: \1\.(m-\d)x*")
    found = [form.fullmatch(each) for each in events]
    good = [(int(each[1]), each[2]) for each in found if each]
    return good, len(good) == len(events) and not rest


class Soak:
    def __init__(self, seed, hosts):
        self.seed = seed
        self.host_count = hosts
        self.store = Store()
        self.servers = []
        self.proxies = []
        self.daemons = []
        self.paused = set()
        self.taken_at = {}
        self.version = 1
        self.answers = {}
        self.violations = []
        self.log = []
        self.counts = {"resumptions": 0, "resumed streams that are whole": 0}

    # Each caller and fault draws by itself, so that what one draws does not
    # depend on the timing of the others.
    def random_of(self, what):
        return random.Random(f"{self.seed} {what}")

    def violate(self, request_id, what):
        acts = sorted(
            (at, f"{server.name} {act}{' (resumed)' if resumed else ''}")
            for server in self.servers
            for at, each, resumed, act in server.acts
            if each == request_id
        )
        servers = ", ".join(text for _, text in acts)
        self.violations.append(f"{request_id}: {what}; servers: {servers}")

    def count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1

    async def start(self):
        await self.store.start()
        self.store_proxy = Proxy(self.store.port)
        await self.store_proxy.start()
        for name, service, act in [
            ("p-0", "plain", "answer"),
            ("p-1", "plain", "answer"),
            ("p-2", "plain", "answer"),
            ("m-0", "model", "stream"),
            ("m-1", "model", "stream"),
            ("m-2", "model", "stream"),
        ]:
            server = Replica(self.store, name, service)
            server.usual = act
            server.act = act
            server.events = EVENTS
            await Listener.start(server)
            proxy = Proxy(server.port)
            await proxy.start()
            server.port = proxy.port
            server.register("available")
            self.servers.append(server)
            self.proxies.append(proxy)
        self.write_configuration()
        for number in range(self.host_count):
            self.daemons.append(self.start_daemon(number))

    def start_daemon(self, number):
        class StoreAddress:
            port = self.store_proxy.port

        return Daemon(StoreAddress, f"host-{number}")

    def write_configuration(self):
        keys = [key for key in KEYS if key not in self.taken_at]
        self.store.write_json(
            "op", "config", configuration(self.version, ROUTES, keys)
        )
        self.version += 1

    def stop_daemon(self, daemon):
        if daemon.process.poll() is None:
            daemon.process.kill()
        daemon.process.wait()
        daemon.log.seek(0)
        self.log += [line.rstrip() for line in daemon.log]
        daemon.stop()

    async def stop(self):
        for daemon in self.daemons:
            self.stop_daemon(daemon)
        for listener in self.servers + self.proxies + [self.store_proxy, self.store]:
            await listener.stop()

    # Callers.

    async def connect(self, daemon, slow):
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection("127.0.0.1", daemon.callers), 2
        )
        if slow:
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, 16384
            )
        return reader, writer

    async def call(self, number):
        """One caller: some read slowly, some keep their connection."""
        source = self.random_of(f"caller {number}")
        slow = source.random() < 0.1
        requests = source.randint(2, 6) if source.random() < 0.2 else 1
        daemon = self.daemons[source.randrange(self.host_count)]
        try:
            connection = await self.connect(daemon, slow)
        except (OSError, asyncio.TimeoutError):
            self.count("no connection")
            return
        for index in range(requests):
            if index:
                await asyncio.sleep(source.uniform(0, 0.3))
                self.count("requests on kept connections")
            if not await self.ask(f"q-{number}-{index}", source, connection, slow):
                break
        connection[1].close()

    async def ask(self, request_id, source, connection, slow):
        """Sends a request and checks the answer; whether another may follow."""
        reader, writer = connection
        path = source.choice([*MOST_RUNS, "/plan/"])
        key = source.choice([KEYS[0], *KEYS])
        headers = {
            "Host": "h.example",
            REQUEST_ID: request_id,
            "Bronzehub-Deadline-Ms": 2500,
            "Content-Length": 0,
            "Api-Key": key,
            EVENT_BYTES: 60000 if slow else 0,
        }
        method = "GET" if path in ("/read/", "/open/") else "POST"
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        sent_at = time.monotonic()
        status, again = None, False
        body = bytearray()
        try:
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            line, answer, _ = await asyncio.wait_for(
                read_message(reader, body, 0.1 if slow else 0), 4
            )
            status = int(line.split(" ")[1])
            again = answer.get("connection") != "close"
            self.check_answer(path, request_id, status, answer, bytes(body))
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            self.count("cut")
            self.check_part(request_id, bytes(body))
        except (ValueError, asyncio.LimitOverrunError) as error:
            self.violate(request_id, f"no response: {error}")
        self.answers[request_id] = (path, key, sent_at, status)
        self.count(f"status {status}" + (", read slowly" if slow else ""))
        return again

    def check_answer(self, path, request_id, status, headers, body):
        if headers.get(REQUEST_ID.lower(), request_id) != request_id:
            self.violate(request_id, f"answer to {headers[REQUEST_ID.lower()]}")
        if status == 503 and "retry-after" not in headers:
            self.violate(request_id, "503 without Retry-After")
        if status != 200:
            return
        if SIGNATURE.lower() not in headers:
            self.violate(request_id, "success without a signature")
        if path not in STREAMS:
            if body != b"whole":
                self.violate(request_id, f"body {body!r}")
            return
        events, whole = stream_events(body)
        ids = [number for number, _ in events]
        if not whole or ids != list(range(1, EVENTS + 1)):
            self.violate(request_id, f"framed as complete with events {ids}")
        elif len({server for _, server in events}) > 1:
            self.count("resumed streams that are whole")

    def check_part(self, request_id, body):
        ids = [number for number, _ in stream_events(body)[0]]
        if ids != list(range(1, len(ids) + 1)):
            self.violate(request_id, f"cut with events {ids}")

    async def callers(self, until):
        source = self.random_of("callers")
        tasks = []
        while time.monotonic() < until:
            tasks.append(asyncio.create_task(self.call(len(tasks))))
            await asyncio.sleep(source.uniform(0.005, 0.03))
        await asyncio.gather(*tasks)

    # Faults. Each lasts a while and undoes itself.

    async def fault_server(self, source):
        server = source.choice(self.servers)
        acts = ["drop", "truncate", "garbage", "unsigned", "shed", "error", "extra"]
        server.act = source.choice(STREAM_FAULTS if server.usual == "stream" else acts)
        await asyncio.sleep(source.uniform(0.3, 2))
        server.act = server.usual

    async def fault_resumption(self, source):
        """Streams break off; whoever is to resume them answers in every way."""
        cutter, *others = source.sample(
            [server for server in self.servers if server.usual == "stream"], 3
        )
        cutter.act = source.choice([act for act in STREAM_FAULTS if "cut" in act])
        for server in others:
            server.choose_resumed_act = lambda: source.choice(
                RESUMED_GOOD if source.random() < 0.5 else RESUMED_FAULTS
            )
        await asyncio.sleep(source.uniform(0.5, 2))
        cutter.act = cutter.usual
        for server in others:
            server.choose_resumed_act = lambda: None

    async def fault_link(self, source):
        proxy = source.choice(self.proxies)
        proxy.mode = source.choice(["delay", "reset", "silent", "cut"])
        await asyncio.sleep(source.uniform(0.2, 2))
        proxy.mode = "ok"

    async def fault_store(self, source):
        if source.random() < 0.5:
            self.store.fault = source.choice(["refuse", "rate", "compact"])
        else:
            self.store_proxy.mode = source.choice(
                ["delay", "reset", "silent", "cut"]
            )
        await asyncio.sleep(source.uniform(0.3, 4))
        self.store.fault = ""
        self.store_proxy.mode = "ok"

    async def fault_daemon(self, source):
        number = source.randrange(self.host_count)
        daemon = self.daemons[number]
        if number in self.paused or daemon.process.poll() is not None:
            return
        self.paused.add(number)
        how = source.choice(["kill", "stop", "pause"])
        if how == "pause":
            daemon.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(source.uniform(0.2, 5))
            daemon.process.send_signal(signal.SIGCONT)
        else:
            daemon.process.send_signal(
                signal.SIGKILL if how == "kill" else signal.SIGTERM
            )
            while daemon.process.poll() is None:
                await asyncio.sleep(0.05)
            if how == "stop" and daemon.process.returncode != 0:
                self.violations.append(f"exit code {daemon.process.returncode}")
            await asyncio.sleep(source.uniform(0, 1))
            self.stop_daemon(daemon)
            self.daemons[number] = self.start_daemon(number)
        self.paused.discard(number)

    async def fault_leaving(self, source):
        server = source.choice(self.servers)
        server.register("draining")
        await asyncio.sleep(source.uniform(1, 3))
        server.register("available")

    async def fault_key(self, _source):
        if KEYS[1] in self.taken_at:
            return
        self.taken_at[KEYS[1]] = time.monotonic()
        self.write_configuration()

    async def faults(self, until):
        kinds = [
            self.fault_server,
            self.fault_resumption,
            self.fault_link,
            self.fault_store,
            self.fault_daemon,
            self.fault_leaving,
        ]
        source = self.random_of("faults")
        tasks = []
        if source.random() < 0.5:
            tasks.append(asyncio.create_task(self.fault_key(source)))
        coming = []
        while time.monotonic() < until:
            # In rounds, so that a short run has every kind.
            coming = coming or source.sample(kinds, len(kinds))
            kind = coming.pop()
            self.count(kind.__name__)
            drawn = self.random_of(f"fault {len(tasks)}")
            tasks.append(asyncio.create_task(kind(drawn)))
            await asyncio.sleep(source.uniform(0.1, 0.8))
        await asyncio.gather(*tasks)

    # Promises.

    def check_runs(self):
        runs = {}
        for server in self.servers:
            for request_id, _, _, _ in server.runs:
                runs[request_id] = runs.get(request_id, 0) + 1
            for _, _, resumed, act in server.acts:
                if resumed:
                    self.count("resumptions")
                    self.count(f"resumed: {act}")
        for request_id, count in runs.items():
            if request_id not in self.answers:
                continue
            path, key, sent_at, status = self.answers[request_id]
            if count > MOST_RUNS[path] or (path == "/pay/" and count > 1):
                self.violate(request_id, f"ran {count} times")
            if path in ("/pay/", "/chat/") and status == 503:
                self.violate(request_id, "refused and ran")
            taken_at = self.taken_at.get(key)
            if (
                path != "/open/"
                and taken_at is not None
                and sent_at > taken_at + REVOCATION_S
            ):
                self.violate(request_id, "ran with a key taken away")

    async def recover(self):
        began = time.monotonic()
        for daemon in list(self.daemons):
            while True:
                try:
                    reader, writer = await send(daemon.callers, "/open/", key="")
                    line, _, _ = await asyncio.wait_for(read_message(reader), 2)
                    writer.close()
                    if " 200 " in line:
                        break
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                    pass
                if time.monotonic() - began > RECOVERY_S:
                    daemon.log.seek(0)
                    last = (daemon.log.readlines() or ["nothing"])[-1].rstrip()
                    self.violations.append(f"a host does not serve; last log: {last}")
                    return
                await asyncio.sleep(0.1)


async def run(seed, seconds, hosts):
    soak = Soak(seed, hosts)
    await soak.start()
    try:
        await soak.recover()
        until = time.monotonic() + seconds
        await asyncio.gather(soak.callers(until), soak.faults(until - 1))
        await soak.recover()
        soak.check_runs()
    finally:
        await soak.stop()
    for what, number in sorted(soak.counts.items()):
        print(json.dumps({"seed": seed, "what": what, "count": number}))
    for violation in soak.violations:
        print(json.dumps({"seed": seed, "violation": violation}))
        request_id = violation.split(":")[0]
        for line in soak.log:
            if f'"{request_id}"' in line:
                print(line)
    print(json.dumps({"seed": seed, "violations": len(soak.violations)}))
    return not soak.violations


def known_red(seed):
    """The line of KNOWN-RED.txt for this seed, or None."""
    path = pathlib.Path(__file__).parents[2] / "KNOWN-RED.txt"
    for line in path.read_text().splitlines():
        if line.split("|")[0].strip() == f"soak: seed {seed}":
            return line
    return None


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("program")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--hosts", type=int, default=3)
    parser.add_argument("--known-red", action="store_true")
    arguments = parser.parse_args()
    listed = known_red(arguments.seed)
    if listed and not arguments.known_red:
        print(f"known red, left out: {listed}")
        return
    entry_path_fixture.PROGRAM = os.path.abspath(arguments.program)
    good = asyncio.run(run(arguments.seed, arguments.seconds, arguments.hosts))
    sys.exit(0 if good else 1)


if __name__ == "__main__":
    main()
