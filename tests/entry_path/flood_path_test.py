#!/usr/bin/env python3
"""Tests an entry daemon with servers that send endless responses.

A flood is such a response. The comment of each test names the failure that the
test guards against.
"""

import asyncio
import time

from entry_path_fixture import EntryPathCase, wait_until, run_cases, send_request
from platform_standin import Flood

# A response that the daemon buffers has 16 MiB at most, and twice that while its
# string is reallocated. Does not hold for builds with a sanitizer, whose
# allocator retains freed memory.
MAX_GROWTH_BYTES = 32 * 1024 * 1024

# Well before the deadline of a request.
EARLY_END_S = 1


class FloodPath(EntryPathCase):
    async def check_floods(self, flooding_servers, peak_before):
        """Waits until all floods have ended; the daemon must close each early."""
        floods = [flood for server in flooding_servers for flood in server.floods]

        async def have_ended():
            return all(flood.closed_after_s or flood.has_timed_out() for flood in floods)

        await wait_until(have_ended, Flood.MAX_SECONDS + 1)
        growth_bytes = self.daemon.peak_resident_bytes() - peak_before
        measurements = (
            f"sent {[flood.sent_bytes for flood in floods]} bytes; "
            f"closed after {[flood.closed_after_s for flood in floods]} s; "
            f"memory grew by {growth_bytes} bytes"
        )
        self.assertTrue(floods)
        for flood in floods:
            self.assertIsNotNone(flood.closed_after_s, measurements)
            self.assertLess(flood.closed_after_s, EARLY_END_S, measurements)
        self.assertLess(growth_bytes, MAX_GROWTH_BYTES, measurements)

    async def check_flood(self, servers, flood_kind, path, expected):
        """Sends a request while `servers` respond with floods."""
        for server in servers:
            server.behaviour, server.flood_kind = "flood", flood_kind
            server.floods.clear()
        peak_before = self.daemon.peak_resident_bytes()
        started_at = time.monotonic()
        reader, writer = await send_request(self.daemon.caller_port, path, method="POST")
        try:
            received = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 10)
        finally:
            writer.close()
        elapsed_s = time.monotonic() - started_at
        self.assertIn(b"HTTP/1.1 %d " % expected, received[:13], f"{elapsed_s} s")
        self.assertLess(elapsed_s, EARLY_END_S)
        await self.check_floods(servers, peak_before)

    # Guards against an endless response head that holds a request until its
    # deadline.
    async def test_endless_head_fails_the_attempt(self):
        for flood_kind in [
            "binary",
            "blank_lines",
            "reason_phrase",
            "field_name",
            "field_value",
            "fields",
        ]:
            with self.subTest(flood_kind=flood_kind):
                await self.check_flood(self.plain, flood_kind, "/pay/", 502)

    # Guards against an endless body that is read until the deadline.
    async def test_endless_body_fails_the_attempt(self):
        for flood_kind, expected in [
            ("body", 502),
            ("body_until_close", 502),
            ("content_length", 502),
            ("unsigned", 502),
            ("rejection", 503),
        ]:
            with self.subTest(flood_kind=flood_kind):
                await self.check_flood(self.plain, flood_kind, "/pay/", expected)

    # Guards against a limit for endless bodies that truncates a finite body
    # which arrives slowly and in many chunks.
    async def test_long_slow_body_is_served(self):
        self.set_behaviour(self.plain, "slow_body")
        status, _, body = await self.fetch("/pay/", method="POST")
        self.assertEqual((status, len(body)), (200, 2_000_000))
        self.assertEqual(len(self.executions(self.plain)), 1)

    # Guards against endless chunk sizes, extensions and trailers, which no limit
    # of the head or the body counts.
    async def test_endless_framing_fails_the_attempt(self):
        for flood_kind in ["chunk_size", "chunk_extension", "chunk_extensions", "trailers"]:
            with self.subTest(flood_kind=flood_kind):
                await self.check_flood(self.plain, flood_kind, "/pay/", 502)

    # Guards against endless responses of the kinds that the daemon skips: interim
    # ones and those that do not belong to the request.
    async def test_endless_skipped_responses_fail_the_attempt(self):
        for flood_kind in [
            "interim",
            "mismatched_id_body",
            "mismatched_id_responses",
            "mismatched_id_until_close",
        ]:
            with self.subTest(flood_kind=flood_kind):
                await self.check_flood(self.plain, flood_kind, "/pay/", 502)

    # Guards against an endless event that fills the memory, because the daemon
    # relays whole events and buffers one until its end.
    async def test_endless_event_fails_the_attempt(self):
        await self.check_flood(self.model, "event", "/chat/", 502)

    # Guards against a stream that, after its first event, is held open by bytes
    # which yield no further event, and against the framing of a complete stream
    # at its end.
    async def test_started_stream_without_further_events_ends_early(self):
        for path, behaviour, flood_kind in [
            ("/chat/", "flood", "event_after_event"),
            ("/plan/", "cut_then_flood", "event"),
            ("/plan/", "cut_then_flood", "event_gap"),
            ("/plan/", "cut_then_flood", "repeated_event"),
        ]:
            with self.subTest(flood_kind=flood_kind, behaviour=behaviour):
                for server in self.model:
                    server.behaviour, server.flood_kind = behaviour, flood_kind
                    server.floods.clear()
                peak_before = self.daemon.peak_resident_bytes()
                started_at = time.monotonic()
                reader, writer = await send_request(self.daemon.caller_port, path, method="POST")
                received = await asyncio.wait_for(reader.read(), 10)
                elapsed_s = time.monotonic() - started_at
                writer.close()
                self.assertEqual(received.count(b"id: "), 1)
                self.assertFalse(received.endswith(b"0\r\n\r\n"))
                self.assertLess(elapsed_s, EARLY_END_S)
                await self.check_floods(self.model, peak_before)

    # Guards against a server whose floods do not count as failures, so that it
    # keeps getting requests, and against callers that wait while the daemon
    # reads a flood.
    async def test_one_flooding_server_does_not_delay_other_callers(self):
        self.plain[0].behaviour, self.plain[0].flood_kind = "flood", "body"
        results = []

        async def fetch_in_sequence(sequence):
            for number in range(10):
                started_at = time.monotonic()
                status, _, _ = await self.fetch("/read/", request_id=f"{sequence}-{number}")
                results.append((status, time.monotonic() - started_at < EARLY_END_S))

        await asyncio.gather(*(fetch_in_sequence(sequence) for sequence in range(4)))
        self.assertEqual(set(results), {(200, True)})
        # After its first failures, the server gets only an occasional probe.
        self.assertTrue(self.plain[0].floods)
        self.assertLess(len(self.plain[0].floods), 10)

    # Guards against an endless response of the store that fills the memory of
    # each host.
    async def test_endless_store_response_is_dropped(self):
        peak_before = self.daemon.peak_resident_bytes()
        self.store.fault = "flood"

        async def was_requested():
            return len(self.store.floods) >= 2

        await wait_until(was_requested, 5)
        self.store.fault = ""
        await self.check_floods([self.store], peak_before)
        self.assertEqual((await self.fetch("/read/"))[0], 200)

    # Guards against a keep-alive connection that stays open while the server
    # sends bytes after the end of its response.
    async def test_unsolicited_bytes_close_the_connection(self):
        await self.check_flood(self.plain, "after_response", "/pay/", 200)

    # Guards against a request that fails because a large response to another
    # request arrives first on its connection.
    async def test_large_response_to_another_request_is_skipped(self):
        self.set_behaviour(self.plain, "large_mismatched_id_first")
        status, _, body = await self.fetch("/pay/", method="POST")
        self.assertEqual((status, body), (200, b"whole"))

    # Guards against a rejected request that counts as executed because the
    # rejection has a large body.
    async def test_large_rejection_counts_as_not_executed(self):
        self.set_behaviour(self.plain, "large_rejection")
        status, headers, _ = await self.fetch("/pay/", method="POST")
        self.assertEqual(status, 503)
        self.assertIn("retry-after", headers)


if __name__ == "__main__":
    run_cases()
