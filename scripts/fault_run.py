#!/usr/bin/env python3
"""Serves calls while processes are killed and frozen and the stand-ins fail.

The stand-ins' journals are the judge: a call must not be executed twice, a
response that says "not run" must be true, and a response that looks whole must
be the right one. fault_run.py <build directory> [--seed N] [--seconds S]
"""

import argparse
import hashlib
import http.client
import itertools
import json
import random
import signal
import sys
import threading
import time
from collections import Counter
from dataclasses import dataclass, field

from local_fleet import LocalFleet, request

WORKERS = 12
CALL_TIMEOUT_S = 20
RETRY_WINDOW_S = 30
RETRY_DELAY_S = 0.2
FREEZE_S = 6
FAULT_GAP_S = 1.5
CHAT_TOKENS = 20
REBUILD_TOKENS = 300
SERVICES = {"payment": "/till/payments", "keyed_payment": "/till/payments",
            "lookup": "/till/prices/", "chat": "/model/v1/completions",
            "stream": "/model/v1/completions",
            "rebuild": "/model/v1/completions"}
REPEATABLE = {"lookup", "chat", "stream", "rebuild"}


@dataclass
class Attempt:
    status: int = 0  # 0: no whole response arrived.
    outcome: str = ""
    request_id: str = ""
    body: str = ""


@dataclass
class Call:
    kind: str
    name: str
    body: dict
    attempts: list = field(default_factory=list)

    def digest(self):
        return hashlib.sha256(json.dumps(self.body).encode()).hexdigest()

    def last(self):
        return self.attempts[-1]

    def is_settled(self):
        """The caller has a definite end: the service's response or, for calls
        that must not be repeated, any response or a lost connection. For a
        key, the recorded response is the end, an error included: it is
        replayed for ever, because the call may not run again."""
        if not self.attempts:
            return False
        if self.kind == "payment":
            return True
        last = self.last()
        if self.kind == "keyed_payment":
            return last.outcome == "run" or "claim_outcome_unknown" in last.body
        return last.status != 0 and last.outcome == "run" and last.status < 500


class Load:
    """Callers that send random calls to random daemons."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.seed = seed
        self.calls = []
        self.lock = threading.Lock()
        self.stop = threading.Event()
        self.threads = [threading.Thread(target=self._work, args=(i,))
                        for i in range(WORKERS)]

    def start(self):
        for thread in self.threads:
            thread.start()

    def finish(self):
        self.stop.set()
        for thread in self.threads:
            thread.join()

    def _work(self, index):
        rng = random.Random(f"{self.seed}-{index}")
        number = 0
        while not self.stop.is_set():
            number += 1
            call = self._make_call(rng, f"w{index}-{number}")
            with self.lock:
                self.calls.append(call)
            deadline = time.monotonic() + RETRY_WINDOW_S
            while not call.is_settled() and time.monotonic() < deadline:
                if call.attempts:
                    time.sleep(RETRY_DELAY_S)
                call.attempts.append(self._attempt(rng, call))

    @staticmethod
    def _make_call(rng, name):
        kind = rng.choices(list(SERVICES), weights=(3, 4, 4, 4, 4, 1))[0]
        if kind in ("payment", "keyed_payment", "lookup"):
            return Call(kind, name, {"call": name})
        tokens = REBUILD_TOKENS if kind == "rebuild" else CHAT_TOKENS
        return Call(kind, name, {"prompt": f"call {name}",
                                 "max_tokens": tokens,
                                 "stream": kind == "stream"})

    def _attempt(self, rng, call):
        host = rng.choice(self.fleet.hosts)
        organisation = rng.choice(self.fleet.organisations[:1])
        headers = {"Idempotency-Key": call.name} \
            if call.kind == "keyed_payment" else {}
        path = SERVICES[call.kind]
        method, body = "POST", call.body
        if call.kind == "lookup":
            method, path, body = "GET", path + call.name, None
        try:
            reply = self.fleet.call(host, organisation, method, path, body,
                                    headers, CALL_TIMEOUT_S)
        except (OSError, http.client.HTTPException):
            return Attempt()
        return Attempt(reply.status, reply.outcome(),
                       reply.headers.get("X-Request-Id", ""), reply.body)


class Faults:
    """Brings about one fault after another; each ends before the next."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.rng = random.Random(f"faults-{seed}")
        self.counts = Counter()
        # In turn, the one that doubles calls most easily first, so that a short
        # run meets it too.
        self.plain_modes = itertools.cycle(["answer_lost", "refuse", "slow"])

    def run(self, seconds):
        plan = [self._kill, self._freeze, self._platform, self._engine,
                self._plain, self._platform]
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            for fault in plan:
                time.sleep(FAULT_GAP_S)
                fault()

    def _set(self, process, **fault):
        request(process.address, "POST", "/faults", fault)
        self.counts[f"{process.name.split('-')[0]}_{fault['mode']}"] += 1

    def _kill(self):
        host = self.rng.choice(self.fleet.hosts)
        host.send_signal(signal.SIGKILL)
        host.wait()
        time.sleep(FAULT_GAP_S)
        host.start()
        self.fleet.wait_until_ready([host])
        self.counts["daemon_kill"] += 1

    def _freeze(self):
        host = self.rng.choice(self.fleet.hosts)
        host.send_signal(signal.SIGSTOP)
        time.sleep(FREEZE_S)
        host.send_signal(signal.SIGCONT)
        self.counts["daemon_freeze"] += 1

    def _for_a_while(self, process, **fault):
        self._set(process, **fault)
        time.sleep(2 * FAULT_GAP_S)
        request(process.address, "POST", "/faults", {"mode": "none"})

    def _platform(self):
        mode = self.rng.choice(["refuse", "slow", "hang", "answer_lost"])
        self._for_a_while(self.fleet.platform, mode=mode, delay_ms=800)

    def _engine(self):
        mode = self.rng.choice(["refuse", "slow", "cut_stream", "answer_lost"])
        self._for_a_while(self.rng.choice(self.fleet.engines), mode=mode,
                          delay_ms=300)

    def _plain(self):
        self._for_a_while(self.rng.choice(self.fleet.plains),
                          mode=next(self.plain_modes), delay_ms=300)


def text_of(body):
    """The generated text of a whole or streamed completion; None when the
    response is not complete."""
    if not body.startswith("data:"):
        return json.loads(body)["choices"][0]["text"]
    lines = [line[len("data: "):] for line in body.splitlines()
             if line.startswith("data: ")]
    if not lines or lines[-1] != "[DONE]":
        return None
    return "".join(json.loads(line)["choices"][0]["text"]
                   for line in lines[:-1])


class Judge:
    def __init__(self, fleet, calls):
        self.fleet = fleet
        self.calls = calls
        self.by_digest = Counter()
        self.executed_requests = set()
        for plain in fleet.plains:
            journal = json.loads(request(plain.address, "GET",
                                         "/journal").body)
            for entry in journal["calls"]:
                self.by_digest[entry["body_digest"]] += 1
                self.executed_requests.add(entry["request_id"])

    def doubled(self):
        return sum(1 for call in self.calls
                   if call.kind in ("payment", "keyed_payment")
                   and self.by_digest[call.digest()] > 1)

    def lost_calls(self):
        """Calls that may be repeated, or carry a key, without an end."""
        return [call for call in self.calls if not call.is_settled()]

    def false_not_run(self):
        return sum(1 for call in self.calls for attempt in call.attempts
                   if attempt.outcome == "not-run"
                   and attempt.request_id in self.executed_requests)

    def false_run(self):
        """Payments answered as run that no backend server executed."""
        return sum(1 for call in self.calls
                   if call.kind in ("payment", "keyed_payment")
                   and call.last().outcome == "run"
                   and call.last().status == 200
                   and self.by_digest[call.digest()] == 0)

    def wrong(self):
        return sum(1 for call in self.calls if self._is_wrong(call))

    def _is_wrong(self, call):
        last = call.last()
        if last.status != 200 or last.outcome != "run":
            return False
        if call.kind == "lookup":
            return json.loads(last.body)["path"] != f"/prices/{call.name}"
        if call.kind in ("chat", "stream", "rebuild"):
            return text_of(last.body) != self._expected(call)
        return False

    def _expected(self, call):
        body = {**call.body, "stream": False, "token_interval_ms": 0}
        reply = request(self.fleet.engines[0].address, "POST",
                        "/v1/completions", body)
        return text_of(reply.body)


def report(name, value, bound):
    print(json.dumps({"name": name, "value": value, "bound": bound}))
    return bound is None or value <= bound


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("build")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=40)
    options = parser.parse_args()
    with LocalFleet(options.build, base_port=20000) as fleet:
        fleet.wait_until_ready()
        load = Load(fleet, options.seed)
        faults = Faults(fleet, options.seed)
        load.start()
        try:
            faults.run(options.seconds)
        finally:
            load.finish()
        judge = Judge(fleet, load.calls)
        for call in judge.lost_calls():
            print(f"lost: {call}", file=sys.stderr)
        met = [report("calls_lost", len(judge.lost_calls()), 0),
               report("calls_doubled", judge.doubled(), 0),
               report("false_not_run", judge.false_not_run(), 0),
               report("false_run", judge.false_run(), 0),
               report("wrong_or_partial_as_whole", judge.wrong(), 0)]
        kinds = Counter(call.kind for call in load.calls)
        for kind in SERVICES:
            report(f"calls_{kind}", kinds[kind], None)
        outcomes = Counter(attempt.outcome or "no_response"
                           for call in load.calls for attempt in call.attempts)
        for outcome, count in sorted(outcomes.items()):
            report(f"attempts_{outcome}", count, None)
        for fault, count in sorted(faults.counts.items()):
            report(f"fault_{fault}", count, None)
        codes = fleet.stop_daemons()
        met.append(report("drain_exit_codes_not_0",
                          sum(code != 0 for code in codes), 0))
        return 0 if all(met) else 1


if __name__ == "__main__":
    sys.exit(main())
