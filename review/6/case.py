"""A replica crashes after the route of its streams was removed."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import harness_2 as h  # noqa: E402

STREAMS = 8
LOOKUP_CLIENTS = 12
EVENTS = 100
EVENT_GAP_S = 0.05
RESTART_DELAY_S = 1.0
# `contact-window-ms`: from then on the machine is in touch.
CONTACT_WINDOW_S = 3.0
# Of the rule: more than three.
ALLOWED = 3


class Engine(h.Replica):
    """A replica that answers with streams, from `Last-Event-Id` on."""

    running = 0

    async def serve(self, reader, writer):
        while True:
            line, headers, _ = await h.read_message(reader)
            _, target, _ = line.split(" ")
            request_id = headers.get("bronzehub-attempt-id", "")
            if headers.get("bronzehub-expected-replica", self.name) != self.name:
                writer.write(h.encode_response(421, {"Bronzehub-Attempt-Id": request_id}))
                continue
            first = int(headers.get("last-event-id", 0)) + 1
            self.record(f"{self.name} runs stream {request_id} from event {first}")
            writer.write(
                f"HTTP/1.1 200 OK\r\nBronzehub-Attempt-Id: {request_id}\r\n"
                f"Bronzehub-Replica-Signature: {self.name}.{request_id}\r\n"
                "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
            )
            self.running += 1
            try:
                for number in range(first, EVENTS + 1):
                    event = f"id: {number}\ndata: shift {number}\n\n".encode()
                    writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                    await writer.drain()
                    await asyncio.sleep(EVENT_GAP_S)
            finally:
                self.running -= 1
            writer.write(b"0\r\n\r\n")
            await writer.drain()

    async def crash(self):
        self.record(f"{self.name} crashes")
        self.heart.cancel()
        self.server.close()
        for task in list(self.tasks):
            task.cancel()


async def stream(record, address, number):
    reader, writer = await asyncio.open_connection(address, 8783)
    request_id = h.new_id()
    record(f"client {number} sends stream {request_id}")
    writer.write(
        h.encode_request(
            request_id,
            "/rebuild/x",
            "POST",
            b"{}",
            deadline_ms=15000,
            **{
                "Bronzehub-Model": "m",
                "Bronzehub-Token-Usage": "600,500",
                "Bronzehub-Prompt-Prefix": f"a1:300,{number + 256:x}:300",
            },
        )
    )
    received = b""
    try:
        while chunk := await reader.read(65536):
            received += chunk
            if received.endswith(b"0\r\n\r\n"):
                break
    except ConnectionError:
        pass
    status = received.split(b"\r\n")[0].decode()
    end = "complete" if received.endswith(b"0\r\n\r\n") else "broken off"
    record(f"stream {request_id}: {status}, {received.count(b'id: ')} events, {end}")
    writer.close()


class LookupClient:
    """Sends one lookup after the other on a kept connection."""

    def __init__(self, record, address, number):
        self.record, self.address = record, address
        # Different, so that the clients are never all between two lookups.
        self.work_s = 0.05 + 0.005 * number
        self.answered = 0
        # Ids of lookups whose kept connection ended without an answer.
        self.unanswered = []

    async def run(self, until):
        while time.monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection(self.address, 8783)
            except ConnectionError:
                await asyncio.sleep(0.2)
                continue
            sent_before = 0
            while time.monotonic() < until:
                request_id = h.new_id()
                try:
                    writer.write(h.encode_request(request_id, f"/roster/x?work={self.work_s:.3f}"))
                    line, _, _ = await asyncio.wait_for(h.read_message(reader), 9)
                except (asyncio.IncompleteReadError, ConnectionError):
                    self.record(f"lookup {request_id}: the connection ends without an answer")
                    if sent_before:
                        self.unanswered.append(request_id)
                    break
                self.answered += 1
                sent_before += 1
                await asyncio.sleep(0.005)
            writer.close()


async def keep_running(record, machine):
    """Restarts the process when it has ended, as the platform does."""
    while True:
        await asyncio.sleep(0.05)
        if machine.process.poll() is not None:
            record(f"the process has ended by itself, status {machine.process.returncode}")
            await asyncio.sleep(RESTART_DELAY_S)
            machine.start()


async def case(record, folder):
    store = h.Store()
    await store.start()
    lookup_replicas = [
        h.Replica(store, record, f"i-app{n}", "rota-app", "lakes-a") for n in range(3)
    ]
    engines = [
        Engine(store, record, f"i-llm{n}", "rota-llm", "lakes-a", slots=64) for n in range(4)
    ]
    for replica in (*lookup_replicas, *engines):
        await replica.start()
    lookups = h.route("/roster/", "idempotent")
    rebuilds = h.route(
        "/rebuild/",
        "streaming",
        "rota-llm",
        **{
            "timeout-ms": 15000,
            "target-latency-ms": 800,
            "max-attempts": 2,
            "session-affinity": True,
            "stream-resumption": True,
            "gap-target-ms": 300,
        },
    )

    def write_configuration(version, routes):
        content = h.configuration(version, routes)
        content["services"].append(
            {
                "name": "rota-llm",
                "connection-limit": 360,
                "inference-engine": {"capacity-slots": 64, "kv-capacity-tokens": 502804},
            }
        )
        store.write_json("op", "config", content)
        record(f"the operator writes version {version}: {[r['path-prefix'] for r in routes]}")

    write_configuration(7, [lookups, rebuilds])
    (ip,) = h.free_loopback_addresses(1)
    machine = h.Machine(folder, ip, "edge-lakes-a-1", "lakes-a", store.address)
    keeper = None
    try:
        await machine.wait_ready()
        keeper = asyncio.ensure_future(keep_running(record, machine))
        await asyncio.sleep(CONTACT_WINDOW_S + 0.5)
        until = time.monotonic() + 8
        clients = [LookupClient(record, ip, n) for n in range(LOOKUP_CLIENTS)]
        tasks = [asyncio.ensure_future(client.run(until)) for client in clients]
        tasks += [asyncio.ensure_future(stream(record, ip, n)) for n in range(STREAMS)]
        await asyncio.sleep(1.0)
        write_configuration(11, [lookups])
        await asyncio.sleep(1.5)
        if h.trouble():
            await max(engines, key=lambda engine: engine.running).crash()
        await asyncio.gather(*tasks)
        run = {run[0] for replica in lookup_replicas for run in replica.runs}
        lost = [i for client in clients for i in client.unanswered if i in run]
        answered = sum(client.answered for client in clients)
        record(
            f"{answered} lookups answered; {len(lost)} passed on to a sound replica from a "
            f"kept connection that then ended without an answer"
        )
        if answered == 0:
            raise h.CannotRun("no lookup was answered")
        return len(lost) <= ALLOWED
    finally:
        if keeper:
            keeper.cancel()
        machine.end()
        for listener in (*lookup_replicas, *engines, store):
            await listener.stop()


h.run_case(case, Path(__file__).resolve().parent)
