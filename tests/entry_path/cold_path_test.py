#!/usr/bin/env python3
"""Tests the number of requests to engines that have just started.

Three daemons of one failure domain serve its engines; the engines count the
requests that arrive. The comment of each test names the failure that it guards
against.
"""

import asyncio
import itertools
import time

from entry_path_fixture import ROUTES, Daemon, EntryPathCase, fetch, run_cases, wait_until
from platform_standin import BackendServer, configuration

COLD_S = 3.0
COLD_PER_S = 10.0
OVERRUN = 1.5
ALLOWANCE = 5
MAX_REQUESTS_PER_S = COLD_PER_S * OVERRUN + ALLOWANCE
# Requests of callers: far more than the bound allows for one of three engines.
REQUESTS_PER_S = 150
# From the start of the daemons, before which hosts grant nothing on cold engines.
SETTLING_S = 2.5


def cold_configuration():
    result = configuration(1, ROUTES)
    service = result["services"][1]
    service["cold-start-s"] = COLD_S
    service["cold-per-s"] = COLD_PER_S
    service["inference-engine"]["capacity-slots"] = 24
    return result


class ColdPath(EntryPathCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.daemon.stop()
        self.store.write_json("op", "config", cold_configuration())
        self.daemons = [
            Daemon(
                self.store, f"host-{i}", "a", cold_overrun=OVERRUN, cold_allowance=ALLOWANCE
            )
            for i in range(3)
        ]
        for daemon in self.daemons:
            await wait_until(lambda daemon=daemon: self.is_ready(daemon), 8)
        await asyncio.sleep(SETTLING_S)
        self.callers = set()
        self.statuses = []

    async def asyncTearDown(self):
        for caller in list(self.callers):
            caller.cancel()
        await asyncio.gather(*self.callers, return_exceptions=True)
        for daemon in self.daemons:
            daemon.stop()
        await super().asyncTearDown()

    async def call(self, number):
        try:
            status, _, _ = await fetch(
                self.daemons[number % len(self.daemons)].caller_port,
                "/plan/",
                method="POST",
                request_id=f"r-{number}",
                Bronzehub_Prompt_Prefix=f"{number % 20:x}:50,{10000 + number:x}:100",
                Bronzehub_Token_Usage="150,20",
            )
        except (OSError, asyncio.IncompleteReadError):
            status = 0
        self.statuses.append(status)

    def start_traffic(self):
        async def send():
            next_at = time.monotonic()
            for number in itertools.count():
                task = asyncio.ensure_future(self.call(number))
                self.callers.add(task)
                task.add_done_callback(self.callers.discard)
                next_at += 1 / REQUESTS_PER_S
                await asyncio.sleep(max(0, next_at - time.monotonic()))

        self.callers.add(asyncio.ensure_future(send()))

    async def start_engine(self, cold_remaining_ms):
        engine = BackendServer(self.store, "m-new", "model")
        engine.behaviour = "stream"
        engine.cold_remaining_ms = cold_remaining_ms
        engine.born = 2
        await engine.start()
        self.model.append(engine)
        return engine

    @staticmethod
    def most_per_second(engine, until):
        times = sorted(at for at, *_ in engine.received_requests if at < until)
        return max(
            (sum(1 for at in times if first <= at < first + 1) for first in times), default=0
        )

    # Guards against the share of all callers' requests that a new engine got at
    # once, under which engines ended and came back cold.
    async def test_new_engine_gets_its_pace(self):
        self.start_traffic()
        await asyncio.sleep(1)
        for reported_ms in (int(COLD_S * 1000), 0):
            with self.subTest(reported_ms=reported_ms):
                started_at = time.monotonic()
                engine = await self.start_engine(reported_ms)
                await asyncio.sleep(COLD_S)
                most = self.most_per_second(engine, started_at + COLD_S)
                self.assertLessEqual(most, MAX_REQUESTS_PER_S)
                self.assertGreater(most, 0)
                del self.store.rows[("servers", engine.name)]
                await engine.stop()
                await asyncio.sleep(2)
        self.assertNotIn(0, self.statuses)

    # Guards against a third host that grants slots on a cold engine: while the
    # hosts disagree about the owner, each of them takes itself for it.
    async def test_lost_owners_do_not_add_up(self):
        self.start_traffic()
        await asyncio.sleep(1)
        started_at = time.monotonic()
        engine = await self.start_engine(int(COLD_S * 1000))
        await asyncio.sleep(0.8)
        self.daemons[0].process.kill()
        await asyncio.sleep(COLD_S - 0.8)
        self.assertLessEqual(
            self.most_per_second(engine, started_at + COLD_S), MAX_REQUESTS_PER_S
        )

    # Guards against a pace that goes on after the engine is warm.
    async def test_warm_engine_gets_its_share(self):
        engine = await self.start_engine(int(COLD_S * 1000))
        await asyncio.sleep(0.5)
        engine.cold_remaining_ms = 0
        engine.register("available")
        await asyncio.sleep(1.5)
        self.start_traffic()
        await wait_until(lambda: self.exceeds_pace(engine), 4)

    async def exceeds_pace(self, engine):
        return self.most_per_second(engine, time.monotonic()) > MAX_REQUESTS_PER_S


if __name__ == "__main__":
    run_cases()
