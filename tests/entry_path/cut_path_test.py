#!/usr/bin/env python3
"""Tests responses of backend servers that end at any byte.

The comment of each test names the failure that it guards against.
"""

import asyncio
import itertools

from entry_path_fixture import EntryPathCase, encode_request, run_cases
from platform_standin import read_message

FRAMINGS = ["length", "chunked", "close"]
KINDS = {"document": "/pay/", "stream": "/chat/"}


class CutPath(EntryPathCase):
    async def fetch_whole(self, path, number):
        """Returns (status, body) of a whole response, or (0, b"") without one."""
        try:
            # The ids have one length, so that all cuts are at the same bytes.
            status, _, body = await self.fetch(path, method="POST", request_id=f"r-{number:06}")
            return status, body
        except (OSError, asyncio.IncompleteReadError):
            return 0, b""

    def cut_lengths(self, framing, kind):
        """Returns the lengths at which the response is certainly not whole.

        Without a length and chunks, the end of the connection is the proper end
        of a document, and of a stream that ends behind an event.
        """
        whole, head_length, ends = self.plain[0].framed_response(
            framing, kind == "stream", "r-000000"
        )
        lengths = set(range(0, len(whole)))
        if framing == "close":
            lengths -= set(ends) if kind == "stream" else set(range(head_length, len(whole)))
        return len(whole), sorted(lengths)

    # Guards against the start of a response that is passed on as a whole one.
    async def test_response_that_ends_early_is_no_success(self):
        numbers = itertools.count(1)
        for framing, (kind, path) in itertools.product(FRAMINGS, KINDS.items()):
            _, lengths = self.cut_lengths(framing, kind)
            for length in lengths:
                self.set_behaviour(self.plain + self.model, f"framed {framing} {kind} {length}")
                status, body = await self.fetch_whole(path, next(numbers))
                self.assertNotEqual(status, 200, f"{framing}, {kind}, {length} bytes: {body}")

    # Guards against the parts of several responses that are passed on as one
    # whole response, where the route allows another attempt.
    async def test_responses_that_end_early_one_after_another_are_no_success(self):
        numbers = itertools.count(1)
        for framing, (kind, path) in itertools.product(
            FRAMINGS, {"document": "/read/", "stream": "/long/"}.items()
        ):
            _, lengths = self.cut_lengths(framing, kind)
            for length in lengths[::7]:
                self.set_behaviour(self.plain + self.model, f"framed {framing} {kind} {length}")
                status, body = await self.fetch_whole(path, next(numbers))
                self.assertNotEqual(status, 200, f"{framing}, {kind}, {length} bytes: {body}")

    # Guards against bytes of a cut response in the response to the caller's next
    # request on the same connection.
    async def test_kept_connection_gets_whole_responses_after_a_cut_one(self):
        for framing in FRAMINGS:
            whole, head_length, _ = self.plain[0].framed_response(framing, False, "r-000000")
            reader, writer = await asyncio.open_connection("127.0.0.1", self.daemon.caller_port)
            for length, expected in [
                (head_length - 3, 502),
                (len(whole), 200),
                (head_length // 2, 502),
                (head_length - 1, 502),
                (len(whole), 200),
            ]:
                self.set_behaviour(self.plain, f"framed {framing} document {length}")
                writer.write(encode_request("/pay/", method="POST", request_id="r-000000"))
                line, _, body = await asyncio.wait_for(read_message(reader), 5)
                self.assertIn(f" {expected} ", line, f"{framing}, {length} bytes")
                self.assertEqual(expected == 200, body == b"a document of some length")
            writer.close()

    # Guards against whole responses that are taken for cut ones, and against
    # connections that are reused after a response that ended with them.
    async def test_whole_response_of_each_framing_is_a_success(self):
        numbers = itertools.count(1)
        for framing, (kind, path) in itertools.product(FRAMINGS, KINDS.items()):
            whole_length, _ = self.cut_lengths(framing, kind)
            self.set_behaviour(self.plain + self.model, f"framed {framing} {kind} {whole_length}")
            for _ in range(3):
                status, body = await self.fetch_whole(path, next(numbers))
                self.assertEqual(status, 200, f"{framing}, {kind}")
                expected = b"data: 3." if kind == "stream" else b"a document of some length"
                self.assertIn(expected, body, f"{framing}, {kind}")


if __name__ == "__main__":
    run_cases()
