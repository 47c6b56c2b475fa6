"""A stand-in for the users' platform: its row store and its backend servers.

It speaks the published formats over loopback TCP and can be told to fail in
the ways that the platform may. Everything runs on one asyncio loop; the
daemons under test are separate processes.
"""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

SIGNATURE = "Bronzehub-Replica-Signature"
REQUEST_ID = "Bronzehub-Attempt-Id"
RESUME_AFTER = "Last-Event-Id"
# A caller asks for events of this size.
EVENT_BYTES = "Event-Bytes"


async def read_message(reader, body=None, pause_s=0):
    """Reads one request or response; returns (first line, headers, body).

    The chunks of a body are added to `body`, which holds what was read if the
    message is cut; `pause_s` is how long to wait before each one.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = bytearray() if body is None else body
    if headers.get("transfer-encoding") == "chunked":
        while True:
            await asyncio.sleep(pause_s)
            line = await reader.readline()
            if not line.endswith(b"\n"):
                raise asyncio.IncompleteReadError(line, None)
            size = int(line, 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    elif "content-length" in headers:
        body += await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, bytes(body)


def response(status, headers=None, body=b""):
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Flood:
    """Bytes without end on one connection, bounded in count and time."""

    MAX_BYTES = 96 * 1024 * 1024
    MAX_SECONDS = 4.0

    def __init__(self):
        self.sent = 0
        self.began = time.monotonic()
        # Seconds until the other side closed the connection; None: it did not.
        self.closed_after = None

    def is_over(self):
        return time.monotonic() - self.began > self.MAX_SECONDS

    async def run(self, reader, writer, opening, piece):
        """Repeats `piece` until the other side closes the connection."""
        closed = asyncio.ensure_future(reader.read(1))
        try:
            writer.write(opening)
            while self.sent < self.MAX_BYTES and not self.is_over():
                writer.write(piece)
                self.sent += len(piece)
                await writer.drain()
                # A drain of a short buffer does not let other tasks run.
                await asyncio.sleep(0)
                if closed.done():
                    break
            left = self.began + self.MAX_SECONDS - time.monotonic()
            if await asyncio.wait_for(closed, max(left, 0.01)) == b"":
                self.closed_after = time.monotonic() - self.began
        except ConnectionError:
            self.closed_after = time.monotonic() - self.began
        except asyncio.TimeoutError:
            pass  # `closed_after` says that it stayed open.
        finally:
            closed.cancel()


class Listener:
    """A TCP server on loopback that ends its connections when it stops."""

    def __init__(self):
        self.port = 0
        self.server = None
        self.tasks = set()

    async def start(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def accept(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass  # The connection ended.
        finally:
            self.tasks.discard(task)
            writer.close()

    async def stop(self):
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class Store(Listener):
    """Rows by (table, key), a version counter and a change feed."""

    def __init__(self):
        super().__init__()
        self.rows = {}
        self.version = 0
        self.changed = asyncio.Event()
        self.calls = []
        # One of: "", "refuse", "silent", "rate", "compact", "flood".
        self.fault = ""
        self.floods = []

    def write(self, table, key, value):
        self.version += 1
        self.rows[(table, key)] = (value, self.version)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def write_json(self, table, key, value):
        self.write(table, key, json.dumps(value).encode())

    def encode(self, table, after=-1):
        return [
            {
                "table-name": table,
                "part": "",
                "key": key,
                "value": base64.b64encode(value).decode(),
                "row-version": version,
            }
            for (owner, key), (value, version) in sorted(self.rows.items())
            if owner == table and version > after
        ]

    async def serve(self, reader, writer):
        while True:
            line, _, body = await read_message(reader)
            if self.fault == "flood":
                flood = Flood()
                self.floods.append(flood)
                await flood.run(
                    reader, writer, b"HTTP/1.1 200 OK\r\n\r\n", b"a" * 32768
                )
                return
            writer.write(await self.answer(line, body))
            await writer.drain()

    async def answer(self, line, body):
        method, target, _ = line.split(" ")
        self.calls.append(target)
        if self.fault == "silent":
            await asyncio.sleep(60)
        if self.fault == "refuse":
            return response(503)
        if self.fault == "rate":
            return response(429)
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        result = {}
        if parts.path == "/api/rows-get":
            result = {"rows": self.encode(query["table-name"]), "has-more": False}
        elif parts.path == "/api/rows-feed":
            if self.fault == "compact":
                return response(410)
            rows = self.encode(query["table-name"], int(query["after"]))
            deadline = time.monotonic() + int(query["wait-ms"]) / 1000
            while not rows and time.monotonic() < deadline:
                try:
                    await asyncio.wait_for(
                        self.changed.wait(), deadline - time.monotonic()
                    )
                except asyncio.TimeoutError:
                    break
                rows = self.encode(query["table-name"], int(query["after"]))
            result = {"rows": rows}
        elif method == "POST" and parts.path == "/api/rows-tx":
            for row in json.loads(body)["write"]:
                self.write(
                    row["table-name"], row["key"], base64.b64decode(row["value"])
                )
        else:
            return response(404)
        result["row-version"] = self.version
        result["current-time-ms"] = int(time.monotonic() * 1000)
        text = json.dumps(result).encode()
        return response(200, {"Content-Type": "application/json"}, text)


# Statuses with which a backend server states that it did not run a request.
REJECTIONS = {"shed": 503, "limited": 429, "misdirected": 421}


class Replica(Listener):
    """A backend server whose behaviour a test chooses by `act`."""

    def __init__(self, store, name, service, slots=8, domain="a"):
        super().__init__()
        self.store = store
        self.name = name
        self.service = service
        self.slots = slots
        self.domain = domain
        # Requests that began to run: (id, headers, body, target).
        self.runs = []
        # Arrivals whose connection the other side closed before the end.
        self.abandoned = []
        # (time, id, whether it resumed a stream, act) of each request, also of
        # those that did not run.
        self.acts = []
        # What to do with a request: a key of REJECTIONS, or the name of a
        # method `act_...` and its arguments.
        self.act = "answer"
        # Returns the act for a request that resumes a stream, or None: by
        # default, the acts of a list one after the other. Servers may share it.
        self.acts_on_resume = []
        self.choose_resumed_act = lambda: (
            self.acts_on_resume.pop(0) if self.acts_on_resume else None
        )
        self.error_status = 500
        # More than socket buffers hold.
        self.large_bytes = 12000000
        # Body of `document`.
        self.document = b""
        # What `act_flood` repeats: a key of `flood_bytes`.
        self.flood = ""
        self.floods = []
        self.events = 3
        self.pause = 0.01
        # Events behind this one carry no id.
        self.ids_until = 1000
        # Events before `stream_cut` breaks off.
        self.cut_after = 1
        # Set: `stream_cut` and `drop_when_released` break off at once.
        self.released = asyncio.Event()
        self.released.set()
        # All servers whose runs `drop_first_run` counts.
        self.peers = [self]
        # Events of `stream_from_start`.
        self.from_start_events = 1

    async def start(self):
        await super().start()
        self.register("available")

    def register(self, state):
        self.store.write_json(
            "servers",
            self.name,
            {
                "service": self.service,
                "address": f"127.0.0.1:{self.port}",
                "availability-zone": self.domain,
                "version": "v1",
                "capacity-slots": self.slots,
                "state": state,
                "cold-remaining-ms": 0,
                "sequence": 1,
                "born": 1,
            },
        )

    async def serve(self, reader, writer):
        while True:
            line, headers, body = await read_message(reader)
            request_id = headers.get(REQUEST_ID.lower(), "")
            if headers.get("bronzehub-expected-replica") not in (None, self.name):
                writer.write(response(421, {"Bronzehub-Replica-Id": self.name}))
                continue
            resumed = RESUME_AFTER.lower() in headers
            act = (resumed and self.choose_resumed_act()) or self.act
            self.acts.append((time.monotonic(), request_id, resumed, act))
            if act in REJECTIONS:
                rejection = {"Bronzehub-Not-Executed": 1, REQUEST_ID: request_id}
                writer.write(response(REJECTIONS[act], rejection))
            else:
                self.runs.append((request_id, headers, body, line))
                name, *arguments = act.split(" ")
                action = getattr(self, "act_" + name)
                if not await action(reader, writer, request_id, headers, *arguments):
                    return
            await writer.drain()

    def head(self, request_id, extra=""):
        return (
            f"HTTP/1.1 200 OK\r\n{REQUEST_ID}: {request_id}\r\n{SIGNATURE}: "
            f"{self.name}\r\n{extra}"
        )

    async def act_answer(self, _reader, writer, request_id, _headers):
        await asyncio.sleep(self.pause)
        writer.write(
            response(200, {REQUEST_ID: request_id, SIGNATURE: self.name}, b"whole")
        )
        return True

    async def act_error(self, _reader, writer, request_id, _headers, status=None):
        headers = {REQUEST_ID: request_id, SIGNATURE: self.name}
        writer.write(response(status or self.error_status, headers, b"error"))
        return True

    async def act_head(self, _reader, writer, request_id, _headers):
        writer.write((self.head(request_id, "Content-Length: 5\r\n\r\n")).encode())
        return True

    async def act_large(self, _reader, writer, request_id, _headers):
        headers = {REQUEST_ID: request_id, SIGNATURE: self.name}
        writer.write(response(200, headers, b"x" * self.large_bytes))
        return True

    async def act_document(self, _reader, writer, request_id, _headers):
        headers = {
            REQUEST_ID: request_id,
            SIGNATURE: self.name,
            "Content-Type": "application/json",
        }
        writer.write(response(200, headers, self.document))
        return True

    async def act_error_without_length(self, _reader, writer, request_id, _headers):
        head = self.head(request_id, "\r\n").replace("200 OK", "500 X")
        writer.write((head + "error").encode())
        return False

    async def act_empty(self, _reader, writer, request_id, _headers, status=200):
        writer.write(response(status, {REQUEST_ID: request_id, SIGNATURE: self.name}))
        return True

    async def act_drop(self, _reader, _writer, _request_id, _headers):
        return False

    async def act_reset(self, _reader, writer, _request_id, _headers):
        writer.transport.abort()
        return False

    async def act_truncate(self, _reader, writer, request_id, _headers):
        writer.write(
            (self.head(request_id, "Content-Length: 10\r\n\r\n") + "half").encode()
        )
        return False

    async def act_garbage(self, _reader, writer, _request_id, _headers):
        writer.write(b"\x00\x01 this is no response\r\n\r\n")
        return False

    async def act_unsigned(self, _reader, writer, request_id, _headers):
        writer.write(response(200, {REQUEST_ID: request_id}, b"unsigned"))
        return True

    async def act_large_foreign_first(self, reader, writer, request_id, headers):
        foreign = {REQUEST_ID: "another", SIGNATURE: self.name}
        writer.write(response(200, foreign, b"f" * 512 * 1024))
        return await self.act_answer(reader, writer, request_id, headers)

    async def act_large_rejection(self, _reader, writer, request_id, _headers):
        headers = {"Bronzehub-Not-Executed": 1, REQUEST_ID: request_id}
        writer.write(response(503, headers, b"r" * 128 * 1024))
        return True

    async def act_drop_first_run(self, reader, writer, request_id, headers):
        """Drops the first run at all `peers`; any later one is an error."""
        if sum(len(replica.runs) for replica in self.peers) == 1:
            return False
        return await self.act_error(reader, writer, request_id, headers)

    async def act_drop_when_released(self, _reader, _writer, _request_id, _headers):
        await self.released.wait()
        return False

    async def act_foreign_first(self, _reader, writer, request_id, _headers):
        writer.write(
            response(200, {REQUEST_ID: "another", SIGNATURE: self.name}, b"foreign")
        )
        return await self.act_answer(_reader, writer, request_id, _headers)

    async def act_interim_first(self, _reader, writer, request_id, _headers):
        writer.write(b"HTTP/1.1 102 Processing\r\n\r\n" * 20)
        return await self.act_answer(_reader, writer, request_id, _headers)

    async def act_long(self, _reader, writer, request_id, _headers):
        """2 MB in chunks, with pauses."""
        extra = "Transfer-Encoding: chunked\r\n\r\n"
        writer.write(self.head(request_id, extra).encode())
        for _ in range(100):
            writer.write(b"1\r\na\r\n" * 1000 + b"4a38\r\n" + b"a" * 19000 + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self.pause)
        writer.write(b"0\r\n\r\n")
        return True

    async def act_extra(self, _reader, writer, request_id, _headers):
        await self.act_answer(_reader, writer, request_id, _headers)
        writer.write(
            response(200, {REQUEST_ID: request_id, SIGNATURE: self.name}, b"extra")
        )
        return True

    def flood_bytes(self, kind, request_id):
        """Returns (opening, what is repeated) of a flood."""
        line = b"HTTP/1.1 200 OK\r\n"
        chunked = "Transfer-Encoding: chunked\r\n\r\n"
        head = self.head(request_id).encode()
        signed = self.head(request_id, chunked).encode()
        events = "Content-Type: text/event-stream\r\n" + chunked
        stream = self.head(request_id, events).encode()
        foreign = self.head("another", chunked).encode()
        unsigned = f"HTTP/1.1 200 OK\r\n{REQUEST_ID}: {request_id}\r\n{chunked}"
        filler = b"a" * 32768
        chunk = b"8000\r\n" + filler + b"\r\n"
        return {
            "binary": (b"", b"\x00\x01\xff" * 5000),
            "blank_lines": (b"", b"\r\n" * 8192),
            "reason_phrase": (b"HTTP/1.1 200 ", filler),
            "field_name": (line, filler),
            "field_value": (line + b"X: ", filler),
            "fields": (head, b"x: y\r\n" * 4096),
            "interim": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
            "foreign_body": (foreign, chunk),
            "foreign_responses": (
                b"",
                response(200, {REQUEST_ID: "another", SIGNATURE: self.name}, b"x"),
            ),
            "foreign_until_close": (self.head("another").encode() + b"\r\n", b"a"),
            "body": (signed, chunk),
            "body_until_close": (head + b"\r\n", filler),
            "announced_length": (head + b"Content-Length: 1000000000\r\n\r\n", b"a"),
            "unsigned": (unsigned.encode(), b"1\r\na\r\n"),
            "chunk_extension": (signed + b"1;", filler),
            "chunk_extensions": (signed, b"1;" + filler + b"\r\na\r\n"),
            "trailers": (signed + b"0\r\n", b"x: y\r\n" * 4096),
            "rejection": (
                f"HTTP/1.1 503 X\r\nBronzehub-Not-Executed: 1\r\n{chunked}".encode(),
                chunk,
            ),
            "event": (stream, chunk),
            "event_after_event": (stream + self.chunk_of_event(1), chunk),
            "gap": (stream, self.chunk_of_event(100)),
            "repeats": (stream, self.chunk_of_event(1)),
            "after_response": (
                response(
                    200, {REQUEST_ID: request_id, SIGNATURE: self.name}, b"whole"
                ),
                filler,
            ),
        }[kind]

    def chunk_of_event(self, number):
        event = b"id: %d\ndata: x\n\n" % number
        return b"%x\r\n%s\r\n" % (len(event), event)

    async def act_flood(self, reader, writer, request_id, _headers):
        flood = Flood()
        self.floods.append(flood)
        await flood.run(reader, writer, *self.flood_bytes(self.flood, request_id))
        return False

    async def act_cut_then_flood(self, reader, writer, request_id, headers):
        act = self.act_flood if "last-event-id" in headers else self.act_stream_cut
        return await act(reader, writer, request_id, headers)

    async def act_wait(self, reader, _writer, request_id, _headers):
        if not await reader.read(1):
            self.abandoned.append((request_id, time.monotonic()))
        return False

    def event(self, number, headers):
        padding = "x" * int(headers.get(EVENT_BYTES.lower(), 0))
        event = f"data: {number}.{self.name}{padding}\n\n"
        if number <= self.ids_until:
            event = f"id: {number}\n{event}"
        return event.encode()

    async def stream(self, writer, request_id, headers, first, last, end="whole"):
        """Sends events; `end` tells what follows: whole, cut, close or reset."""
        extra = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(self.head(request_id, extra).encode())
        for number in range(first, last + 1):
            event = self.event(number, headers)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.pause)
        if end == "whole":
            writer.write(b"0\r\n\r\n")
            return True
        await self.released.wait()
        if end == "cut":
            event = self.event(max(first, last + 1), headers)
            event = event[: len(event) // 2]
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        elif end == "reset":
            writer.transport.abort()
        return False

    async def act_stream(self, _reader, writer, request_id, headers):
        first = int(headers.get(RESUME_AFTER.lower(), 0)) + 1
        return await self.stream(writer, request_id, headers, first, self.events)

    async def act_stream_cut(
        self, _reader, writer, request_id, headers, last=None, end="cut"
    ):
        """Ends early, by default in the middle of the event after `cut_after`."""
        first = int(headers.get(RESUME_AFTER.lower(), 0)) + 1
        last = self.cut_after if last is None else int(last)
        return await self.stream(writer, request_id, headers, first, last, end)

    async def act_stream_from_start(self, _reader, writer, request_id, headers, events=None):
        last = int(events or self.from_start_events)
        return await self.stream(writer, request_id, headers, 1, last)

    async def act_stream_gap(self, _reader, writer, request_id, headers):
        """Resumes a stream one event too late."""
        first = min(int(headers[RESUME_AFTER.lower()]) + 2, self.events)
        return await self.stream(writer, request_id, headers, first, self.events)

    async def act_stream_extra(self, reader, writer, request_id, headers):
        await self.act_stream(reader, writer, request_id, headers)
        return await self.act_error(reader, writer, request_id, headers)


def configuration(version, routes, keys=("key-1",)):
    """A configuration with a plain and a model service."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "plain", "connection-limit": 100},
            {
                "name": "model",
                "connection-limit": 100,
                "inference-engine": {
                    "capacity-slots": 4,
                    "kv-capacity-tokens": 100000,
                },
            },
        ],
        "limits": {
            "max-header-bytes": 4096,
            "max-body-bytes": 1000,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [{"name": "org-1", "api-keys": list(keys)}],
    }


def route(prefix, kind, service="plain", **other):
    result = {
        "name": prefix,
        "hostname": "h.example",
        "path-prefix": prefix,
        "route-kind": kind,
        "timeout-ms": 3000,
        "target-latency-ms": 300,
        "priority-level": 1,
        "service": service,
        "max-attempts": 2,
        "public": False,
    }
    result.update({name.replace("_", "-"): value for name, value in other.items()})
    return result
