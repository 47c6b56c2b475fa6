#!/usr/bin/env python3
"""Servers that send an entry daemon bytes without end.

Each test names the failure that it guards against.
"""

import asyncio
import time

from entry_path_fixture import EntryPathCase, eventually, run_cases, send
from platform_standin import Flood

# Bytes. A response that is kept until it is whole has 16 MiB at most, and twice
# that while it moves to a larger string. For builds without a sanitizer, whose
# allocator keeps freed memory.
MAX_GROWTH = 32 * 1024 * 1024

# Seconds, well before the deadline of a request.
EARLY = 1


class FloodPath(EntryPathCase):
    async def check_floods(self, sources, peak):
        """Waits until all floods are over; each must have been cut early."""
        floods = [each for source in sources for each in source.floods]

        async def are_over():
            return all(each.closed_after or each.is_over() for each in floods)

        await eventually(are_over, Flood.MAX_SECONDS + 1)
        grown = self.daemon.resident_peak() - peak
        figures = (
            f"sent {[each.sent for each in floods]} bytes; "
            f"closed after {[each.closed_after for each in floods]} s; "
            f"memory grew by {grown} bytes"
        )
        self.assertTrue(floods)
        for each in floods:
            self.assertIsNotNone(each.closed_after, figures)
            self.assertLess(each.closed_after, EARLY, figures)
        self.assertLess(grown, MAX_GROWTH, figures)

    async def check_flood(self, replicas, flood, path, expected):
        """Asks while `replicas` send bytes without end."""
        for replica in replicas:
            replica.act, replica.flood = "flood", flood
            replica.floods.clear()
        peak = self.daemon.resident_peak()
        began = time.monotonic()
        reader, writer = await send(self.daemon.callers, path, method="POST")
        try:
            received = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 10)
        finally:
            writer.close()
        seconds = time.monotonic() - began
        self.assertIn(b"HTTP/1.1 %d " % expected, received[:13], f"{seconds} s")
        self.assertLess(seconds, EARLY)
        await self.check_floods(replicas, peak)

    # Guards against a head without end that holds a request until its deadline.
    async def test_a_head_without_end_ends_the_attempt(self):
        for flood in [
            "binary",
            "blank_lines",
            "reason_phrase",
            "field_name",
            "field_value",
            "fields",
        ]:
            with self.subTest(flood=flood):
                await self.check_flood(self.plain, flood, "/pay/", 502)

    # Guards against a body without end that is read until the deadline.
    async def test_a_body_without_end_ends_the_attempt(self):
        for flood, expected in [
            ("body", 502),
            ("body_until_close", 502),
            ("announced_length", 502),
            ("unsigned", 502),
            ("rejection", 503),
        ]:
            with self.subTest(flood=flood):
                await self.check_flood(self.plain, flood, "/pay/", expected)

    # Guards against a limit that cuts what is only long and slow.
    async def test_a_long_slow_body_is_served(self):
        self.set_all(self.plain, "long")
        status, _, body = await self.ask("/pay/", method="POST")
        self.assertEqual((status, len(body)), (200, 2_000_000))
        self.assertEqual(len(self.runs(self.plain)), 1)

    # Guards against bytes around a body that no limit counts.
    async def test_framing_without_end_ends_the_attempt(self):
        for flood in ["chunk_extension", "chunk_extensions", "trailers"]:
            with self.subTest(flood=flood):
                await self.check_flood(self.plain, flood, "/pay/", 502)

    # Guards against responses to be skipped that never end.
    async def test_skipped_responses_without_end_end_the_attempt(self):
        for flood in [
            "interim",
            "foreign_body",
            "foreign_responses",
            "foreign_until_close",
        ]:
            with self.subTest(flood=flood):
                await self.check_flood(self.plain, flood, "/pay/", 502)

    # Guards against an event without end that fills the memory.
    async def test_an_event_without_end_ends_the_attempt(self):
        await self.check_flood(self.model, "event", "/chat/", 502)

    # Guards against a begun stream that is held open by bytes without events,
    # and against an end that looks proper.
    async def test_a_begun_stream_without_further_events_ends_early(self):
        for path, act, flood in [
            ("/chat/", "flood", "event_after_event"),
            ("/plan/", "cut_then_flood", "event"),
            ("/plan/", "cut_then_flood", "gap"),
            ("/plan/", "cut_then_flood", "repeats"),
        ]:
            with self.subTest(flood=flood, act=act):
                for replica in self.model:
                    replica.act, replica.flood = act, flood
                    replica.floods.clear()
                peak = self.daemon.resident_peak()
                began = time.monotonic()
                reader, writer = await send(self.daemon.callers, path, method="POST")
                received = await asyncio.wait_for(reader.read(), 10)
                seconds = time.monotonic() - began
                writer.close()
                self.assertEqual(received.count(b"id: "), 1)
                self.assertFalse(received.endswith(b"0\r\n\r\n"))
                self.assertLess(seconds, EARLY)
                await self.check_floods(self.model, peak)

    # Guards against a server that is not held to account for its bytes, and
    # against callers who wait while they are read.
    async def test_one_server_without_end_does_not_delay_other_callers(self):
        self.plain[0].act, self.plain[0].flood = "flood", "body"
        results = []

        async def ask_in_turn(lane):
            for number in range(10):
                began = time.monotonic()
                status, _, _ = await self.ask("/read/", request_id=f"{lane}-{number}")
                results.append((status, time.monotonic() - began < EARLY))

        await asyncio.gather(*(ask_in_turn(lane) for lane in range(4)))
        self.assertEqual(set(results), {(200, True)})
        # After the first failures, the server gets a probe now and then.
        self.assertTrue(self.plain[0].floods)
        self.assertLess(len(self.plain[0].floods), 10)

    # Guards against a store whose answer fills the memory of each host.
    async def test_an_answer_of_the_store_without_end_is_dropped(self):
        peak = self.daemon.resident_peak()
        self.store.fault = "flood"

        async def asked():
            return len(self.store.floods) >= 2

        await eventually(asked, 5)
        self.store.fault = ""
        await self.check_floods([self.store], peak)
        self.assertEqual((await self.ask("/read/"))[0], 200)

    # Guards against a kept connection on which bytes go on arriving.
    async def test_bytes_after_a_response_close_the_connection(self):
        await self.check_flood(self.plain, "after_response", "/pay/", 200)

    # Guards against a request that fails because the late response to another
    # request is large.
    async def test_a_large_foreign_response_is_skipped(self):
        self.set_all(self.plain, "large_foreign_first")
        status, _, body = await self.ask("/pay/", method="POST")
        self.assertEqual((status, body), (200, b"whole"))

    # Guards against a rejected request that counts as run, because the
    # rejection has a large body.
    async def test_a_large_rejection_still_states_that_nothing_ran(self):
        self.set_all(self.plain, "large_rejection")
        status, headers, _ = await self.ask("/pay/", method="POST")
        self.assertEqual(status, 503)
        self.assertIn("retry-after", headers)


if __name__ == "__main__":
    run_cases()
