#!/usr/bin/env python3
"""Sends calls through a local fleet while faults are injected.

Daemons are killed and frozen, and the stand-ins (test servers in place of the
platform and the backend servers) fail in several ways. Afterwards the results
are checked against the calls that the stand-ins recorded: no payment may be
executed twice, a response with the outcome "not-run" must belong to a request
that was not executed, and a complete response must have the right content.

Usage: fault_run.py <build directory> [--seed N] [--seconds S]
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

CALLER_THREADS = 12
CALL_TIMEOUT_S = 20
RETRY_WINDOW_S = 30
RETRY_DELAY_S = 0.2
FREEZE_S = 6
FAULT_INTERVAL_S = 1.5
CHAT_TOKENS = 20
REBUILD_TOKENS = 300
CALL_PATHS = {"payment": "/till/payments", "keyed_payment": "/till/payments",
              "lookup": "/till/prices/", "chat": "/model/v1/completions",
              "stream": "/model/v1/completions",
              "rebuild": "/model/v1/completions"}
RETRYABLE_KINDS = {"lookup", "chat", "stream", "rebuild"}


@dataclass
class Attempt:
    status: int = 0  # 0: no complete response arrived.
    outcome: str = ""
    request_id: str = ""
    body: str = ""


@dataclass
class Call:
    kind: str
    name: str
    body: dict
    attempts: list = field(default_factory=list)

    def body_digest(self):
        return hashlib.sha256(json.dumps(self.body).encode()).hexdigest()

    def last_attempt(self):
        return self.attempts[-1]

    def has_final_result(self):
        """Returns whether the caller has a final result and stops retrying.

        A payment without an idempotency key must not be retried, so its first
        attempt is final, even if the connection was lost. With a key, the
        recorded response is final even if it is an error: the call may not be
        executed again, so every retry gets the same response. All other calls
        need a response of the service with a status below 500.
        """
        if not self.attempts:
            return False
        if self.kind == "payment":
            return True
        last = self.last_attempt()
        if self.kind == "keyed_payment":
            return last.outcome == "run" or "claim_outcome_unknown" in last.body
        return last.status != 0 and last.outcome == "run" and last.status < 500


class LoadGenerator:
    """Runs threads that send random calls to random daemons."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.seed = seed
        self.calls = []
        self.lock = threading.Lock()
        self.stop = threading.Event()
        self.threads = [threading.Thread(target=self._run_caller, args=(i,))
                        for i in range(CALLER_THREADS)]

    def start(self):
        for thread in self.threads:
            thread.start()

    def finish(self):
        self.stop.set()
        for thread in self.threads:
            thread.join()

    def _run_caller(self, index):
        rng = random.Random(f"{self.seed}-{index}")
        number = 0
        while not self.stop.is_set():
            number += 1
            call = self._make_call(rng, f"w{index}-{number}")
            with self.lock:
                self.calls.append(call)
            deadline = time.monotonic() + RETRY_WINDOW_S
            while not call.has_final_result() and time.monotonic() < deadline:
                if call.attempts:
                    time.sleep(RETRY_DELAY_S)
                call.attempts.append(self._send(rng, call))

    @staticmethod
    def _make_call(rng, name):
        kind = rng.choices(list(CALL_PATHS), weights=(3, 4, 4, 4, 4, 1))[0]
        if kind in ("payment", "keyed_payment", "lookup"):
            return Call(kind, name, {"call": name})
        tokens = REBUILD_TOKENS if kind == "rebuild" else CHAT_TOKENS
        return Call(kind, name, {"prompt": f"call {name}",
                                 "max_tokens": tokens,
                                 "stream": kind == "stream"})

    def _send(self, rng, call):
        host = rng.choice(self.fleet.hosts)
        organisation = rng.choice(self.fleet.organisations[:1])
        headers = {"Idempotency-Key": call.name} \
            if call.kind == "keyed_payment" else {}
        path = CALL_PATHS[call.kind]
        method, body = "POST", call.body
        if call.kind == "lookup":
            method, path, body = "GET", path + call.name, None
        try:
            response = self.fleet.send_caller_request(
                host, organisation, method, path, body, headers,
                CALL_TIMEOUT_S)
        except (OSError, http.client.HTTPException):
            return Attempt()
        return Attempt(response.status, response.outcome(),
                       response.headers.get("X-Request-Id", ""), response.body)


class FaultInjector:
    """Injects one fault at a time; each fault ends before the next starts."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.rng = random.Random(f"faults-{seed}")
        self.counts = Counter()
        # Used in turn. answer_lost is the most likely to cause duplicate
        # executions; it comes first so that a short run includes it.
        self.plain_modes = itertools.cycle(["answer_lost", "refuse", "slow"])

    def run(self, seconds):
        fault_sequence = [self._kill_daemon, self._freeze_daemon,
                          self._disturb_platform, self._disturb_engine,
                          self._disturb_plain_server, self._disturb_platform]
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            for inject_fault in fault_sequence:
                time.sleep(FAULT_INTERVAL_S)
                inject_fault()

    def _inject(self, process, **fault):
        request(process.address, "POST", "/faults", fault)
        self.counts[f"{process.name.split('-')[0]}_{fault['mode']}"] += 1

    def _kill_daemon(self):
        host = self.rng.choice(self.fleet.hosts)
        host.send_signal(signal.SIGKILL)
        host.wait()
        time.sleep(FAULT_INTERVAL_S)
        host.start()
        self.fleet.wait_until_ready([host])
        self.counts["daemon_kill"] += 1

    def _freeze_daemon(self):
        host = self.rng.choice(self.fleet.hosts)
        host.send_signal(signal.SIGSTOP)
        time.sleep(FREEZE_S)
        host.send_signal(signal.SIGCONT)
        self.counts["daemon_freeze"] += 1

    def _inject_temporarily(self, process, **fault):
        self._inject(process, **fault)
        time.sleep(2 * FAULT_INTERVAL_S)
        request(process.address, "POST", "/faults", {"mode": "none"})

    def _disturb_platform(self):
        mode = self.rng.choice(["refuse", "slow", "hang", "answer_lost"])
        self._inject_temporarily(self.fleet.platform, mode=mode, delay_ms=800)

    def _disturb_engine(self):
        mode = self.rng.choice(["refuse", "slow", "cut_stream", "answer_lost"])
        self._inject_temporarily(self.rng.choice(self.fleet.engines),
                                 mode=mode, delay_ms=300)

    def _disturb_plain_server(self):
        self._inject_temporarily(self.rng.choice(self.fleet.plain_servers),
                                 mode=next(self.plain_modes), delay_ms=300)


def completion_text(body):
    """Returns the generated text of a completion, streamed or not, or None if
    a stream is incomplete."""
    if not body.startswith("data:"):
        return json.loads(body)["choices"][0]["text"]
    lines = [line[len("data: "):] for line in body.splitlines()
             if line.startswith("data: ")]
    if not lines or lines[-1] != "[DONE]":
        return None
    return "".join(json.loads(line)["choices"][0]["text"]
                   for line in lines[:-1])


class ResultChecker:
    """Checks the results of the callers against the calls that the plain
    stand-ins executed."""

    def __init__(self, fleet, calls):
        self.fleet = fleet
        self.calls = calls
        self.executions_by_digest = Counter()
        self.executed_request_ids = set()
        for server in fleet.plain_servers:
            journal = json.loads(request(server.address, "GET",
                                         "/journal").body)
            for entry in journal["calls"]:
                self.executions_by_digest[entry["body_digest"]] += 1
                self.executed_request_ids.add(entry["request_id"])

    def count_duplicates(self):
        """Counts the payments that were executed more than once."""
        return sum(1 for call in self.calls
                   if call.kind in ("payment", "keyed_payment")
                   and self.executions_by_digest[call.body_digest()] > 1)

    def calls_without_result(self):
        """Returns the calls that got no final result within RETRY_WINDOW_S.
        Payments without a key are never among them, as one attempt ends
        them."""
        return [call for call in self.calls if not call.has_final_result()]

    def count_false_not_run(self):
        """Counts the attempts reported as not run that were executed."""
        return sum(1 for call in self.calls for attempt in call.attempts
                   if attempt.outcome == "not-run"
                   and attempt.request_id in self.executed_request_ids)

    def count_false_run(self):
        """Counts the payments reported as run that no server executed."""
        return sum(1 for call in self.calls
                   if call.kind in ("payment", "keyed_payment")
                   and call.last_attempt().outcome == "run"
                   and call.last_attempt().status == 200
                   and self.executions_by_digest[call.body_digest()] == 0)

    def count_wrong_responses(self):
        """Counts the calls whose successful response has the wrong content."""
        return sum(1 for call in self.calls if self._has_wrong_response(call))

    def _has_wrong_response(self, call):
        last = call.last_attempt()
        if last.status != 200 or last.outcome != "run":
            return False
        if call.kind == "lookup":
            return json.loads(last.body)["path"] != f"/prices/{call.name}"
        if call.kind in ("chat", "stream", "rebuild"):
            return completion_text(last.body) != self._expected_text(call)
        return False

    def _expected_text(self, call):
        body = {**call.body, "stream": False, "token_interval_ms": 0}
        response = request(self.fleet.engines[0].address, "POST",
                           "/v1/completions", body)
        return completion_text(response.body)


def print_count(name, value, bound):
    """Prints a count as a JSON line. Returns whether it is within its bound;
    None means that there is no bound."""
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
        load = LoadGenerator(fleet, options.seed)
        faults = FaultInjector(fleet, options.seed)
        load.start()
        try:
            faults.run(options.seconds)
        finally:
            load.finish()
        checker = ResultChecker(fleet, load.calls)
        for call in checker.calls_without_result():
            print(f"lost: {call}", file=sys.stderr)
        within_bounds = [
            print_count("calls_lost", len(checker.calls_without_result()), 0),
            print_count("calls_doubled", checker.count_duplicates(), 0),
            print_count("false_not_run", checker.count_false_not_run(), 0),
            print_count("false_run", checker.count_false_run(), 0),
            print_count("wrong_or_partial_as_whole",
                        checker.count_wrong_responses(), 0)]
        kinds = Counter(call.kind for call in load.calls)
        for kind in CALL_PATHS:
            print_count(f"calls_{kind}", kinds[kind], None)
        outcomes = Counter(attempt.outcome or "no_response"
                           for call in load.calls for attempt in call.attempts)
        for outcome, count in sorted(outcomes.items()):
            print_count(f"attempts_{outcome}", count, None)
        for fault, count in sorted(faults.counts.items()):
            print_count(f"fault_{fault}", count, None)
        codes = fleet.stop_daemons()
        within_bounds.append(print_count("drain_exit_codes_not_0",
                                         sum(code != 0 for code in codes), 0))
        return 0 if all(within_bounds) else 1


if __name__ == "__main__":
    sys.exit(main())
