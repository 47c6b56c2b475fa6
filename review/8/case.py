"""Bookings at a replica that fails part of its requests."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import harness_2 as h  # noqa: E402

REPLICAS = 7
# Of the site's srv_grey: the share of its requests that a replica fails.
FAILED_SHARE = 0.45
BOOKINGS_PER_S = 22.6
DURATION_S = 6.0
PROMISES = (408, 421, 429, 503)


class GreyReplica(h.Replica):
    """Once grey, runs each request but answers some of them with a failure.

    The failure bears its signature and no `Bronzehub-Not-Executed`, as the
    request has run.
    """

    grey = False
    due = 0.0

    async def handle(self, writer, request_id, target, body):
        self.due += FAILED_SHARE
        if not self.grey or self.due < 1:
            await super().handle(writer, request_id, target, body)
            return
        self.due -= 1
        await asyncio.sleep(0.015)
        writer.write(
            h.encode_response(
                503,
                {
                    "Bronzehub-Attempt-Id": request_id,
                    "Bronzehub-Replica-Signature": f"{self.name}.{request_id}",
                },
                b"booked, but the receipt could not be written\n",
            )
        )
        self.record(f"{self.name} has run {request_id} and fails with 503")


async def book(record, address, number, answers):
    """Books; after a promise that the request has not run, books once more.

    Clients retry such requests "only after a promise", with an id of its own
    for each attempt and on a new connection.
    """
    for _ in range(2):
        request_id = h.new_id()
        reader, writer = await asyncio.open_connection(address, 8783)
        record(f"client sends booking {number} as {request_id}")
        body = f"booking {number}".encode()
        writer.write(h.encode_request(request_id, "/swap/x", "POST", body, deadline_ms=600))
        try:
            line, headers, _ = await asyncio.wait_for(h.read_message(reader), 2)
            answers[request_id] = int(line.split(" ")[1])
            signed = "signed" if "bronzehub-replica-signature" in headers else "not signed"
            record(f"client gets {line} to {request_id}, {signed}")
        except (asyncio.IncompleteReadError, asyncio.TimeoutError, ConnectionError) as error:
            record(f"client gets no answer to {request_id}: {type(error).__name__}")
        writer.close()
        if answers.get(request_id) not in PROMISES:
            return
        await asyncio.sleep(0.05)


async def case(record, folder):
    store = h.Store()
    await store.start()
    replicas = [
        GreyReplica(store, record, f"i-app{n}", "rota-app", "lakes-a") for n in range(REPLICAS)
    ]
    for replica in replicas:
        await replica.start()
    store.write_json("op", "config", h.configuration(7, [h.route("/swap/", "non_idempotent")]))
    (ip,) = h.free_loopback_addresses(1)
    machine = h.Machine(folder, ip, "edge-lakes-a-1", "lakes-a", store.address)
    try:
        await machine.wait_ready()
        if h.trouble():
            record(f"replica {replicas[0].name} turns grey")
            replicas[0].grey = True
        answers, tasks = {}, []
        for group in range(int(BOOKINGS_PER_S * DURATION_S / 3)):
            # Three at a time, so that several replicas get some.
            tasks += [
                asyncio.ensure_future(book(record, ip, 3 * group + place, answers))
                for place in range(3)
            ]
            await asyncio.sleep(3 / BOOKINGS_PER_S)
        await asyncio.gather(*tasks)
        run = {run[0] for replica in replicas for run in replica.runs}
        refused = {request_id for request_id, status in answers.items() if status in PROMISES}
        record(
            f"{len(answers)} bookings answered, {len(refused)} with a promise not to run, "
            f"{len(refused & run)} of these have run"
        )
        bodies = [run[3] for replica in replicas for run in replica.runs]
        record(f"{len(bodies) - len(set(bodies))} bookings run twice, each after a 503")
        if not any(status == 200 for status in answers.values()):
            raise h.CannotRun("no booking was served")
        return not refused & run
    finally:
        machine.end()
        for listener in (*replicas, store):
            await listener.stop()


h.run_case(case, Path(__file__).resolve().parent)
