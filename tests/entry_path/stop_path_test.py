#!/usr/bin/env python3
"""Tests planned stops of a daemon whose requests take long.

The comment of each test names the failure that it guards against.
"""

import asyncio
import signal
import time

from entry_path_fixture import EntryPathCase, fetch, run_cases, wait_until
from platform_standin import BackendServer, configuration, route

# Grace period of the daemons, and the time after the signal for which callers
# still send requests.
GRACE_S = 8.0
SENDING_S = 3.0
WORK_S = 2.5
ROUTES = [
    route("/book/", "non_idempotent", timeout_ms=12000),
    route("/look/", "idempotent", timeout_ms=12000),
]


class StopPath(EntryPathCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        for server in self.plain:
            await server.stop()
            del self.store.rows[("servers", server.name)]
        self.plain = [BackendServer(self.store, f"q-{i}", "plain", slots=3) for i in range(2)]
        for server in self.plain:
            server.behaviour = "queue"
            server.work_s = WORK_S
            await server.start()
        self.store.write_json("op", "config", configuration(2, ROUTES))
        await wait_until(self.serves_new_route, 8)

    async def serves_new_route(self):
        status, _, _ = await self.fetch("/book/", method="POST", Bronzehub_Deadline_Ms="12000")
        return status == 200

    async def send(self, path, request_id, results):
        sent_at = time.monotonic()
        try:
            status, headers, _ = await fetch(
                self.daemon.caller_port,
                path,
                method="POST",
                request_id=request_id,
                Bronzehub_Deadline_Ms="12000",
            )
        except ConnectionRefusedError:
            status, headers = "refused", {}
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            status, headers = "no response", {}
        results[request_id] = (status, sent_at, time.monotonic() - sent_at, headers)

    async def stop_under_load(self, path, before_s, interval_s):
        """Sends requests until `SENDING_S` after SIGTERM; returns the results."""
        results, tasks = {}, []
        started_at = time.monotonic()
        stopped_at = started_at + before_s
        while time.monotonic() < stopped_at + SENDING_S:
            if time.monotonic() >= stopped_at and not hasattr(self, "signalled_at"):
                self.signalled_at = time.monotonic()
                self.daemon.process.send_signal(signal.SIGTERM)
            request_id = f"b-{len(tasks)}"
            tasks.append(asyncio.ensure_future(self.send(path, request_id, results)))
            await asyncio.sleep(interval_s)
        await asyncio.gather(*tasks)
        await wait_until(self.has_exited, 10)
        self.assertLess(time.monotonic() - self.signalled_at, GRACE_S)
        self.assertEqual(self.daemon.process.returncode, 0)
        return results

    def begun(self):
        return set().union(*(server.begun_requests for server in self.plain))

    # Guards against requests that are taken late in a stop and cut without a
    # response at its end, and against bookings of which nobody knows whether
    # they ran.
    async def test_bookings_during_a_stop_run_to_their_end_or_not_at_all(self):
        results = await self.stop_under_load("/book/", 3.0, 0.2)
        statuses = [status for status, *_ in results.values()]
        self.assertNotIn("no response", statuses)
        begun = self.begun()
        for request_id, (status, sent_at, _, headers) in results.items():
            at = f"{request_id} sent {sent_at - self.signalled_at:.2f} s after the signal"
            if status == 503:
                self.assertNotIn(request_id, begun, at)
                self.assertIn("retry-after", headers)
            else:
                self.assertEqual(status, 200, at)
        self.assertGreater(statuses.count(200), 8)

    # Guards against requests that end without a response because the time of
    # the stop is up.
    async def test_requests_left_at_the_end_of_a_stop_get_a_response(self):
        for server in self.plain:
            server.work_s = 20
        results = await self.stop_under_load("/look/", 0.5, 0.2)
        statuses = [status for status, *_ in results.values()]
        self.assertNotIn("no response", statuses)
        self.assertLessEqual(set(statuses), {502, 503})
        begun = self.begun()
        for request_id, (status, *_) in results.items():
            self.assertFalse(status == 503 and request_id in begun, request_id)


if __name__ == "__main__":
    run_cases()
