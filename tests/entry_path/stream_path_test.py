#!/usr/bin/env python3
"""Tests streams through an entry daemon: complete, interrupted and resumed.

The comment of each test names the failure that it guards against.
"""

import asyncio
import contextlib
import signal

from entry_path_fixture import (
    Daemon,
    EntryPathCase,
    ROUTES,
    fetch,
    wait_until,
    run_cases,
    send_request,
)
from platform_standin import BackendServer, configuration, route


class StreamPath(EntryPathCase):
    # Guards against a lost or repeated event in an undisturbed stream.
    async def test_stream_is_relayed_with_all_its_events(self):
        status, _, body = await self.fetch("/chat/", method="POST", body=b"q")
        self.assertEqual(status, 200)
        self.assertEqual(body.count(b"\n\n"), 3)

    # Guards against a resumed stream with part of an event, a missing event or a
    # repeated one. The first server breaks the connection within an event.
    async def test_resumable_stream_resumes_after_its_last_event(self):
        self.model[0].behaviour = "stream_cut"
        for number in range(4):
            status, _, body = await self.fetch(
                "/plan/",
                method="POST",
                request_id=f"s-{number}",
                Bronzehub_Prompt_Prefix=f"a{number}:2000,b{number}:100",
            )
            ids = [line for line in body.decode().split("\n") if line.startswith("id")]
            self.assertEqual((status, ids), (200, ["id: 1", "id: 2", "id: 3"]))

    # Guards against an interrupted stream that reaches its caller with the
    # framing of a complete one, here on a route without resumption.
    async def test_interrupted_stream_is_not_framed_as_complete(self):
        self.set_behaviour(self.model, "stream_cut")
        reader, writer = await send_request(self.daemon.caller_port, "/chat/", method="POST")
        received = await asyncio.wait_for(reader.read(), 5)
        writer.close()
        self.assertIn(b"id: 1\n", received)
        self.assertNotIn(b"id: 2\n", received)
        self.assertFalse(received.endswith(b"0\r\n\r\n"))
        self.assertEqual(len(self.executions(self.model)), 1)

    # Guards against an interrupted stream that is framed as complete because the
    # server that should resume it responded with an error.
    async def test_error_response_to_a_resumption_does_not_complete_the_stream(self):
        for status in [400, 404, 429, 500, 503, 504]:
            with self.subTest(status=status):
                for server in self.model:
                    server.behaviour, server.resume_behaviours = "stream_cut", ["error"]
                    server.error_status = status
                    server.executions.clear()
                with self.assertRaises(asyncio.IncompleteReadError):
                    await self.fetch("/plan/", method="POST")
                self.assertEqual(len(self.executions(self.model)), 2)

    # Guards against a stream that ends although a third server could still
    # resume it, after the second one responded with an error.
    async def test_stream_is_resumed_at_the_next_server_after_an_error(self):
        third_server = BackendServer(self.store, "m-2", "model")
        await third_server.start()
        try:
            servers = self.model + [third_server]
            behaviours = ["error", "stream"]
            for server in servers:
                server.behaviour, server.resume_behaviours = "stream_cut", behaviours
            # The daemon reads the list of servers every 0.6 s.
            await asyncio.sleep(1)
            status, _, body = await self.fetch("/long/", method="POST")
            ids = [line for line in body.decode().split("\n") if line[:3] == "id:"]
            self.assertEqual((status, ids), (200, ["id: 1", "id: 2", "id: 3"]))
            self.assertEqual([len(server.executions) for server in servers], [1, 1, 1])
        finally:
            await third_server.stop()

    # Guards against a byte of an error in the middle of a stream, and against a
    # stream that ends as if it were complete, when the server that should
    # resume it responds with an error. On the route /long/, another server then
    # resumes the stream; on /plan/, no attempt is left.
    async def test_no_byte_of_an_error_reaches_the_caller_of_a_begun_stream(self):
        third_server = BackendServer(self.store, "m-2", "model")
        await third_server.start()
        servers = self.model + [third_server]
        try:
            await asyncio.sleep(1)  # Until the third server is listed.
            for kind in [
                "error_with_trailers",
                "error_that_closes",
                "error_that_breaks_off",
                "error_as_event_stream",
                "rejection_as_event_stream",
                "success_of_another_request",
                "unsigned_stream",
                "error_head_within_the_stream",
                "error_behind_half_an_event",
                "event_that_is_not_the_next",
            ]:
                for path, later_behaviours in [
                    ("/plan/", []),
                    ("/long/", ["stream"]),
                    ("/long/", [f"faulty_resumption {kind}"]),
                ]:
                    with self.subTest(kind=kind, path=path, later=later_behaviours):
                        behaviours = [f"faulty_resumption {kind}"] + later_behaviours
                        for server in servers:
                            server.behaviour = "stream_cut"
                            server.resume_behaviours = behaviours
                        await self.check_stream(path, resumed="stream" in later_behaviours)
        finally:
            await third_server.stop()

    async def check_stream(self, path, resumed):
        reader, writer = await send_request(
            self.daemon.caller_port, path, method="POST", Connection="close"
        )
        received = await asyncio.wait_for(reader.read(), 5)
        writer.close()
        self.assertTrue(received.startswith(b"HTTP/1.1 200 "))
        self.assertEqual(received.count(b"HTTP/1.1"), 1)
        self.assertNotIn(b"orged", received)
        ids = [line for line in received.split(b"\n") if line.startswith(b"id:")]
        self.assertEqual(len(ids), 3 if resumed else 1)
        self.assertEqual(received.endswith(b"0\r\n\r\n"), resumed)

    async def has_status(self, path, expected):
        return (await self.fetch(path, key=""))[0] == expected

    async def read_resumable_stream(self):
        """Requests a resumable stream; returns all bytes of the connection."""
        reader, writer = await send_request(
            self.daemon.caller_port, "/plan/", method="POST", Connection="close"
        )
        received = await asyncio.wait_for(reader.read(), 5)
        writer.close()
        return received

    # Guards against repeated events: if the last delivered event has no id, the
    # server that resumes the stream can't tell where to start.
    async def test_stream_without_event_ids_is_not_resumed(self):
        self.set_behaviour(self.model, "stream_cut")
        for server in self.model:
            server.events_before_cut = 2
        for last_event_with_id in [0, 1]:
            with self.subTest(last_event_with_id=last_event_with_id):
                for server in self.model:
                    server.resume_behaviours = ["stream"]
                    server.last_event_with_id = last_event_with_id
                received = await self.read_resumable_stream()
                self.assertEqual(received.count(b"data: 1."), 1)
                self.assertEqual(received.count(b"data: 2."), 1)
                self.assertFalse(received.endswith(b"0\r\n\r\n"))

    # Guards against a stream that is continued or completed by a response of
    # another content type.
    async def test_stream_is_resumed_only_by_a_stream(self):
        self.set_behaviour(self.model, "stream_cut")
        for json_body in [b"", b"{}", b"{}\n\n"]:
            with self.subTest(json_body=json_body):
                for server in self.model:
                    server.resume_behaviours = ["json"]
                    server.json_body = json_body
                received = await self.read_resumable_stream()
                self.assertIn(b"id: 1\n", received)
                self.assertNotIn(b"{}", received)
                self.assertFalse(received.endswith(b"0\r\n\r\n"))

    # Guards against a stream that is framed as complete when the server which
    # resumes it starts again at the first event and ends before the last event
    # that the caller has. Such a restart is valid if it gets beyond that event.
    async def test_restarted_stream_must_reach_the_last_delivered_event(self):
        self.set_behaviour(self.model, "stream_cut")
        for event_count in [3, 1]:
            with self.subTest(event_count=event_count):
                for server in self.model:
                    server.events_before_cut = 2
                    server.resume_behaviours = ["stream_restart"]
                    server.restarted_event_count = event_count
                received = await self.read_resumable_stream()
                self.assertEqual(received.count(b"id: 1\n"), 1)
                self.assertEqual(received.count(b"id: 2\n"), 1)
                self.assertEqual(received.count(b"id: 3\n"), int(event_count == 3))
                self.assertEqual(received.endswith(b"0\r\n\r\n"), event_count == 3)

    # Guards against an interrupted stream that is framed as complete because,
    # under a new configuration, its path matches a route without streams.
    async def test_removal_of_a_route_does_not_complete_its_streams(self):
        self.set_behaviour(self.model, "stream_cut")
        for server in self.model:
            server.resume_behaviours = ["stream"]
            server.cut_allowed.clear()
        read_task = asyncio.create_task(self.read_resumable_stream())

        async def request_started():
            return len(self.executions(self.model)) == 1

        await wait_until(request_started)
        routes = [each for each in ROUTES if each["path-prefix"] != "/plan/"]
        routes += [route("/", "idempotent", "model"), route("/new/", "idempotent")]
        self.store.write_json("op", "config", configuration(2, routes))

        async def is_served():
            return (await self.fetch("/new/"))[0] == 200

        await wait_until(is_served)
        for server in self.model:
            server.cut_allowed.set()
        received = await read_task
        self.assertIn(b"id: 1\n", received)
        self.assertFalse(received.endswith(b"0\r\n\r\n"))

    # Guards against a process that ends, and with it all its other requests,
    # when a stream is interrupted after a configuration has removed its route,
    # its key or its service.
    async def test_interrupted_stream_of_a_removed_route_ends_alone(self):
        routes = ROUTES + [route("/new/", "idempotent", public=True)]
        for removed, routes_left, keys in [
            ("route", [each for each in routes if each["path-prefix"] != "/plan/"], ("key-1",)),
            ("key", routes, ("key-2",)),
            ("service", routes, ("key-1",)),
        ]:
            with self.subTest(removed=removed):
                version = self.store.version + 1
                self.store.write_json("op", "config", configuration(version, ROUTES))
                self.set_behaviour(self.plain, "respond")
                await wait_until(lambda: self.has_status("/new/", 404))
                self.set_behaviour(self.model, "stream_cut")
                for server in self.model:
                    server.executions.clear()
                    server.resume_behaviours = ["stream"]
                    server.cut_allowed.clear()
                stream = asyncio.create_task(self.read_resumable_stream())

                async def request_started():
                    return len(self.executions(self.model)) == 1

                await wait_until(request_started)
                config = configuration(version + 1, routes_left, keys)
                if removed == "service":
                    config["services"] = config["services"][:1]
                self.store.write_json("op", "config", config)
                await wait_until(lambda: self.has_status("/new/", 200))
                for server in self.plain:
                    server.pause_s = 0.5
                lookup = asyncio.create_task(self.fetch("/open/"))
                await asyncio.sleep(0.2)
                for server in self.model:
                    server.cut_allowed.set()
                received = await stream
                self.assertIn(b"id: 1\n", received)
                self.assertFalse(received.endswith(b"0\r\n\r\n"))
                self.assertEqual((await lookup)[0], 200)
                self.assertIsNone(self.daemon.process.poll())

    # Guards against chunked encoding in a response to HTTP/1.0, which does not
    # have it. There, a close of the connection ends a complete stream, so an
    # interrupted stream must end with a reset.
    async def test_http_1_0_caller_gets_no_chunked_encoding(self):
        for behaviour in ["stream", "stream_cut"]:
            with self.subTest(behaviour=behaviour):
                self.set_behaviour(self.model, behaviour)
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", self.daemon.caller_port
                )
                writer.write(
                    b"POST /chat/ HTTP/1.0\r\nHost: h.example\r\n"
                    b"Api-Key: key-1\r\nContent-Length: 0\r\n\r\n"
                )
                if behaviour == "stream_cut":
                    with self.assertRaises(ConnectionResetError):
                        await asyncio.wait_for(reader.read(), 5)
                    continue
                received = await asyncio.wait_for(reader.read(), 5)
                writer.close()
                self.assertTrue(received.startswith(b"HTTP/1.1 200 "))
                self.assertNotIn(b"Transfer-Encoding", received)
                _, _, events = received.partition(b"\r\n\r\n")
                self.assertRegex(events, rb"\Aid: 1\n[^\r]*id: 3\ndata: 3\.m-\d\n\n\Z")

    # Guards against a shutdown that closes the connection of an unfinished
    # HTTP/1.0 stream: a close without a reset means a complete stream.
    async def test_shutdown_resets_unfinished_http_1_0_streams(self):
        for server in self.model:
            server.event_count, server.pause_s = 300, 0.05
        stopping_daemon = Daemon(self.store, "host-2", grace_period_ms=2500)
        try:
            await wait_until(lambda: self.is_ready(stopping_daemon), 8)
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", stopping_daemon.caller_port
            )
            writer.write(
                b"POST /chat/ HTTP/1.0\r\nHost: h.example\r\n"
                b"Api-Key: key-1\r\nContent-Length: 0\r\n\r\n"
            )
            await reader.readuntil(b"id: 1\n")
            stopping_daemon.process.send_signal(signal.SIGTERM)
            with self.assertRaises(ConnectionResetError):
                received = await asyncio.wait_for(reader.read(), 8)
                self.assertIn(b"id: 300\n", received)
            writer.close()
        finally:
            stopping_daemon.stop()

    # Guards against a stream that resumes with the events of another service
    # because a new configuration gave its route to that service.
    async def test_stream_is_not_resumed_by_the_new_service_of_its_route(self):
        self.set_behaviour(self.model, "stream_cut")
        for server in self.model:
            server.cut_allowed.clear()
        self.set_behaviour(self.plain, "stream")
        read_task = asyncio.create_task(self.read_resumable_stream())

        async def request_started():
            return len(self.executions(self.model)) == 1

        await wait_until(request_started)
        routes = [each for each in ROUTES if each["path-prefix"] != "/plan/"]
        routes += [
            route("/plan/", "streaming", "plain", stream_resumption=True),
            route("/new/", "idempotent"),
        ]
        self.store.write_json("op", "config", configuration(2, routes))

        async def is_served():
            return (await self.fetch("/new/", method="POST"))[0] == 200

        await wait_until(is_served)
        for server in self.model:
            server.cut_allowed.set()
        received = await read_task
        self.assertIn(b".m-", received)
        self.assertNotIn(b".p-", received)

    # Guards against a resumption whose outcome is missing in the log or in the
    # metrics.
    async def test_each_response_to_a_resumption_is_logged_and_counted(self):
        for behaviour, status, message, outcome_label in [
            ("stream", 200, None, 'end="stream ended"} 1'),
            ("error", 500, "attempt broken", 'end="broken"} 1'),
            ("drop", 0, "attempt broken", 'end="broken"} 2'),
        ]:
            with self.subTest(behaviour=behaviour):
                for server in self.model:
                    server.behaviour, server.resume_behaviours = "stream_cut", [behaviour]
                # Other tests check what the caller receives.
                with contextlib.suppress(asyncio.IncompleteReadError):
                    await self.fetch("/plan/", method="POST", request_id=behaviour)
                await asyncio.sleep(0.2)
                lines = [
                    line
                    for line in self.daemon.log_entries()
                    if line.get("request_id") == behaviour
                ]
                attempts = [(line["message"], line["status"]) for line in lines[:-1]]
                expected = [("attempt broken", 200)]
                expected += [(message, status)] if message else []
                self.assertEqual(attempts, expected)
                self.assertEqual(lines[-1]["resumptions"], 1)
                _, _, metrics = await fetch(self.daemon.operator_port, "/metrics")
                expected_metric = 'resumptions_total{service="model",' + outcome_label
                self.assertIn(expected_metric, metrics.decode())

    async def granted_tokens(self):
        """Returns the granted cost of each organisation, from the metrics."""
        _, _, metrics = await fetch(self.daemon.operator_port, "/metrics")
        result = {}
        for line in metrics.decode().splitlines():
            if 'what="granted"' in line and not line.startswith("#"):
                organisation = line.split('organisation="')[1].split('"')[0]
                result[organisation] = float(line.rsplit(" ", 1)[1])
        return result

    # Guards against a share that depends on the maximum that requests state:
    # both organisations generate equally long streams.
    async def test_organisations_are_charged_for_what_they_used(self):
        config = configuration(2, ROUTES)
        config["tenants"] = [
            {"name": "exact", "api-keys": ["key-1"]},
            {"name": "high", "api-keys": ["key-2"]},
        ]
        self.store.write_json("op", "config", config)
        for server in self.model:
            server.event_count, server.pause_s = 12, 0

        async def is_in_force():
            status, _, _ = await self.fetch("/read/", key="key-2")
            return status == 200

        await wait_until(is_in_force)

        async def send_pairs(count):
            for _ in range(count):
                for key, usage in [("key-1", "100,96"), ("key-2", "100,4096")]:
                    status, _, _ = await self.fetch(
                        "/chat/", method="POST", key=key, Bronzehub_Token_Usage=usage
                    )
                    self.assertEqual(status, 200)

        await send_pairs(40)
        before = await self.granted_tokens()
        await send_pairs(20)
        after = await self.granted_tokens()
        exact, high = (after[name] - before[name] for name in ("exact", "high"))
        self.assertLess(high / exact, 1.1)
        self.assertGreater(high / exact, 0.9)


if __name__ == "__main__":
    run_cases()
