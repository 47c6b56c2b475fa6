"""A randomized fault soak of entry daemons as separate processes.

soak.py <bronzehub-entryd> [--seed N] [--seconds S] [--hosts H]

Daemons serve callers while faults come from outside them: loopback proxies
delay, reset, silence or cut the connections to backend servers and to the
store; daemons are stopped, killed, paused and started again; servers break
their answers, leave and come back; keys are taken away. Faults are drawn from
the seed, overlap and come in series. Promises are checked from what callers
and backend servers see. Prints one JSON line a count; exits non-zero when a
promise was broken.
"""

import argparse
import asyncio
import json
import os
import random
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "entry_path"))

import entry_path_test  # noqa: E402
from entry_path_test import Daemon, send  # noqa: E402
from platform_standin import (  # noqa: E402
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
    route("/plan/", "streaming", "model", session_affinity=True, stream_resumption=True),
]
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


class Soak:
    def __init__(self, random_source, hosts):
        self.random = random_source
        self.host_count = hosts
        self.store = Store()
        self.servers = []
        self.proxies = []
        self.daemons = []
        self.paused = set()
        self.taken_at = {}
        self.version = 1
        self.next_id = 0
        self.answers = {}
        self.violations = []
        self.counts = {}

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
            server.events = 8
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

    async def stop(self):
        for daemon in self.daemons:
            if daemon.process.poll() is None:
                daemon.process.send_signal(signal.SIGCONT)
            daemon.stop()
        for listener in self.servers + self.proxies + [self.store_proxy, self.store]:
            await listener.stop()

    # Callers.

    async def call(self):
        number = self.next_id
        self.next_id += 1
        request_id = f"q-{number}"
        path = self.random.choice(["/read/", "/pay/", "/open/", "/chat/", "/plan/"])
        key = self.random.choice(KEYS)
        daemon = self.random.choice(self.daemons)
        sent_at = time.monotonic()
        try:
            reader, writer = await asyncio.wait_for(
                send(
                    daemon.callers,
                    path,
                    method="GET" if path in ("/read/", "/open/") else "POST",
                    key=key,
                    request_id=request_id,
                ),
                2,
            )
        except (OSError, asyncio.TimeoutError):
            self.count("no connection")
            return False
        status = None
        try:
            line, headers, body = await asyncio.wait_for(read_message(reader), 4)
            status = int(line.split(" ")[1])
            self.check_answer(path, request_id, status, headers, body)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            self.count("cut")
        finally:
            writer.close()
        self.answers[request_id] = (path, key, sent_at, status)
        self.count(f"status {status}")
        return status == 200

    def check_answer(self, path, request_id, status, headers, body):
        if status == 503 and "retry-after" not in headers:
            self.violations.append(f"{request_id}: 503 without Retry-After")
        if status != 200:
            return
        if SIGNATURE.lower() not in headers:
            self.violations.append(f"{request_id}: success without a signature")
        if path in ("/chat/", "/plan/"):
            ids = [line for line in body.decode().split("\n") if line[:3] == "id:"]
            if ids != [f"id: {number}" for number in range(1, 9)]:
                self.violations.append(f"{request_id}: events {ids}")
        elif body != b"whole":
            self.violations.append(f"{request_id}: body {body!r}")

    async def callers(self, until):
        tasks = set()
        while time.monotonic() < until:
            tasks.add(asyncio.create_task(self.call()))
            await asyncio.sleep(self.random.uniform(0.005, 0.03))
            tasks = {task for task in tasks if not task.done()}
        await asyncio.gather(*tasks)

    # Faults. Each lasts a while and undoes itself.

    async def fault_server(self):
        server = self.random.choice(self.servers)
        acts = ["drop", "truncate", "garbage", "unsigned", "shed", "error", "extra"]
        if server.usual == "stream":
            acts = ["drop", "garbage", "shed", "stream_cut"]
        server.act = self.random.choice(acts)
        await asyncio.sleep(self.random.uniform(0.3, 2))
        server.act = server.usual

    async def fault_link(self):
        proxy = self.random.choice(self.proxies)
        proxy.mode = self.random.choice(["delay", "reset", "silent", "cut"])
        await asyncio.sleep(self.random.uniform(0.2, 2))
        proxy.mode = "ok"

    async def fault_store(self):
        if self.random.random() < 0.5:
            self.store.fault = self.random.choice(["refuse", "rate", "compact"])
        else:
            self.store_proxy.mode = self.random.choice(
                ["delay", "reset", "silent", "cut"]
            )
        await asyncio.sleep(self.random.uniform(0.3, 4))
        self.store.fault = ""
        self.store_proxy.mode = "ok"

    async def fault_daemon(self):
        number = self.random.randrange(self.host_count)
        daemon = self.daemons[number]
        if number in self.paused or daemon.process.poll() is not None:
            return
        self.paused.add(number)
        how = self.random.choice(["kill", "stop", "pause"])
        if how == "pause":
            daemon.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self.random.uniform(0.2, 5))
            daemon.process.send_signal(signal.SIGCONT)
        else:
            daemon.process.send_signal(
                signal.SIGKILL if how == "kill" else signal.SIGTERM
            )
            while daemon.process.poll() is None:
                await asyncio.sleep(0.05)
            if how == "stop" and daemon.process.returncode != 0:
                self.violations.append(f"exit code {daemon.process.returncode}")
            await asyncio.sleep(self.random.uniform(0, 1))
            daemon.stop()
            self.daemons[number] = self.start_daemon(number)
        self.paused.discard(number)

    async def fault_leaving(self):
        server = self.random.choice(self.servers)
        server.register("draining")
        await asyncio.sleep(self.random.uniform(1, 3))
        server.register("available")

    async def fault_key(self):
        if KEYS[1] in self.taken_at:
            return
        self.taken_at[KEYS[1]] = time.monotonic()
        self.write_configuration()

    async def faults(self, until):
        kinds = [
            self.fault_server,
            self.fault_link,
            self.fault_store,
            self.fault_daemon,
            self.fault_leaving,
        ]
        tasks = [asyncio.create_task(self.fault_key())] if self.random.random() < 0.5 else []
        while time.monotonic() < until:
            kind = self.random.choice(kinds)
            self.count(kind.__name__)
            tasks.append(asyncio.create_task(kind()))
            await asyncio.sleep(self.random.uniform(0.1, 0.8))
        await asyncio.gather(*tasks)

    # Promises.

    def check_runs(self):
        runs = {}
        for server in self.servers:
            for request_id, _, _, line in server.runs:
                runs.setdefault(request_id, []).append(line)
        for request_id, lines in runs.items():
            if request_id not in self.answers:
                continue
            path, key, sent_at, status = self.answers[request_id]
            if path in ("/pay/", "/chat/") and len(lines) > 1:
                self.violations.append(f"{request_id}: ran {len(lines)} times")
            if path in ("/pay/", "/chat/") and status == 503:
                self.violations.append(f"{request_id}: refused and ran")
            taken_at = self.taken_at.get(key)
            if (
                path != "/open/"
                and taken_at is not None
                and sent_at > taken_at + REVOCATION_S
            ):
                self.violations.append(f"{request_id}: ran with a key taken away")

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
                    self.violations.append("a host does not serve after the faults")
                    return
                await asyncio.sleep(0.1)


async def run(seed, seconds, hosts):
    soak = Soak(random.Random(seed), hosts)
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
    print(json.dumps({"seed": seed, "violations": len(soak.violations)}))
    return not soak.violations


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("program")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--hosts", type=int, default=3)
    arguments = parser.parse_args()
    entry_path_test.PROGRAM = os.path.abspath(arguments.program)
    good = asyncio.run(run(arguments.seed, arguments.seconds, arguments.hosts))
    sys.exit(0 if good else 1)


if __name__ == "__main__":
    main()
