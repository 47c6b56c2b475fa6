#!/usr/bin/env python3
"""Tests what backend servers tell of themselves, in responses and in the store.

The comment of each test names the failure that it guards against.
"""

import asyncio
import json
import time

from entry_path_fixture import (
    ROUTES,
    Daemon,
    EntryPathCase,
    fetch,
    run_cases,
    wait_until,
)
from platform_standin import BackendServer, configuration, route


class ServerPath(EntryPathCase):
    def received(self, server, since=0.0):
        return [request for request in server.received_requests if request[0] >= since]

    async def fetch_all(self, path, count, daemon=None):
        """Sends requests one after another; returns their statuses."""
        port = (daemon or self.daemon).caller_port
        return [
            (await fetch(port, path, method="POST", request_id=f"r-{time.monotonic()}"))[0]
            for _ in range(count)
        ]

    # Guards against new requests to a server that announced its stop in a
    # response, while the store still lists it as available.
    async def test_server_that_is_leaving_by_its_own_word_gets_no_requests(self):
        for servers, path, behaviour in [
            (self.plain, "/read/", "respond"),
            (self.plain, "/read/", "error"),
            (self.plain, "/read/", "shed"),
            (self.model, "/chat/", "stream"),
            (self.model, "/plan/", "shed"),
        ]:
            with self.subTest(path=path, behaviour=behaviour):
                leaving, other = servers
                for server in servers:
                    server.received_requests.clear()
                leaving.behaviour, leaving.leaving = behaviour, True
                while not leaving.received_requests:
                    await self.fetch_all(path, 1)
                told_at = time.monotonic()
                self.assertEqual(set(await self.fetch_all(path, 8)), {200})
                leaving.register("available")
                await asyncio.sleep(0.8)  # Until the listing has been read again.
                self.assertEqual(set(await self.fetch_all(path, 8)), {200})
                self.assertEqual(self.received(leaving, told_at), [])

                leaving.behaviour, leaving.leaving = other.behaviour, False
                leaving.born += 1
                leaving.register("available")

                async def is_used_again():
                    await self.fetch_all(path, 4)
                    return bool(self.received(leaving, told_at))

                await wait_until(is_used_again)

    # Guards against requests of other hosts to a server that told one host that
    # it is about to stop.
    async def test_peers_learn_that_a_server_is_leaving(self):
        second_daemon = Daemon(self.store, "host-2")
        try:
            await wait_until(lambda: self.is_ready(second_daemon), 8)
            leaving = self.plain[0]
            leaving.leaving = True
            while not leaving.received_requests:
                await self.fetch_all("/read/", 1)
            await asyncio.sleep(0.1)
            told_at = time.monotonic()
            self.assertEqual(set(await self.fetch_all("/read/", 12, second_daemon)), {200})
            self.assertEqual(self.received(leaving, told_at), [])
        finally:
            second_daemon.stop()

    # Guards against requests to a server during the pause that it asked for, and
    # against a server that stays unused after it.
    async def test_server_that_asks_for_a_pause_gets_no_requests_until_its_end(self):
        for servers, path in [(self.plain, "/read/"), (self.model, "/plan/")]:
            with self.subTest(path=path):
                paused, other = servers
                paused.behaviour, paused.retry_after = "shed", 1.2
                while not paused.received_requests:
                    await self.fetch_all(path, 1)
                told_at = time.monotonic()
                paused.behaviour = other.behaviour
                while time.monotonic() < told_at + 1.0:
                    self.assertEqual(await self.fetch_all(path, 1), [200])
                self.assertEqual(self.received(paused, told_at), [])

                async def is_used_again():
                    await self.fetch_all(path, 1)
                    return bool(self.received(paused, told_at))

                await wait_until(is_used_again)

    # Guards against requests that wait or are sent although all servers asked
    # for a pause, and against callers that are told to come back too early.
    async def test_request_is_refused_at_once_while_all_servers_are_paused(self):
        for servers, path in [(self.plain, "/pay/"), (self.model, "/plan/")]:
            with self.subTest(path=path):
                for server in servers:
                    server.behaviour, server.retry_after = "shed", 2.5
                self.assertEqual(await self.fetch_all(path, 1), [503])
                for server in servers:
                    server.received_requests.clear()
                started_at = time.monotonic()
                status, headers, _ = await self.fetch(path, method="POST")
                self.assertEqual(status, 503)
                self.assertLess(time.monotonic() - started_at, 0.15)
                self.assertGreater(float(headers["retry-after"]), 2)
                self.assertEqual([self.received(server) for server in servers], [[], []])

    # Guards against a server that shuts itself out with a value that is no time,
    # or that is not a rejection's.
    async def test_malformed_retry_after_causes_no_pause(self):
        faulty = self.plain[0]
        for value in ["-5", "1e9", "soon", "inf", "", "Fri, 31 Dec 1999 23:59:59 GMT"]:
            with self.subTest(value=value):
                faulty.received_requests.clear()
                faulty.behaviour, faulty.retry_after = "shed", value
                while not faulty.received_requests:
                    await self.fetch_all("/read/", 1)
                told_at = time.monotonic()
                faulty.behaviour = "respond"

                async def is_used_again():
                    await self.fetch_all("/read/", 2)
                    return bool(self.received(faulty, told_at))

                await wait_until(is_used_again, 1)

    # Guards against a refusal of an earlier request that is taken for the
    # response to the present one: its caller would be told that it did not run,
    # or a second server would run it too.
    async def test_repeated_rejection_does_not_answer_a_later_request(self):
        for id_kind, statuses in [("earlier", [200]), ("none", [502])]:
            with self.subTest(id_kind=id_kind):
                for server in self.plain:
                    server.executions.clear()
                self.set_behaviour(self.plain, "shed")
                self.assertEqual(await self.fetch_all("/pay/", 1), [503])
                self.set_behaviour(self.plain, f"repeat_rejection {id_kind}")
                # At once, so that the connections are still reused.
                self.assertEqual(await self.fetch_all("/pay/", 1), statuses)
                self.assertEqual(len(self.executions(self.plain)), 1)

    # Guards against a process that ends, or that follows the other entries no
    # longer, because another writer left an entry that can't be read.
    async def test_odd_registrations_concern_only_themselves(self):
        base = {
            "service": "plain",
            "address": "127.0.0.1:9",
            "availability-zone": "a",
            "capacity-slots": 4,
            "state": "available",
            "born": 1,
        }

        def entry(**fields):
            named = {name.replace("_", "-"): value for name, value in fields.items()}
            return json.dumps({**base, **named}).encode()

        def raw_entry(field, text):
            fields = {name: value for name, value in base.items() if name != field}
            return json.dumps(fields).encode()[:-1] + f', "{field}": {text}}}'.encode()

        nested = "[" * 32000 + "]" * 32000
        odd_entries = [
            b"",
            b"\xff\xfe\x00",
            b"{broken",
            nested.encode(),
            b"[" * 65000,
            raw_entry("capacity-slots", nested),
            raw_entry("state", nested),
            raw_entry("address", '{"a":' * 10000 + "1" + "}" * 10000),
            raw_entry("capacity-slots", "1e400"),
            raw_entry("capacity-slots", "1" + "0" * 400),
            raw_entry("born", "-1e999"),
            raw_entry("born", "99999999999999999999999"),
            entry(capacity_slots=4294967300),
            entry(capacity_slots=-1),
            entry(capacity_slots="4"),
            entry(address="127.0.0.1:0"),
            entry(address="127.0.0.1:65536"),
            entry(address="127.0.0.1:-1"),
            entry(address="127.0.0.1"),
            entry(address="localhost:80"),
            entry(address={"ip": "127.0.0.1"}),
            entry(service="s" * 60000),
            entry(service=["plain"]),
            entry(state="resting"),
            entry(born="1"),
        ]
        for number, value in enumerate(odd_entries):
            self.store.write("servers", f"odd-{number}", value)
        self.store.write_json("servers", "odd\r\nX-Forged: 1", {**base, "slots": 4})
        added = BackendServer(self.store, "p-9", "plain")
        await added.start()
        try:

            for server in self.plain:
                server.pause_s = 0.05

            async def is_used():
                # Concurrent requests are spread over the servers.
                await asyncio.gather(*(self.fetch_all("/read/", 1) for _ in range(12)))
                return bool(added.executions)

            await wait_until(is_used)
            self.assertEqual(set(await self.fetch_all("/read/", 20)), {200})
            self.assertIsNone(self.daemon.process.poll())
            await asyncio.sleep(1)
            lines = [
                line
                for line in self.daemon.log_entries()
                if line["message"] == "registration unusable"
            ]
            self.assertEqual(len(lines), len(odd_entries) + 1)
            self.assertTrue(all(len(json.dumps(line)) < 600 for line in lines))
            _, _, metrics = await fetch(self.daemon.operator_port, "/metrics")
            self.assertNotIn(b"bronzehub_entry_bad_rows 0\n", metrics)
        finally:
            await added.stop()

    # Guards against servers that are left out for all callers because one caller
    # expects other weights, and against a caller that is kept waiting for them.
    async def test_expectation_of_other_weights_concerns_only_its_request(self):
        async def status(path, **fields):
            return (await self.fetch(path, method="POST", **fields))[0]

        for path in ["/chat/", "/plan/", "/long/"]:
            with self.subTest(path=path):
                for server in self.model:
                    server.received_requests.clear()
                for _ in range(6):
                    started_at = time.monotonic()
                    self.assertEqual(await status(path, Bronzehub_Expected_Version="2"), 421)
                    self.assertLess(time.monotonic() - started_at, 0.2)
                refused = [self.received(server) for server in self.model]
                # The servers have told their version.
                self.assertLessEqual(sum(map(len, refused)), 4)
                self.assertEqual(set(await self.fetch_all(path, 6)), {200})
                self.assertEqual(await status(path, Bronzehub_Expected_Version="1"), 200)
        self.model[0].weights = 2
        self.assertEqual(set(await self.fetch_all("/plan/", 12)), {200})

        async def is_found():
            return await status("/plan/", Bronzehub_Expected_Version="2") == 200

        await wait_until(is_found, 4)
        self.assertEqual(set(await self.fetch_all("/plan/", 4)), {200})

    # Guards against hundreds of hosts that each read a new configuration, or the
    # table of hosts, from the store.
    async def test_only_one_host_of_a_domain_reads_the_store(self):
        daemons = [Daemon(self.store, f"host-{number}") for number in range(2, 6)]
        try:
            for daemon in daemons:
                await wait_until(lambda: self.is_ready(daemon), 8)
            await asyncio.sleep(1)
            self.store.request_targets.clear()
            started_at = time.monotonic()
            self.store.write_json(
                "op", "config", configuration(2, ROUTES + [route("/new/", "idempotent")])
            )

            async def is_served():
                statuses = [
                    (await fetch(daemon.caller_port, "/new/"))[0]
                    for daemon in [self.daemon] + daemons
                ]
                return set(statuses) == {200}

            self.assertLess(await wait_until(is_served), 0.5)
            await asyncio.sleep(3)
            elapsed_s = time.monotonic() - started_at
            # A watch and a listing by the reader in each interval of 0.6 s.
            self.assertLess(
                len(self.store.request_targets),
                2 * elapsed_s / 0.6 + 3,
                self.store.request_targets,
            )
        finally:
            for daemon in daemons:
                daemon.stop()


if __name__ == "__main__":
    run_cases()
