"""Counts the system calls of an entry daemon per request and per stream event.

    entry_cost.py <path of bronzehub-entryd> [requests]

Runs the daemon under strace against the stand-in of tests/entry_path. Requests
with different numbers of events, compared with a run without requests, give the
cost of each. Counts do not depend on the load of the machine. Needs strace.
"""

import asyncio
import collections
import os
import signal
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "../../tests/entry_path"))

import entry_path_fixture  # noqa: E402
from entry_path_fixture import ROUTES, Daemon, fetch, wait_until  # noqa: E402
from platform_standin import BackendServer, Store, configuration  # noqa: E402

# Requests that are open at the same time.
CONCURRENCY = 16
SECONDS = 6


async def is_ready(daemon):
    try:
        status, _, _ = await fetch(daemon.readiness_port, "/api/readiness")
        return status == 200
    except (OSError, asyncio.IncompleteReadError):
        return False


def read_counts(path):
    """System calls by name, from the table of `strace -c`."""
    counts = collections.Counter()
    with open(path, encoding="utf-8") as table:
        for line in table:
            words = line.split()
            if len(words) >= 5 and words[0][:1].isdigit() and words[-1] != "total":
                counts[words[-1]] += int(words[3])
    return counts


async def measure(program, requests, path, events):
    """System calls of a daemon that serves this many requests in SECONDS."""
    store = Store()
    await store.start()
    replicas = [BackendServer(store, f"m-{i}", "model", slots=64) for i in range(2)]
    replicas += [BackendServer(store, f"p-{i}", "plain", slots=64) for i in range(2)]
    for replica in replicas:
        await replica.start()
        replica.behaviour = "stream" if replica.service == "model" else "respond"
        replica.event_count = events
    store.write_json("op", "config", configuration(1, ROUTES))
    with tempfile.NamedTemporaryFile(suffix=".strace") as table:
        # With -D, the process that is started is the daemon itself.
        entry_path_fixture.PROGRAM = program
        entry_path_fixture.COMMAND_PREFIX = ["strace", "-D", "-c", "-f", "-o", table.name]
        daemon = Daemon(store)
        await wait_until(lambda: is_ready(daemon), 10)
        began = time.monotonic()
        gate = asyncio.Semaphore(CONCURRENCY)

        async def one(number):
            async with gate:
                status, _, _ = await fetch(
                    daemon.caller_port, path, request_id=f"r-{number}"
                )
                return status

        statuses = collections.Counter(
            await asyncio.gather(*(one(number) for number in range(requests)))
        )
        await asyncio.sleep(max(0.0, SECONDS - (time.monotonic() - began)))
        daemon.process.send_signal(signal.SIGTERM)
        while daemon.process.poll() is None:
            await asyncio.sleep(0.05)
        while not (counts := read_counts(table.name)):
            await asyncio.sleep(0.05)
        daemon.stop()
    for listener in replicas + [store]:
        await listener.stop()
    return counts, statuses


def difference(more, fewer, divisor):
    names = set(more) | set(fewer)
    return {
        name: (more[name] - fewer[name]) / divisor
        for name in sorted(names, key=lambda name: fewer[name] - more[name])
        if abs(more[name] - fewer[name]) / divisor > 0.02
    }


def show(title, counts):
    total = sum(counts.values())
    parts = ", ".join(f"{name} {count:.2f}" for name, count in counts.items())
    print(f"{title}: {total:.1f} system calls ({parts})")


async def main(program, requests):
    idle, _ = await measure(program, 0, "/chat/x", 1)
    plain, statuses = await measure(program, requests, "/read/x", 1)
    show(f"plain request {dict(statuses)}", difference(plain, idle, requests))
    refused, statuses = await measure(program, requests, "/nowhere/", 1)
    show(f"refused request {dict(statuses)}", difference(refused, idle, requests))
    few, statuses = await measure(program, requests, "/chat/x", 1)
    show(f"stream of one event {dict(statuses)}", difference(few, idle, requests))
    many, statuses = await measure(program, requests, "/chat/x", 11)
    show(f"further event {dict(statuses)}", difference(many, few, requests * 10))


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], int(sys.argv[2]) if len(sys.argv) > 2 else 300))
