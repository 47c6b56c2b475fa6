"""A randomized fault soak of entry daemons as separate processes.

soak.py <bronzehub-entryd> [--seed N] [--seconds S] [--hosts H] [--known-red]

Daemons serve callers while faults are injected from outside: loopback proxies
delay, reset or stall the connections to backend servers and to the store, in
one direction or in both; daemons are stopped, killed, paused and started again;
servers send faulty responses, drain and come back; streams are interrupted and
the servers that should resume them respond in every way; servers fail requests that
they executed with the status of a rejection; routes and services are removed and come
back; keys are revoked. Some callers read slowly, some send several requests on a
connection. The seed
determines the faults, which overlap. The soak checks the guarantees of the
daemon against what callers and backend servers receive. It prints one JSON line
for each counter and exits with a non-zero status after a violation.

A seed that KNOWN-RED.txt lists as "soak: seed N" is printed and not run, unless
--known-red is given.
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
from entry_path_fixture import Daemon, send_request  # noqa: E402
from platform_standin import (  # noqa: E402
    EVENT_BYTES_HEADER,
    REQUEST_ID_HEADER,
    SIGNATURE_HEADER,
    Listener,
    BackendServer,
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
MAX_EXECUTIONS = {each["path-prefix"]: each["max-attempts"] for each in ROUTES}
STREAM_PATHS = ("/chat/", "/plan/")
EVENT_COUNT = 8
# Faulty behaviours of a model server. Streams are interrupted within or between
# events, by a close or a reset of the connection.
STREAM_FAULTS = [
    "drop",
    "reset",
    "garbage",
    "truncate",
    "unsigned",
    "shed",
    "rate_limited",
    "misdirected",
    "error 400",
    "error 500",
    "error 502",
    "error 504",
    "error_without_length",
    "stream_then_error",
    "stream_cut",
    "stream_cut 5",
    "stream_cut 0 close",
    "stream_cut 4 close",
    "stream_cut 3 reset",
]
# Faulty behaviours of a server that should resume a stream. Some of them would
# be valid for a new request. Half of the responses to resumptions are picked
# from RESUME_SUCCESSES instead.
RESUME_FAULTS = STREAM_FAULTS + [
    "error 401",
    "error 404",
    "error 429",
    "error 503",
    "empty 200",
    "empty 204",
    "stream_gap",
    "respond",
    "hang",
]
# Statuses that tell a caller that its request was not executed. A server that
# executed it may use them too, without the header that confirms them.
REFUSAL_STATUSES = [408, 429, 503]
RESUME_SUCCESSES = ["stream", f"stream_restart {EVENT_COUNT}"]
# A key must not work this long after its revocation: `revocation_ms` in the
# settings of the daemons.
REVOCATION_S = 3.0
# Segment that ends each model server that begins to write on it; some callers
# of every second seed send it. Later than WINDOW_S after the fifth end, few
# requests with it may reach a server: one more for each host that was disturbed.
CRASHING_SEGMENT = "bad1"
CRASHING_SHARE = 0.1
WINDOW_S = 3.0
CRASHES_BEFORE_WINDOW = 5
MAX_LATE_ARRIVALS = 3
# Longest time until each daemon serves requests again after the last fault.
RECOVERY_S = 12.0


class Proxy(Listener):
    """Forwards connections to a port and injects faults as its mode says.

    "ok": none. "delay": 0.15 s for each read. "reset": resets the connection.
    "stall": holds all data back. "stall_responses": holds responses back only.
    """

    def __init__(self, target):
        super().__init__()
        self.target = target
        self.mode = "ok"
        self.ended = False

    async def end_for(self, seconds):
        """Closes the port and all connections for a while, unless they are."""
        if self.ended:
            return
        self.ended = True
        self.server.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.sleep(seconds)
        await self.start()
        self.ended = False

    async def serve(self, reader, writer):
        if self.mode == "reset":
            writer.transport.abort()
            return
        target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self.target)
        try:
            await asyncio.gather(
                self.pump(reader, target_writer, True),
                self.pump(target_reader, writer, False)
            )
        finally:
            target_writer.close()

    async def pump(self, source, sink, to_server):
        while data := await source.read(65536):
            while self.mode == "stall" or (self.mode == "stall_responses" and not to_server):
                await asyncio.sleep(0.05)
            if self.mode == "delay":
                await asyncio.sleep(0.15)
            if self.mode == "reset":
                sink.transport.abort()
                raise ConnectionResetError
            sink.write(data)
            await sink.drain()
        sink.close()


def parse_events(body):
    """Returns (id, server) of each well-formed event, and whether `body` is whole.

    It is whole if it has nothing but such events, without a partial one.
    """
    *events, remainder = body.decode().split("\n\n")
    event_pattern = re.compile(r"id: (\d+)\ndata: \1\.(m-\d)x*")
    matches = [event_pattern.fullmatch(event) for event in events]
    valid = [(int(match[1]), match[2]) for match in matches if match]
    return valid, len(valid) == len(events) and not remainder


class Soak:
    """The store, the servers, the daemons and what the soak observes of them."""

    def __init__(self, seed, hosts):
        self.seed = seed
        self.host_count = hosts
        self.store = Store()
        self.servers = []
        self.proxies = []
        self.daemons = []
        self.disturbed_hosts = set()
        self.disturbed_at = []
        self.revoked_at = {}
        self.version = 1
        self.results = {}
        self.violations = []
        self.log_lines = []
        self.counts = {"resumptions": 0, "complete resumed streams": 0}

    # Each caller and fault has its own generator, so that its random values do
    # not depend on the timing of the others.
    def make_rng(self, purpose):
        return random.Random(f"{self.seed} {purpose}")

    def report_violation(self, request_id, violation):
        behaviours = sorted(
            (at, f"{server.name} {behaviour}{' (resumed)' if resumed else ''}")
            for server in self.servers
            for at, received_id, resumed, behaviour in server.received_requests
            if received_id == request_id
        )
        servers = ", ".join(text for _, text in behaviours)
        self.violations.append(f"{request_id}: {violation}; servers: {servers}")

    def count(self, counter):
        self.counts[counter] = self.counts.get(counter, 0) + 1

    async def start(self):
        await self.store.start()
        self.store_proxy = Proxy(self.store.port)
        await self.store_proxy.start()
        for name, service, behaviour in [
            ("p-0", "plain", "respond"),
            ("p-1", "plain", "respond"),
            ("p-2", "plain", "respond"),
            ("m-0", "model", "stream"),
            ("m-1", "model", "stream"),
            ("m-2", "model", "stream"),
        ]:
            server = BackendServer(self.store, name, service)
            server.default_behaviour = behaviour
            server.behaviour = behaviour
            server.event_count = EVENT_COUNT
            await Listener.start(server)
            proxy = Proxy(server.port)
            await proxy.start()
            server.port = proxy.port
            if service == "model" and self.seed % 2 == 0:
                server.crashing_segment = CRASHING_SEGMENT
                server.crash = lambda server=server, proxy=proxy: self.crash(server, proxy)
            server.register("available")
            self.servers.append(server)
            self.proxies.append(proxy)
        self.write_configuration()
        for number in range(self.host_count):
            self.daemons.append(self.start_daemon(number))

    def crash(self, server, proxy):
        server.crashes.append(time.monotonic())
        self.count("crashes on the segment")
        asyncio.ensure_future(proxy.end_for(1.5))

    def start_daemon(self, number):
        class ProxiedStore:
            port = self.store_proxy.port

        return Daemon(ProxiedStore, f"host-{number}")

    def write_configuration(self, removed=""):
        """Writes a configuration without the route or service `removed`."""
        keys = [key for key in KEYS if key not in self.revoked_at]
        routes = [each for each in ROUTES if each["path-prefix"] != removed]
        content = configuration(self.version, routes, keys)
        content["services"] = [each for each in content["services"] if each["name"] != removed]
        self.store.write_json("op", "config", content)
        self.version += 1

    def stop_daemon(self, daemon):
        if daemon.process.poll() is None:
            daemon.process.kill()
        daemon.process.wait()
        daemon.log_file.seek(0)
        self.log_lines += [line.rstrip() for line in daemon.log_file]
        daemon.stop()

    async def stop(self):
        for daemon in self.daemons:
            self.stop_daemon(daemon)
        for listener in self.servers + self.proxies + [self.store_proxy, self.store]:
            await listener.stop()

    # Callers.

    async def connect(self, daemon, slow):
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection("127.0.0.1", daemon.caller_port), 2
        )
        if slow:
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, 16384
            )
        return reader, writer

    async def call(self, number):
        """Runs one caller; some read slowly, some send several requests."""
        rng = self.make_rng(f"caller {number}")
        slow = rng.random() < 0.1
        requests = rng.randint(2, 6) if rng.random() < 0.2 else 1
        daemon = self.daemons[rng.randrange(self.host_count)]
        try:
            connection = await self.connect(daemon, slow)
        except (OSError, asyncio.TimeoutError):
            self.count("no connection")
            return
        for index in range(requests):
            if index:
                await asyncio.sleep(rng.uniform(0, 0.3))
                self.count("requests on kept connections")
            if not await self.send_and_check(f"q-{number}-{index}", rng, connection, slow):
                break
        connection[1].close()

    async def send_and_check(self, request_id, rng, connection, slow):
        """Sends a request and checks the response.

        Returns whether the connection can carry another request.
        """
        reader, writer = connection
        path = rng.choice([*MAX_EXECUTIONS, "/plan/"])
        key = rng.choice([KEYS[0], *KEYS])
        headers = {
            "Host": "h.example",
            REQUEST_ID_HEADER: request_id,
            "Bronzehub-Deadline-Ms": 2500,
            "Content-Length": 0,
            "Api-Key": key,
            EVENT_BYTES_HEADER: 60000 if slow else 0,
        }
        if path in STREAM_PATHS:
            session = f"{100 + rng.randrange(10):x}"
            if self.seed % 2 == 0 and rng.random() < CRASHING_SHARE:
                session = CRASHING_SEGMENT
            headers["Bronzehub-Prompt-Prefix"] = f"a0:600,{session}:1200,{rng.getrandbits(32):x}:9"
            headers["Bronzehub-Token-Usage"] = "1809,8"
        method = "GET" if path in ("/read/", "/open/") else "POST"
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        sent_at = time.monotonic()
        status, keep_open = None, False
        body = bytearray()
        try:
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            line, response_headers, _ = await asyncio.wait_for(
                read_message(reader, body, 0.1 if slow else 0), 4
            )
            status = int(line.split(" ")[1])
            keep_open = response_headers.get("connection") != "close"
            self.check_response(path, request_id, status, response_headers, bytes(body))
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            self.count("incomplete responses")
            self.check_partial_body(request_id, bytes(body))
        except (ValueError, asyncio.LimitOverrunError) as error:
            self.report_violation(request_id, f"malformed response: {error}")
        self.results[request_id] = (path, key, sent_at, status)
        self.count(f"status {status}" + (", read slowly" if slow else ""))
        return keep_open

    def check_response(self, path, request_id, status, headers, body):
        if headers.get(REQUEST_ID_HEADER.lower(), request_id) != request_id:
            self.report_violation(
                request_id, f"response to {headers[REQUEST_ID_HEADER.lower()]}"
            )
        if status == 503 and "retry-after" not in headers:
            self.report_violation(request_id, "503 without Retry-After")
        if status != 200:
            return
        if SIGNATURE_HEADER.lower() not in headers:
            self.report_violation(request_id, "200 without a signature")
        if path not in STREAM_PATHS:
            if body != b"whole":
                self.report_violation(request_id, f"body {body!r}")
            return
        events, complete = parse_events(body)
        ids = [number for number, _ in events]
        if not complete or ids != list(range(1, EVENT_COUNT + 1)):
            self.report_violation(request_id, f"framed as complete with events {ids}")
        elif len({server for _, server in events}) > 1:
            self.count("complete resumed streams")

    def check_partial_body(self, request_id, body):
        ids = [number for number, _ in parse_events(body)[0]]
        if ids != list(range(1, len(ids) + 1)):
            self.report_violation(request_id, f"interrupted after events {ids}")

    async def run_callers(self, until):
        rng = self.make_rng("callers")
        tasks = []
        while time.monotonic() < until:
            tasks.append(asyncio.create_task(self.call(len(tasks))))
            await asyncio.sleep(rng.uniform(0.005, 0.03))
        await asyncio.gather(*tasks)

    # Faults. Each lasts for a random time and is then undone; the revocation of a
    # key is permanent.

    async def fault_server(self, rng):
        server = rng.choice(self.servers)
        behaviours = ["drop", "truncate", "garbage", "unsigned", "shed", "error", "extra_response"]
        server.behaviour = rng.choice(
            STREAM_FAULTS if server.default_behaviour == "stream" else behaviours
        )
        await asyncio.sleep(rng.uniform(0.3, 2))
        server.behaviour = server.default_behaviour

    async def fault_resumption(self, rng):
        """One server interrupts streams; the others resume them or fail to."""
        cutting_server, *resuming_servers = rng.sample(
            [server for server in self.servers if server.default_behaviour == "stream"], 3
        )
        cutting_server.behaviour = rng.choice(
            [behaviour for behaviour in STREAM_FAULTS if "cut" in behaviour]
        )
        for server in resuming_servers:
            server.choose_resume_behaviour = lambda: rng.choice(
                RESUME_SUCCESSES if rng.random() < 0.5 else RESUME_FAULTS
            )
        await asyncio.sleep(rng.uniform(0.5, 2))
        cutting_server.behaviour = cutting_server.default_behaviour
        for server in resuming_servers:
            server.choose_resume_behaviour = lambda: None

    async def fault_link(self, rng):
        proxy = rng.choice(self.proxies)
        proxy.mode = rng.choice(["delay", "reset", "stall", "stall_responses"])
        await asyncio.sleep(rng.uniform(0.2, 2))
        proxy.mode = "ok"

    async def fault_engine_end(self, rng):
        models = [p for p, s in zip(self.proxies, self.servers) if s.service == "model"]
        ended = rng.sample(models, rng.choice([1, 1, len(models)]))
        await asyncio.gather(*(proxy.end_for(rng.uniform(0.3, 2)) for proxy in ended))

    async def fault_store(self, rng):
        if rng.random() < 0.5:
            self.store.fault = rng.choice(["refuse", "rate_limit", "compacted"])
        else:
            self.store_proxy.mode = rng.choice(
                ["delay", "reset", "stall", "stall_responses"]
            )
        await asyncio.sleep(rng.uniform(0.3, 4))
        self.store.fault = ""
        self.store_proxy.mode = "ok"

    async def fault_daemon(self, rng):
        number = rng.randrange(self.host_count)
        daemon = self.daemons[number]
        if number in self.disturbed_hosts or daemon.process.poll() is not None:
            return
        self.disturbed_hosts.add(number)
        self.disturbed_at.append(time.monotonic())
        action = rng.choice(["kill", "stop", "pause"])
        if action == "pause":
            daemon.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(rng.uniform(0.2, 5))
            daemon.process.send_signal(signal.SIGCONT)
        else:
            daemon.process.send_signal(
                signal.SIGKILL if action == "kill" else signal.SIGTERM
            )
            while daemon.process.poll() is None:
                await asyncio.sleep(0.05)
            if action == "stop" and daemon.process.returncode != 0:
                self.violations.append(
                    f"daemon stopped with exit code {daemon.process.returncode}"
                )
            await asyncio.sleep(rng.uniform(0, 1))
            self.stop_daemon(daemon)
            self.daemons[number] = self.start_daemon(number)
        self.disturbed_hosts.discard(number)

    async def fault_draining(self, rng):
        server = rng.choice(self.servers)
        server.register("draining")
        await asyncio.sleep(rng.uniform(1, 3))
        server.register("available")

    async def revoke_key(self, _rng):
        if KEYS[1] in self.revoked_at:
            return
        self.revoked_at[KEYS[1]] = time.monotonic()
        self.write_configuration()

    async def change_configurations(self, until):
        """Removes routes and services of requests under way; they come back.

        One server breaks its streams off meanwhile, so that they are resumed
        under the new configuration.
        """
        rng = self.make_rng("configurations")
        models = [server for server in self.servers if server.service == "model"]
        while time.monotonic() < until:
            server = rng.choice(models)
            server.behaviour, server.pause_s = "stream_cut 5", 0.08
            await asyncio.sleep(rng.uniform(0.2, 1))
            self.write_configuration(rng.choice(["/plan/", "/chat/", "/read/", "model", "plain"]))
            self.count("removals from the configuration")
            await asyncio.sleep(rng.uniform(0.2, 0.6))
            server.behaviour, server.pause_s = server.default_behaviour, 0.01
            self.write_configuration()

    async def refuse_executed_requests(self, until):
        """One server after another executes requests, then seems to refuse them."""
        rng = self.make_rng("refusals")
        while time.monotonic() < until:
            await asyncio.sleep(rng.uniform(0.2, 1))
            server = rng.choice(self.servers)
            server.behaviour = f"error {rng.choice(REFUSAL_STATUSES)}"
            await asyncio.sleep(rng.uniform(0.1, 0.5))
            server.behaviour = server.default_behaviour

    async def inject_faults(self, until):
        kinds = [
            self.fault_server,
            self.fault_resumption,
            self.fault_link,
            self.fault_engine_end,
            self.fault_store,
            self.fault_daemon,
            self.fault_draining,
        ]
        rng = self.make_rng("faults")
        tasks = []
        if rng.random() < 0.5:
            tasks.append(asyncio.create_task(self.revoke_key(rng)))
        pending_kinds = []
        while time.monotonic() < until:
            # Each round has every kind once, so that a short run covers them all.
            pending_kinds = pending_kinds or rng.sample(kinds, len(kinds))
            kind = pending_kinds.pop()
            self.count(kind.__name__)
            fault_rng = self.make_rng(f"fault {len(tasks)}")
            tasks.append(asyncio.create_task(kind(fault_rng)))
            await asyncio.sleep(rng.uniform(0.1, 0.8))
        await asyncio.gather(*tasks)

    # Guarantees.

    def check_executions(self):
        runs = {}
        for server in self.servers:
            for request_id, _, _, _ in server.executions:
                runs[request_id] = runs.get(request_id, 0) + 1
            for _, _, resumed, behaviour in server.received_requests:
                if resumed:
                    self.count("resumptions")
                    self.count(f"resumed: {behaviour}")
        for request_id, count in runs.items():
            if request_id not in self.results:
                continue
            path, key, sent_at, status = self.results[request_id]
            if count > MAX_EXECUTIONS[path] or (path == "/pay/" and count > 1):
                self.report_violation(request_id, f"executed {count} times")
            if path in ("/pay/", "/chat/") and status in REFUSAL_STATUSES:
                self.report_violation(request_id, f"executed although refused with {status}")
            revoked_at = self.revoked_at.get(key)
            if (
                path != "/open/"
                and revoked_at is not None
                and sent_at > revoked_at + REVOCATION_S
            ):
                self.report_violation(request_id, "executed with a revoked key")

    def check_crashes(self):
        """Checks the limit of requests with the crashing segment."""
        for line in self.log_lines:
            found = '"message":"prompt segment quarantined"' in line
            if found and f'"segment":"{CRASHING_SEGMENT}"' not in line:
                self.violations.append(f"a segment that ends no server: {line}")
        crashes = sorted(at for server in self.servers for at in server.crashes)
        if len(crashes) < CRASHES_BEFORE_WINDOW:
            return
        since = crashes[CRASHES_BEFORE_WINDOW - 1] + WINDOW_S
        with_segment = {
            request_id
            for server in self.servers
            for request_id, headers, _, _ in server.executions
            if server.crashes_on(headers)
        }
        late = sum(
            at > since and request_id in with_segment
            for server in self.servers
            for at, request_id, _, _ in server.received_requests
        )
        allowed = MAX_LATE_ARRIVALS + len(self.disturbed_at)
        if late > allowed:
            self.violations.append(
                f"{late} requests with the crashing segment reached servers late, "
                f"expected {allowed} at most; {len(crashes)} crashes"
            )

    async def recover(self):
        started_at = time.monotonic()
        for daemon in list(self.daemons):
            while True:
                try:
                    reader, writer = await send_request(daemon.caller_port, "/open/", key="")
                    line, _, _ = await asyncio.wait_for(read_message(reader), 2)
                    writer.close()
                    if " 200 " in line:
                        break
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                    pass
                if time.monotonic() - started_at > RECOVERY_S:
                    daemon.log_file.seek(0)
                    last = (daemon.log_file.readlines() or ["nothing"])[-1].rstrip()
                    self.violations.append(f"a host does not recover; last log line: {last}")
                    return
                await asyncio.sleep(0.1)


async def run_soak(seed, seconds, hosts):
    soak = Soak(seed, hosts)
    await soak.start()
    try:
        await soak.recover()
        until = time.monotonic() + seconds
        await asyncio.gather(
            soak.run_callers(until),
            soak.inject_faults(until - 1),
            soak.change_configurations(until - 1),
            soak.refuse_executed_requests(until - 1),
        )
        await soak.recover()
        soak.check_executions()
    finally:
        await soak.stop()
    soak.check_crashes()
    for counter, number in sorted(soak.counts.items()):
        print(json.dumps({"seed": seed, "what": counter, "count": number}))
    for violation in soak.violations:
        print(json.dumps({"seed": seed, "violation": violation}))
        request_id = violation.split(":")[0]
        for line in soak.log_lines:
            if f'"{request_id}"' in line:
                print(line)
    print(json.dumps({"seed": seed, "violations": len(soak.violations)}))
    return not soak.violations


def find_known_red(seed):
    """Returns the line of KNOWN-RED.txt for this seed, or None."""
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
    listed = find_known_red(arguments.seed)
    if listed and not arguments.known_red:
        print(f"known red, left out: {listed}")
        return
    entry_path_fixture.PROGRAM = os.path.abspath(arguments.program)
    passed = asyncio.run(run_soak(arguments.seed, arguments.seconds, arguments.hosts))
    sys.exit(0 if passed else 1)


if __name__ == "__main__":
    main()
