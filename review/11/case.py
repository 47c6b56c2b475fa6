"""EVAC: an evacuation that is acknowledged after a drill is never obeyed."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

import harness_3 as h  # noqa: E402

# The store is away for this time and comes back from a copy of this age.
AWAY_S, COPY_AGE_S = 1.0, 8.0
# Bounds of the deployment.
CONTACT_WINDOW_S, EVACUATION_S = 4.0, 5.0
# Room for the clocks of the record.
MARGIN_S = 0.3
WATCHED_S = 8.0
ZONES = ("zone-a", "zone-b", "zone-c")


class DrillStore(h.Store):
    is_up = True


async def take_copies(store):
    while True:
        if store.is_up:
            store.take_copy()
        await asyncio.sleep(0.1)


async def drill(record, store, address, replicas, operator_rows):
    store.is_up = False
    await address.stop()
    record.say("the store is away; version", store.version)
    await asyncio.sleep(AWAY_S)
    store.restore(COPY_AGE_S)
    # What the operator and the replicas wrote is written again.
    for key, value in operator_rows.items():
        store.write_json("op", key, value)
    for replica in replicas:
        replica.register()
    store.is_up = True
    await address.start()
    record.say("the store is back from a copy; version", store.version, "era", store.era)


async def scenario(record, started):
    store = DrillStore(record)
    address = h.StoreAddress(store)
    await address.start()
    started.append(address)
    replicas = []
    for zone in ZONES:
        for number in range(2):
            replicas.append(
                h.Replica(store, record, f"order-{zone}-{number}", "order-app", zone))
            replicas.append(
                h.Replica(store, record, f"stock-{zone}-{number}", "stock-app", zone))
    for replica in replicas:
        await replica.start()
        started.append(replica)
        await asyncio.sleep(h.Replica.HEARTBEAT_S / len(replicas))
    routes = [h.route("/order/", "non_idempotent", "order-app"),
              h.route("/stock/", "idempotent", "stock-app")]
    operator_rows = {"config": h.configuration(7, routes, ["order-app", "stock-app"])}
    store.write_json("op", "config", operator_rows["config"])
    copies = asyncio.ensure_future(take_copies(store))
    hosts = []
    for index, zone in enumerate(ZONES):
        for number in range(2):
            host = h.Host(record, address.endpoint, f"edge-{zone}-{number}", zone,
                          f"127.0.{index + 1}.{number + 1}", evacuation_ms=5000)
            host.start()
            started.append(host)
            hosts.append(host)
    if not await h.all_ready(hosts):
        record.say("the hosts did not become ready")
        return h.COULD_NOT_RUN
    await asyncio.sleep(10)
    if h.TROUBLE:
        await drill(record, store, address, replicas, operator_rows)
    else:
        await asyncio.sleep(AWAY_S)
    # From here on, the store is stable and all machines are in touch.
    await asyncio.sleep(CONTACT_WINDOW_S + 0.1)
    version = store.write_json("op", "evacuate/zone-b", {})
    evacuated_at = record.now()
    record.say("evacuation of zone-b acknowledged; version", version)
    callers = []
    calls = []
    for host in hosts:
        caller = h.Caller(record, f"caller-of-{host.name}")
        callers.append(caller)
        calls.append(caller.keep_calling(host, ["/order/1", "/stock/1"], 0.1,
                                         evacuated_at + WATCHED_S))
    await asyncio.gather(*calls)
    copies.cancel()
    record.say("store version at the end:", store.version)
    sent = {key: value for caller in callers for key, value in caller.sent.items()}
    late = [(at, request_id, replica.name)
            for replica in replicas if replica.zone == "zone-b"
            for at, request_id, _ in replica.runs
            if at > evacuated_at + EVACUATION_S + MARGIN_S]
    served = sum(1 for caller in callers for status in caller.answers.values()
                 if status == 200)
    record.say(f"{served} of {len(sent)} requests served")
    record.say(f"{len(late)} requests reached zone-b later than {EVACUATION_S} s after "
               "the acknowledgement")
    for at, request_id, replica in late[:5]:
        record.say(f"  {request_id} (sent to {sent[request_id][1]}) at {replica}, "
                   f"{at - evacuated_at:.3f} s after it")
    if served < len(sent) / 2:
        return h.COULD_NOT_RUN
    return h.BROKEN if late else h.HELD


h.main(HERE, scenario)
