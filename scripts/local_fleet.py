"""Starts a small fleet of processes on loopback: bronzehubd daemons and
stand-ins, which are test servers that take the place of the platform and the
backend servers. The demonstration, the fault run and bench_path.py use it."""

import hashlib
import http.client
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field

PEER_KEY = "0123456789abcdef0123456789abcdef"
OPERATOR_KEY = "operator-key"
READY_TIMEOUT_S = 20
CALL_TIMEOUT_S = 30


def sha256_hex(key):
    return hashlib.sha256(key.encode()).hexdigest()


@dataclass
class Response:
    status: int
    headers: dict
    body: str

    def outcome(self):
        return self.headers.get("Bronzehub-Outcome", "")


def print_response(response):
    print(f"   {response.status} outcome={response.outcome()}")
    for line in response.body.strip().splitlines():
        print(f"   | {line}")


@dataclass
class Process:
    name: str
    arguments: list
    address: str
    failure_domain: str = ""
    operator_address: str = ""
    log: str = ""
    handle: subprocess.Popen = field(default=None, repr=False)

    def start(self):
        with open(self.log, "ab") as log:
            self.handle = subprocess.Popen(self.arguments, stdout=log,
                                           stderr=log)

    def is_running(self):
        return self.handle is not None and self.handle.poll() is None

    def send_signal(self, number):
        if self.is_running():
            self.handle.send_signal(number)

    def wait(self, timeout=READY_TIMEOUT_S):
        return self.handle.wait(timeout=timeout)


def request(address, method, path, body=None, headers=None,
            timeout=CALL_TIMEOUT_S):
    """Sends one HTTP request. Raises OSError or http.client.HTTPException if
    no complete response arrives."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        payload = None if body is None else json.dumps(body)
        connection.request(method, path, payload, headers or {})
        response = connection.getresponse()
        return Response(response.status, dict(response.getheaders()),
                        response.read().decode(errors="replace"))
    finally:
        connection.close()


class LocalFleet:
    """Context manager that starts the processes on entry and kills those that
    still run on exit."""

    FAILURE_DOMAINS = ("domain-a", "domain-a", "domain-b")

    def __init__(self, build, base_port=19000, engines=2, plain_servers=2,
                 organisations=("org-a", "org-b"),
                 failure_domains=FAILURE_DOMAINS):
        self.build = build
        self.directory = tempfile.mkdtemp(prefix="bronzehub-")
        self.organisations = organisations
        self.platform = self._make_standin("platform", 0, base_port)
        self.engines = [self._make_standin("engine", i, base_port + 10 + i)
                        for i in range(engines)]
        self.plain_servers = [
            self._make_standin("plain", i, base_port + 30 + i)
            for i in range(plain_servers)]
        self.peer_seeds = [{"host": f"host-{i + 1}",
                            "address": f"127.0.0.1:{base_port + 52 + 3 * i}"}
                           for i in range(len(failure_domains))]
        self.failure_domains = sorted(set(failure_domains))
        self.hosts = [self._make_daemon(i, domain, base_port + 50 + 3 * i)
                      for i, domain in enumerate(failure_domains)]

    def _path(self, name):
        return os.path.join(self.directory, name)

    def _make_standin(self, role, index, port):
        name = f"{role}-{index + 1}"
        address = f"127.0.0.1:{port}"
        program = os.path.join(self.build, "tests/standin/bronzehub-standin")
        arguments = [program, f"--role={role}", f"--listen={address}",
                     f"--name={name}"]
        if role == "engine":
            arguments.append("--token-interval-ms=5")
        return Process(name, arguments, address, log=self._path(name + ".log"))

    def _make_daemon(self, index, failure_domain, port):
        name = f"host-{index + 1}"
        settings_file = self._path(name + ".json")
        with open(settings_file, "w") as out:
            json.dump(self._make_settings(name, failure_domain, port), out)
        program = os.path.join(self.build, "bin/bronzehubd")
        return Process(name, [program, "--settings", settings_file],
                       f"127.0.0.1:{port}", failure_domain,
                       f"127.0.0.1:{port + 1}", self._path(name + ".log"))

    def _make_settings(self, name, failure_domain, port):
        platform = f"http://{self.platform.address}"
        return {
            "host": {"name": name, "failure_domain": failure_domain,
                     "region": "loopback"},
            "listeners": {"callers": f"127.0.0.1:{port}",
                          "operators": f"127.0.0.1:{port + 1}",
                          "peers": f"127.0.0.1:{port + 2}"},
            "peers": {"seeds": self.peer_seeds, "shared_key": PEER_KEY},
            "platform": {"table": platform, "object_store": platform,
                         "host_list": platform},
            "drain": {"not_ready_delay_ms": 0},
            "initial_configuration": self._make_configuration(),
        }

    def _make_configuration(self):
        servers = []
        for service, processes in ((1, self.engines), (2, self.plain_servers)):
            for index, process in enumerate(processes):
                domain = self.failure_domains[index % len(self.failure_domains)]
                servers.append({"id": len(servers) + 1, "name": process.name,
                                "service": service,
                                "address": process.address,
                                "failure_domain": domain, "initial_slots": 8,
                                "maximum_slots": 32})
        return {
            "version": 1,
            "organisations": [
                {"id": i + 1, "name": name,
                 "keys": [{"id": "first", "sha256": sha256_hex(name + "-key")}]}
                for i, name in enumerate(self.organisations)],
            "services": [
                {"id": 1, "name": "model", "kind": "model",
                 "path_prefix": "/model"},
                {"id": 2, "name": "till", "kind": "plain",
                 "path_prefix": "/till", "costs": {"per_call": 1},
                 "repeatable_calls": [{"method": "GET",
                                       "path": "/prices/*"}]}],
            "backend_servers": servers,
            "operators": [{"name": "operator",
                           "key_sha256": sha256_hex(OPERATOR_KEY),
                           "roles": ["read", "plan", "confirm"]}],
        }

    def processes(self):
        return [self.platform, *self.engines, *self.plain_servers, *self.hosts]

    def __enter__(self):
        for process in self.processes():
            process.start()
        return self

    def __exit__(self, exception_type, *_):
        for process in self.processes():
            if process.is_running():
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal.SIGKILL)
                process.wait()
        if exception_type is not None:
            print(f"logs are in {self.directory}", file=sys.stderr)
        return False

    def wait_until_ready(self, hosts=None):
        deadline = time.monotonic() + READY_TIMEOUT_S
        for host in hosts or self.hosts:
            while not self._is_ready(host):
                if time.monotonic() > deadline or not host.is_running():
                    raise RuntimeError(f"{host.name} did not become ready")
                time.sleep(0.1)

    def _is_ready(self, host):
        try:
            return request(host.operator_address, "GET", "/ready").status == 200
        except OSError:
            return False

    def send_caller_request(self, host, organisation, method, path, body=None,
                            headers=None, timeout=CALL_TIMEOUT_S):
        """Sends a caller's request with the API key of `organisation`, or with
        an unknown key if it is None."""
        key = f"{organisation or 'unknown'}-key"
        return request(host.address, method, path, body,
                       {"Authorization": f"Bearer {key}", **(headers or {})},
                       timeout)

    def send_operator_request(self, host, method, path, body=None):
        """Sends an operator's request and returns the parsed JSON response.
        Raises RuntimeError if the status is 400 or above."""
        response = request(host.operator_address, method, path, body,
                           {"Authorization": f"Bearer {OPERATOR_KEY}"})
        if response.status >= 400:
            raise RuntimeError(
                f"{method} {path}: {response.status} {response.body}")
        return json.loads(response.body)

    def wait_for_version(self, host, version):
        """Waits until the host uses the given configuration version or a newer
        one. Returns the time that this took, in seconds."""
        start = time.monotonic()
        while time.monotonic() - start < READY_TIMEOUT_S:
            status = self.send_operator_request(host, "GET", "/admin/v1/status")
            if status["configuration_version"] >= version:
                return time.monotonic() - start
            time.sleep(0.02)
        raise RuntimeError(f"{host.name} did not reach version {version}")

    def stop_daemons(self):
        """Sends SIGTERM to every daemon, which makes it drain its active
        requests and exit. Returns the exit codes."""
        for host in self.hosts:
            host.send_signal(signal.SIGTERM)
        return [host.wait() for host in self.hosts]
