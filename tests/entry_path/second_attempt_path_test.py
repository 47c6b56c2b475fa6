#!/usr/bin/env python3
"""Tests second attempts at requests whose response is late.

The comment of each test names the failure that the test guards against.
"""

import asyncio

from entry_path_fixture import Daemon, EntryPathCase, fetch, run_cases, wait_until

# Enough for the quantile of a limit of ten percent.
LEARNT_REQUESTS = 60


class SecondAttemptPath(EntryPathCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.hedging = Daemon(
            self.store, name="host-2", settings={"hedging": {"extra_work_percent": 10}}
        )
        await wait_until(lambda: self.is_ready(self.hedging), 8)

    async def asyncTearDown(self):
        self.hedging.stop()
        await super().asyncTearDown()

    async def learn(self, path, **options):
        for number in range(LEARNT_REQUESTS):
            status, _, _ = await fetch(
                self.hedging.caller_port, path, request_id=f"learn-{number}", **options
            )
            self.assertEqual(status, 200)

    def hang_first(self):
        """Lets the server that gets the next request hang, and no other."""
        state = {"hung": False}

        async def respond(server, reader, writer, request_id, headers):
            if not state["hung"]:
                state["hung"] = True
                await server.handle_hang(reader, writer, request_id, headers)
            else:
                await server.handle_respond(reader, writer, request_id, headers)

        for server in self.plain:
            server.behaviour = "hang_first"
            server.handle_hang_first = lambda *a, server=server: respond(server, *a)
        return state

    async def test_a_late_read_is_answered_by_a_second_server(self):
        # Guards against a caller that waits until its deadline for a disturbed
        # server while another one is idle.
        await self.learn("/read/x")
        state = self.hang_first()
        status, _, _ = await fetch(self.hedging.caller_port, "/read/x", request_id="late")
        self.assertTrue(state["hung"])
        self.assertEqual(status, 200)

        # Guards against a server that goes on working for a lost attempt.
        async def is_cancelled():
            return any(server.aborted_requests for server in self.plain)

        await wait_until(is_cancelled)

    async def test_a_payment_gets_no_second_attempt(self):
        # Guards against running a request twice that must run once.
        await self.learn("/pay/x", method="POST")
        self.hang_first()
        status, _, _ = await fetch(
            self.hedging.caller_port, "/pay/x", method="POST", request_id="late"
        )
        self.assertEqual(status, 504)

    async def test_a_broken_second_attempt_may_have_run(self):
        # Guards against a 503, which promises that the request has not run,
        # after the second server got it and the first one rejected it.
        await self.learn("/read/x")
        broken = asyncio.Event()
        received = []

        async def respond(server, reader, writer, request_id, headers):
            received.append(server.name)
            if len(received) == 1:
                await broken.wait()
                await asyncio.sleep(0.1)
                writer.write(server.rejection(request_id))
                return True
            broken.set()
            return await server.handle_drop(reader, writer, request_id, headers)

        for server in self.plain:
            server.behaviour = "reject_late"
            server.handle_reject_late = lambda *a, server=server: respond(server, *a)
        status, _, _ = await fetch(self.hedging.caller_port, "/read/x", request_id="late")
        self.assertEqual(len(set(received)), 2)
        self.assertEqual(status, 502)

    async def test_without_the_setting_there_is_no_second_attempt(self):
        # Guards against extra work on servers whose operators did not ask for it.
        self.hedging.stop()
        self.hedging = Daemon(self.store, name="host-3")
        await wait_until(lambda: self.is_ready(self.hedging), 8)
        await self.learn("/read/x")
        self.hang_first()
        status, _, _ = await fetch(self.hedging.caller_port, "/read/x", request_id="late")
        self.assertEqual(status, 504)


if __name__ == "__main__":
    run_cases()
