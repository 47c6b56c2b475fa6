"""MIXED: a caller that sends ahead on its connection gets foreign answers."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

import harness_3 as h  # noqa: E402

CALLERS, LOOKUPS, PACE_S = 4, 200, 0.010
UPLOADS, RECORDS, RECORD_PACE_S = 10, 80, 0.001


async def look_up(record, host, name, totals):
    """Sends lookups on one connection, at a pace, and reads the answers.

    With trouble, it doesn't wait for the answer before it sends the next one,
    as HTTP/1.1 allows for requests that may be repeated.
    """
    reader, writer = await asyncio.open_connection(host.address, host.ports["callers"])
    sent = []
    answered = asyncio.Semaphore(0)

    async def send():
        for number in range(LOOKUPS):
            if number > 0 and not h.TROUBLE:
                await answered.acquire()
            request_id, path = f"{name}-{number}", f"/prisopp/{name}/{number}"
            record.write("sent", request_id, path, "to", host.name)
            sent.append((request_id, path))
            writer.write(h.encode_request(path, request_id))
            await asyncio.sleep(PACE_S)

    sending = asyncio.ensure_future(send())
    try:
        for number in range(LOOKUPS):
            line, headers, body = await asyncio.wait_for(h.read_message(reader), 4)
            request_id, path = sent[number]
            answered.release()
            got = headers.get("bronzehub-attempt-id")
            status = int(line.split(" ")[1])
            record.write("answered", request_id, status, "with id", got, body[:60])
            totals["answers"] += 1
            if status == 200 and got != request_id:
                totals["foreign"] += 1
                if totals["foreign"] <= 3:
                    record.say(f"  {request_id} {path} is answered with {body.decode()!r}, "
                               f"the answer of {got}")
    except (asyncio.IncompleteReadError, asyncio.TimeoutError, ConnectionError) as failure:
        record.write(name, "ends with", repr(failure))
    sending.cancel()
    writer.close()


async def upload(record, host, number, totals):
    """Sends a lookup, then a booking whose body arrives in pieces.

    The body is a list of requests in text form, which are data like any other.
    """
    records = [
        h.encode_request(f"/betal/forged/{number}/{index}", f"forged-{number}-{index}",
                         method="POST")
        for index in range(RECORDS)
    ]
    booking = h.encode_request(f"/betal/{number}", f"booking-{number}", method="POST",
                               body=b"".join(records))
    head = booking[: booking.index(b"\r\n\r\n") + 4]
    reader, writer = await asyncio.open_connection(host.address, host.ports["callers"])
    writer.get_extra_info("socket").setsockopt(h.socket.IPPROTO_TCP, h.socket.TCP_NODELAY, 1)
    try:
        writer.write(h.encode_request(f"/prisopp/{number}", f"lookup-{number}"))
        record.write("sent", f"lookup-{number}", "to", host.name)
        if not h.TROUBLE:
            await asyncio.wait_for(h.read_message(reader), 4)
        record.write("sent", f"booking-{number}", "to", host.name)
        writer.write(head)
        for each in records:
            writer.write(each)
            await asyncio.sleep(RECORD_PACE_S)
        for _ in range(2 if h.TROUBLE else 1):
            line, headers, body = await asyncio.wait_for(h.read_message(reader), 2)
            record.write("answered", headers.get("bronzehub-attempt-id"), line, body[:60])
    except (asyncio.IncompleteReadError, asyncio.TimeoutError, ConnectionError) as failure:
        record.write(f"booking-{number}", "ends with", repr(failure))
    writer.close()


async def scenario(record, started):
    store = h.Store(record)
    address = h.StoreAddress(store)
    await address.start()
    started.append(address)
    replicas = []
    for index in range(3):
        replica = h.Replica(store, record, f"kasse-{index}", "kasse", "zone-a")
        await replica.start()
        started.append(replica)
        replicas.append(replica)
    routes = [h.route("/prisopp/", "idempotent", "kasse"),
              h.route("/betal/", "non_idempotent", "kasse")]
    store.write_json("op", "config", h.configuration(7, routes, ["kasse"]))
    hosts = []
    for number in range(2):
        host = h.Host(record, address.endpoint, f"edge-{number}", "zone-a",
                      f"127.0.1.{number + 1}", configuration_ms=2000, drain_ms=2000)
        host.start()
        started.append(host)
        hosts.append(host)
    if not await h.all_ready(hosts):
        record.say("the hosts did not become ready")
        return h.COULD_NOT_RUN
    totals = {"answers": 0, "foreign": 0}
    await asyncio.gather(*(look_up(record, hosts[index % 2], f"caller-{index}", totals)
                           for index in range(CALLERS)))
    record.say(f"lookups: {totals['answers']} answers, {totals['foreign']} of them successes "
               "that belong to another request")
    for number in range(UPLOADS):
        await upload(record, hosts[number % 2], number, totals)
    forged = [request_id for replica in replicas for _, request_id, _ in replica.runs
              if request_id.startswith("forged-")]
    record.say(f"bookings: {len(forged)} requests ran at replicas that no client sent and "
               f"that were data in the body of one of {UPLOADS} bookings (rule UNASKED)")
    for request_id in forged[:3]:
        record.say(f"  {request_id}")
    if totals["answers"] < CALLERS * 20:
        return h.COULD_NOT_RUN
    return h.BROKEN if totals["foreign"] else h.HELD


h.main(HERE, scenario)
