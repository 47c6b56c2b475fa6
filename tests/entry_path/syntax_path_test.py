#!/usr/bin/env python3
"""Tests that requests are read as RFC 9110 and RFC 9112 write them.

tests/support/request_syntax_cases.json has the cases, which the test of the
parser shares.
"""

import asyncio
import json
import os

from entry_path_fixture import EntryPathCase, run_cases
from platform_standin import REQUEST_ID_HEADER, read_message

CASES = os.path.join(
    os.path.dirname(os.path.abspath(__file__)), "..", "support", "request_syntax_cases.json"
)


class SyntaxPathTest(EntryPathCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        for server in self.plain:
            server.pause_s = 0

    async def exchange(self, request):
        """Sends bytes on a new connection; returns the status and what follows.

        The latter is "" if the daemon closed the connection, None if it did not.
        """
        reader, writer = await asyncio.open_connection("127.0.0.1", self.daemon.caller_port)
        try:
            writer.write(request)
            line, _, _ = await asyncio.wait_for(read_message(reader), 5)
            status = int(line.split(" ")[1])
            if status != 400:
                return status, None
            return status, await asyncio.wait_for(reader.read(), 5)
        finally:
            writer.close()

    async def forwarded(self, case, request_id):
        """Checks one case; returns the request that a server got, if any."""
        own_fields = f"{REQUEST_ID_HEADER}: {request_id}\r\nApi-Key: key-1\r\n"
        text = case["bytes"].replace("@", own_fields)
        status, rest = await self.exchange(text.encode())
        if case["accepted"]:
            self.assertEqual(status, 200)
        else:
            self.assertEqual((status, rest), (400, b""))
        requests = [entry for entry in self.executions(self.plain) if entry[0] == request_id]
        self.assertEqual(len(requests), int(case["accepted"]))
        return requests[0] if requests else None

    # Guards against request smuggling, and against fields that a server gets
    # although they belong to the connection or to a trailer.
    async def test_only_well_formed_requests_reach_a_server(self):
        with open(CASES) as file:
            cases = json.load(file)
        for number, case in enumerate(cases):
            with self.subTest(case["name"]):
                request = await self.forwarded(case, f"r-{number}")
                if request is None:
                    continue
                _, headers, body, line = request
                self.assertEqual(body.decode(), case["body"])
                self.assertEqual(line.split(" ")[1], case.get("target", "/read/"))
                for name, value in case.get("fields", {}).items():
                    self.assertEqual(headers.get(name), value)
                for name in case.get("absent", []):
                    self.assertNotIn(name, headers)
        ran = {entry[0] for entry in self.executions(self.plain)}
        self.assertLessEqual(ran, {f"r-{number}" for number in range(len(cases))})

    # Guards against a request hidden in the body of another: a server that
    # accepts a blank before the colon would run it, in the name of any
    # organisation.
    async def test_hidden_request_does_not_run(self):
        for field, status in [("Transfer-Encoding :", 400), ("Transfer-Encoding:", 200)]:
            for number in range(10):
                request_id = f"{status}-{number}"
                hidden = (
                    "0\r\n\r\nPOST /pay/hidden HTTP/1.1\r\nHost: h.example\r\n"
                    f"{REQUEST_ID_HEADER}: never-sent-{number}\r\n"
                    "Bronzehub-Tenant: other\r\nContent-Length: 0\r\n\r\n"
                )
                request = (
                    f"POST /pay/own HTTP/1.1\r\nHost: h.example\r\n{REQUEST_ID_HEADER}: "
                    f"{request_id}\r\nBronzehub-Deadline-Ms: 1500\r\nApi-Key: key-1\r\n"
                    f"{field} chunked\r\n\r\n{len(hidden):x}\r\n{hidden}\r\n0\r\n\r\n"
                )
                self.assertEqual((await self.exchange(request.encode()))[0], status)
        await asyncio.sleep(0.5)
        ran = sorted(entry[0] for entry in self.executions(self.plain))
        self.assertEqual(ran, [f"200-{number}" for number in range(10)])


if __name__ == "__main__":
    run_cases()
