#!/usr/bin/env python3
"""Tests an entry daemon with crowds of callers that occupy its memory.

Each caller of a crowd stays inside the limits of a single request, and most
stop before the end of it and keep the connection open. The tests check only
what does not depend on the speed of the machine: that the process lives, its
peak memory, its open descriptors, and that ordinary requests are served while
the crowd is still connected. The comment of each test names the failure that
it guards against.
"""

import asyncio
import os
import resource

from entry_path_fixture import (
    ROUTES,
    Daemon,
    EntryPathCase,
    encode_request,
    run_cases,
    wait_until,
)
from platform_standin import BackendServer, Store, configuration, read_message

# The memory that the settings of the host state, and the bound of its peak.
MEMORY_MB = 96
# The descriptors that the settings of the host state, and their bound.
DESCRIPTORS = 300
# Callers of a crowd.
CROWD = 120
# Callers of a crowd that is to exhaust the descriptors.
DESCRIPTOR_CROWD = 400
MAX_HEADER_BYTES = 16384
MAX_BODY_BYTES = 4 * 1024 * 1024
PIECE_BYTES = 64 * 1024
# Chunks of one byte in a body.
TINY_CHUNKS = 80000
# Ordinary callers that keep their connections beside a crowd.
KEPT_CALLERS = 20
KEPT_REQUESTS = 20
# Callers of a crowd to which a server sends bytes without end. The test and the
# server share one processor, so a larger crowd would only wait for its bytes.
FLOODED_CALLERS = 24
# Longest time for which a caller of the crowd may wait to send its bytes. A
# host need not read them.
SEND_LIMIT_S = 10

# Attempts of an ordinary caller, who comes back when a refusal says so.
ORDINARY_ATTEMPTS = 5

PLAIN_PATH = "/pay/1"
STREAMING_PATH = "/chat/1"


def crowd_configuration():
    result = configuration(1, ROUTES)
    result["limits"].update(
        {
            "max-header-bytes": MAX_HEADER_BYTES,
            "max-body-bytes": MAX_BODY_BYTES,
            # The crowd stays connected until the end of a test.
            "header-timeout-ms": 60000,
            "idle-timeout-ms": 60000,
        }
    )
    for service in result["services"]:
        service["connection-limit"] = 1000
        if "inference-engine" in service:
            service["inference-engine"]["capacity-slots"] = 64
    return result


def request_head(path, framing):
    """Returns the head of a POST request; `framing` is its last field."""
    head = encode_request(path, method="POST").decode()
    return head.replace("Content-Length: 0\r\n", framing + "\r\n").encode()


def open_head(path, line):
    """Returns a head of the largest legal size, made of `line`, without end.

    `line` counts with its line end, as on the wire.
    """
    start = request_head(path, "Content-Length: 0")[: -len(b"\r\n")]
    return start + line * ((MAX_HEADER_BYTES - len(start)) // len(line))


def uncounted_head(path, line, count):
    """Returns a head whose names and values have the largest legal size."""
    return request_head(path, "Content-Length: 0")[: -len(b"\r\n")] + line * count


def body_request(path, body_bytes=MAX_BODY_BYTES):
    return request_head(path, f"Content-Length: {MAX_BODY_BYTES}") + b"b" * body_bytes


def chunked_request(path, chunk_bytes, count, end):
    chunk = b"%x\r\n%s\r\n" % (chunk_bytes, b"b" * chunk_bytes)
    return request_head(path, "Transfer-Encoding: chunked") + chunk * count + end


class CrowdPath(EntryPathCase):
    async def asyncSetUp(self):
        self.store = Store()
        await self.store.start()
        self.plain = [BackendServer(self.store, "p-0", "plain")]
        self.model = [BackendServer(self.store, "m-0", "model", slots=64)]
        for server in self.plain + self.model:
            await server.start()
        self.set_behaviour(self.model, "stream")
        self.store.write_json("op", "config", crowd_configuration())
        self.daemon = Daemon(
            self.store,
            settings={"limits": {"descriptors": DESCRIPTORS, "memory_mb": MEMORY_MB}},
        )
        self.crowd = []
        await wait_until(self.is_ready, 8)

    async def asyncTearDown(self):
        for writer in self.crowd:
            writer.close()
        await super().asyncTearDown()

    async def connect_caller(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.daemon.caller_port)
        self.crowd.append(writer)
        return reader, writer

    async def send_from(self, request, piece_bytes=None):
        """Sends `request` on a new connection, which stays open."""
        try:
            _, writer = await self.connect_caller()
            step = piece_bytes or len(request) or 1
            for begin in range(0, len(request), step):
                writer.write(request[begin : begin + step])
                await asyncio.wait_for(writer.drain(), SEND_LIMIT_S)
                if piece_bytes:
                    await asyncio.sleep(0.005)
        except (OSError, asyncio.TimeoutError):
            pass  # The host refused the request or does not read it.

    async def send_crowd(self, request, size=CROWD, **options):
        await asyncio.gather(*(self.send_from(request, **options) for _ in range(size)))
        await asyncio.sleep(0.3)

    async def read_slowly(self, path, received_bytes, **headers):
        """Sends a request and reads only the first bytes of the response."""
        try:
            reader, writer = await self.connect_caller()
            reader._limit = 1024  # Leaves the rest in the socket.
            writer.write(encode_request(path, request_id=f"s-{len(self.crowd)}", **headers))
            await asyncio.wait_for(reader.read(received_bytes), SEND_LIMIT_S)
        except (OSError, asyncio.TimeoutError):
            pass

    async def fetch_as_ordinary_caller(self, path):
        """Returns the last status; follows Retry-After a few times."""
        for attempt in range(ORDINARY_ATTEMPTS):
            try:
                status, headers, _ = await self.fetch(
                    path, method="POST", body=b"ordinary", request_id=f"o{attempt}-{path}"
                )
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
                return type(error).__name__
            if status != 503 or "retry-after" not in headers:
                break
            await asyncio.sleep(float(headers["retry-after"]))
        return status

    def open_descriptors(self):
        return len(os.listdir(f"/proc/{self.daemon.process.pid}/fd"))

    async def check_host(self):
        """Checks the bounds, and that ordinary requests are served."""
        descriptors = self.open_descriptors()
        statuses = []
        self.set_behaviour(self.plain, "respond")
        self.set_behaviour(self.model, "stream")
        if self.daemon.process.poll() is None:
            for path in (PLAIN_PATH, STREAMING_PATH):
                statuses.append(await self.fetch_as_ordinary_caller(path))
        peak_mb = 0
        if self.daemon.process.poll() is None:
            peak_mb = self.daemon.peak_resident_bytes() / 1024 / 1024
        measured = (
            f"peak {peak_mb:.0f} MB of {MEMORY_MB}, {descriptors} descriptors of {DESCRIPTORS},"
            f" ordinary requests {statuses}"
        )
        print(f"{self.id().split('.', 1)[1]}: {measured}", flush=True)
        self.assertIsNone(self.daemon.process.poll(), measured)
        self.assertLess(peak_mb, MEMORY_MB, measured)
        self.assertLess(descriptors, DESCRIPTORS, measured)
        self.assertEqual(statuses, [200, 200], measured)

    # Each header field takes far more memory than its bytes on the wire.
    async def test_short_header_lines(self):
        await self.send_crowd(open_head(PLAIN_PATH, b"a:\r\n"))
        await self.check_host()

    async def test_odd_header_lines(self):
        # Colons and spaces don't count toward the size of a head.
        await self.send_crowd(open_head(STREAMING_PATH, b"%~!: \t  \r\n"))
        await self.check_host()

    # A head within the limit whose line ends and colons are not counted holds a
    # megabyte.
    async def test_header_lines_that_count_little(self):
        await self.send_crowd(uncounted_head(PLAIN_PATH, b"a:\r\n", 16000))
        await self.check_host()

    # Trailers are fields too, and arrive when the body is already held.
    async def test_short_trailer_lines(self):
        end = b"0\r\n" + b"a:\r\n" * 16000
        await self.send_crowd(chunked_request(PLAIN_PATH, 16, 1, end))
        await self.check_host()

    # Bodies of legal size outgrow the memory of the host.
    async def test_bodies_at_once_that_stop_short(self):
        await self.send_crowd(body_request(PLAIN_PATH, MAX_BODY_BYTES - 1))
        await self.check_host()

    async def test_bodies_at_once_that_stop_short_on_a_stream_route(self):
        await self.send_crowd(body_request(STREAMING_PATH, MAX_BODY_BYTES - 1))
        await self.check_host()

    async def test_bodies_in_pieces_that_stop_short(self):
        await self.send_crowd(
            body_request(PLAIN_PATH, MAX_BODY_BYTES - 1), piece_bytes=PIECE_BYTES
        )
        await self.check_host()

    # Whole requests wait at a server that does not respond; copies of their
    # bodies wait for it to read them.
    async def test_whole_bodies(self):
        self.set_behaviour(self.plain, "hang")
        await self.send_crowd(body_request(PLAIN_PATH))
        await self.check_host()

    async def test_whole_bodies_on_a_stream_route(self):
        self.set_behaviour(self.model, "hang")
        await self.send_crowd(body_request(STREAMING_PATH))
        await self.check_host()

    # A process that ends loses the responses to requests that servers have run.
    # Guards what review/2 shows, with a smaller crowd and no request to lose.
    async def test_requests_on_kept_connections_beside_a_crowd(self):
        self.plain[0].pause_s = 0.05
        lost = []

        async def send_requests(name):
            reader, writer = await self.connect_caller()
            for number in range(KEPT_REQUESTS):
                request_id = f"{name}-{number}"
                try:
                    writer.write(encode_request("/read/1", request_id=request_id))
                    _, headers, _ = await read_message(reader)
                except (OSError, asyncio.IncompleteReadError):
                    executed = [entry[0] for entry in self.executions(self.plain)]
                    lost.extend({request_id} & set(executed))
                    return
                if headers.get("connection") == "close":
                    return

        callers = [send_requests(f"kept-{i}") for i in range(KEPT_CALLERS)]
        await asyncio.gather(
            self.send_crowd(body_request(STREAMING_PATH), piece_bytes=PIECE_BYTES), *callers
        )
        self.assertEqual(lost, [])
        await self.check_host()

    async def test_large_chunks_that_stop_short(self):
        count = MAX_BODY_BYTES // PIECE_BYTES
        await self.send_crowd(chunked_request(PLAIN_PATH, PIECE_BYTES, count, b"0\r\n"))
        await self.check_host()

    async def test_large_chunks_that_stop_short_on_a_stream_route(self):
        count = MAX_BODY_BYTES // PIECE_BYTES
        await self.send_crowd(chunked_request(STREAMING_PATH, PIECE_BYTES, count, b"0\r\n"))
        await self.check_host()

    # Chunks of one byte cost processor time and framing; the body is small.
    async def test_tiny_chunks_that_stop_short(self):
        await self.send_crowd(chunked_request(PLAIN_PATH, 1, TINY_CHUNKS, b"0\r\n"))
        await self.check_host()

    async def test_tiny_chunks_that_stop_short_on_a_stream_route(self):
        await self.send_crowd(chunked_request(STREAMING_PATH, 1, TINY_CHUNKS, b"0\r\n"))
        await self.check_host()

    # Whole responses are held for callers that don't read them.
    async def test_slow_readers_of_large_responses(self):
        self.set_behaviour(self.plain, "large_body")
        self.plain[0].large_body_bytes = MAX_BODY_BYTES
        await asyncio.gather(*(self.read_slowly("/read/1", 16) for _ in range(CROWD)))
        await asyncio.sleep(0.3)
        await self.check_host()

    async def test_slow_readers_of_streams(self):
        self.model[0].event_count = 40
        await asyncio.gather(
            *(self.read_slowly("/chat/1", 16, Event_Bytes="200000") for _ in range(60))
        )
        await asyncio.sleep(0.3)
        await self.check_host()

    # Requests that follow one that is still served are buffered.
    async def test_pipelined_requests(self):
        self.set_behaviour(self.plain, "hang")
        await self.send_crowd(encode_request(PLAIN_PATH) + body_request(PLAIN_PATH, 2000000))
        await self.check_host()

    # Half-open connections leave no descriptors for other callers.
    async def test_more_half_open_connections_than_descriptors(self):
        resource.prlimit(
            self.daemon.process.pid, resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS)
        )
        await self.send_crowd(b"POST /pay/1 HTTP/1.1\r\nHost: h", size=DESCRIPTOR_CROWD)
        await self.check_host()

    async def test_more_idle_connections_than_descriptors(self):
        resource.prlimit(
            self.daemon.process.pid, resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS)
        )
        await self.send_crowd(b"", size=DESCRIPTOR_CROWD)
        await self.check_host()

    # A server that sends bytes without end to each caller of a crowd must not
    # end the requests of other callers.
    async def test_endless_responses_to_a_crowd(self):
        self.set_behaviour(self.plain, "flood")
        for flood_kind in [
            "binary",
            "reason_phrase",
            "field_value",
            "fields",
            "interim",
            "body",
            "body_until_close",
            "chunk_size",
            "chunk_extension",
            "trailers",
            "rejection",
            "after_response",
        ]:
            self.plain[0].flood_kind = flood_kind
            crowd = asyncio.gather(
                *(self.read_slowly(PLAIN_PATH, 16) for _ in range(FLOODED_CALLERS))
            )
            statuses = [
                await self.fetch_as_ordinary_caller(STREAMING_PATH) for _ in range(KEPT_REQUESTS)
            ]
            await crowd
            self.assertEqual(set(statuses), {200}, flood_kind)
            self.assertIsNone(self.daemon.process.poll(), flood_kind)
        self.plain[0].behaviour = "respond"
        await self.check_host()

    # A host must not refuse a large request while it has nothing else to do.
    async def test_one_large_request_in_calm(self):
        body = os.urandom(MAX_BODY_BYTES // 2).hex().encode()
        for path, servers in ((PLAIN_PATH, self.plain), (STREAMING_PATH, self.model)):
            status, _, _ = await self.fetch(path, method="POST", body=body)
            self.assertEqual(status, 200)
            _, _, received, _ = servers[0].executions[-1]
            self.assertEqual(received, body)
        await self.check_host()


if __name__ == "__main__":
    run_cases()
