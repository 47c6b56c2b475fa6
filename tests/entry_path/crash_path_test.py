#!/usr/bin/env python3
"""Tests requests that end the engines which begin to write on them.

Three daemons in two failure domains serve eight engines. The comment of each
test names the failure that it guards against.
"""

import asyncio
import itertools
import time

from entry_path_fixture import ROUTES, Daemon, fetch, run_cases, wait_until, EntryPathCase
from platform_standin import BackendServer, configuration

# Time after the fifth crash from which on only few requests with the crashing
# segment may reach a server, and half of the time after which the others must
# be served as before.
WINDOW_S = 2.0
CRASHES_BEFORE_WINDOW = 5
MAX_LATE_ARRIVALS = 3
# Longest time to a refusal, and the shortest Retry-After in it.
MAX_REFUSAL_S = 0.2
MIN_RETRY_AFTER_S = 3600
SOUND_INTERVAL_S = 1 / 40
CRASHING_INTERVAL_S = 1 / 4
SESSIONS = 20
HEAD = "a0"
BAD = "bad1"


def sound_prompt(number):
    return f"{HEAD}:600,{100 + number % SESSIONS:x}:1200,{10000 + number:x}:100"


def prompt_behind_head(number):
    return f"{HEAD}:600,{BAD}:1200,{20000 + number:x}:100"


def prompt_with_segment_first(number):
    return f"{BAD}:600,{100 + number % SESSIONS:x}:1200,{30000 + number:x}:100"


class CrashPath(EntryPathCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        for server in self.model:
            await server.stop()
            del self.store.rows[("servers", server.name)]
        self.engines = [
            BackendServer(self.store, f"e-{i}", "model", domain="ab"[i % 2]) for i in range(8)
        ]
        for engine in self.engines:
            engine.behaviour = "stream"
            engine.first_event_delay_s = 0.08
            await engine.start()
        self.daemon.stop()
        self.daemons = [self.start_daemon(i) for i in range(3)]
        await self.wait_until_ready()
        self.numbers = itertools.count()
        # (time, status) of each request, by whether it has the segment.
        self.results = {True: [], False: []}
        # (time, seconds to the response, status, headers) of each request with
        # the segment.
        self.refusals = []
        self.callers = set()

    async def asyncTearDown(self):
        for caller in list(self.callers):
            caller.cancel()
        await asyncio.gather(*self.callers, return_exceptions=True)
        for daemon in self.daemons:
            daemon.stop()
        for listener in self.plain + self.engines + [self.store]:
            await listener.stop()

    def start_daemon(self, number):
        return Daemon(self.store, f"host-{number}", "ab"[number % 2])

    async def wait_until_ready(self):
        for daemon in self.daemons:
            await wait_until(lambda daemon=daemon: self.is_ready(daemon), 8)

    async def call(self, number, prompt, has_segment):
        sent_at = time.monotonic()
        daemon = self.daemons[number % len(self.daemons)]
        try:
            status, headers, _ = await fetch(
                daemon.caller_port,
                "/plan/",
                method="POST",
                request_id=f"r-{number}",
                Bronzehub_Prompt_Prefix=prompt,
                Bronzehub_Token_Usage="1900,20",
            )
        except (OSError, asyncio.IncompleteReadError):
            status, headers = 0, {}
        if has_segment:
            self.refusals.append((sent_at, time.monotonic() - sent_at, status, headers))
        self.results[has_segment].append((sent_at, status))

    async def send_regularly(self, interval_s, make_prompt, has_segment):
        next_at = time.monotonic()
        while True:
            number = next(self.numbers)
            task = asyncio.ensure_future(self.call(number, make_prompt(number), has_segment))
            self.callers.add(task)
            task.add_done_callback(self.callers.discard)
            next_at += interval_s
            await asyncio.sleep(max(0, next_at - time.monotonic()))

    def start_traffic(self, crashing_prompt=None):
        senders = [self.send_regularly(SOUND_INTERVAL_S, sound_prompt, False)]
        if crashing_prompt:
            for engine in self.engines:
                engine.crashing_segment = BAD
            senders.append(self.send_regularly(CRASHING_INTERVAL_S, crashing_prompt, True))
        self.callers.update(asyncio.ensure_future(sender) for sender in senders)

    def crash_times(self):
        return sorted(itertools.chain(*(engine.crashes for engine in self.engines)))

    def arrivals_with_segment(self, since):
        return [
            (at, engine.name)
            for engine in self.engines
            for at, request_id, _, _ in engine.received_requests
            if at > since and self.has_segment(engine, request_id)
        ]

    def has_segment(self, engine, request_id):
        return any(
            engine.crashes_on(headers)
            for executed_id, headers, _, _ in engine.executions
            if executed_id == request_id
        )

    def served_share(self, since, until=float("inf")):
        statuses = [
            status for at, status in self.results[False] if since <= at < until
        ]
        return sum(status == 200 for status in statuses) / max(len(statuses), 1)

    async def check_few_engines_end(self, crashing_prompt, disturb=None):
        self.start_traffic()
        await asyncio.sleep(1)
        started_at = time.monotonic()
        served_before = self.served_share(0)
        self.start_traffic(crashing_prompt)
        await asyncio.sleep(3 * WINDOW_S)
        if disturb:
            await disturb()
        settled_at = time.monotonic()
        await asyncio.sleep(2 * WINDOW_S)
        crashes = self.crash_times()
        self.assertGreater(len(crashes), 0)
        if len(crashes) >= CRASHES_BEFORE_WINDOW:
            late = self.arrivals_with_segment(crashes[CRASHES_BEFORE_WINDOW - 1] + WINDOW_S)
            self.assertLessEqual(len(late), MAX_LATE_ARRIVALS, f"{len(crashes)} crashes")
        # With no engine ending any more, all but a few are served.
        sound_since = settled_at if disturb else started_at + 3 * WINDOW_S
        self.assertGreater(served_before, 0.9)
        self.assertGreater(self.served_share(sound_since, settled_at + 1.5 * WINDOW_S), 0.9)
        # A request that is never served is refused at once, and its caller is
        # told to stay away.
        for sent_at, elapsed_s, status, headers in self.refusals:
            if settled_at <= sent_at < settled_at + 1.5 * WINDOW_S:
                self.assertEqual(status, 503)
                self.assertLess(elapsed_s, MAX_REFUSAL_S)
                self.assertGreater(float(headers["retry-after"]), MIN_RETRY_AFTER_S)

    # Guards against one request after another that ends the engine which begins
    # to write on it.
    async def test_segment_behind_a_common_head_ends_few_engines(self):
        await self.check_few_engines_end(prompt_behind_head)

    async def test_segment_at_the_start_of_a_prompt_ends_few_engines(self):
        await self.check_few_engines_end(prompt_with_segment_first)

    # Guards against hosts that start without knowing which segments were found
    # to end engines, also when no other host is left that knew.
    async def test_restarted_hosts_send_no_requests_with_a_known_segment(self):
        async def restart_hosts():
            for number in range(len(self.daemons)):
                self.daemons[number].stop()
                self.daemons[number] = self.start_daemon(number)
                await self.wait_until_ready()
            for daemon in self.daemons:
                daemon.stop()
            self.daemons = [self.start_daemon(number) for number in range(3)]
            await self.wait_until_ready()

        await self.check_few_engines_end(prompt_behind_head, restart_hosts)

    # Guards against segments that are held back because the engines with all
    # their requests ended for another reason.
    async def test_segments_are_served_after_all_engines_ended_together(self):
        self.start_traffic()
        await asyncio.sleep(1)
        for _ in range(3):
            for engine in self.engines:
                engine.crash()
            await asyncio.sleep(2.5)
        back_at = time.monotonic()
        await asyncio.sleep(2)
        self.assertGreater(self.served_share(back_at, back_at + 1.5), 0.95)

    # Guards against segments that most requests share and that are held back
    # because a failure domain was cut off with resets, though no engine ended.
    async def test_segments_are_served_after_cuts_of_a_failure_domain(self):
        self.start_traffic()
        await asyncio.sleep(1)
        far = [engine for engine in self.engines if engine.domain == "b"]
        for _ in range(6):
            for engine in far:
                await engine.set_cut(True)
            await asyncio.sleep(1)
            for engine in far:
                await engine.set_cut(False)
            await asyncio.sleep(0.5)
        healed_at = time.monotonic()
        await asyncio.sleep(2)
        rows = [key for table, key in self.store.rows if table == "quarantined_segments"]
        self.assertEqual(rows, [])
        ended = [
            line
            for daemon in self.daemons
            for line in daemon.log_entries()
            if line["message"] == "backend server ended"
        ]
        self.assertEqual(ended, [])
        self.assertGreater(self.served_share(healed_at, healed_at + 1.5), 0.95)


if __name__ == "__main__":
    run_cases()
