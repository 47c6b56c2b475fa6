"""A small fleet of real processes on loopback, for the demonstration and the
fault run: stand-ins for the platform and the backend servers, and daemons."""

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


def digest(key):
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
    operators: str = ""
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
    """Sends one request. Raises OSError or http.client.HTTPException when the
    response does not arrive whole."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        payload = None if body is None else json.dumps(body)
        connection.request(method, path, payload, headers or {})
        reply = connection.getresponse()
        return Response(reply.status, dict(reply.getheaders()),
                        reply.read().decode(errors="replace"))
    finally:
        connection.close()


class LocalFleet:
    """Starts the processes on entering the context and ends them on leaving."""

    DOMAINS = ("domain-a", "domain-a", "domain-b")

    def __init__(self, build, base_port=19000, engines=2, plains=2,
                 organisations=("org-a", "org-b"), domains=DOMAINS):
        self.build = build
        self.directory = tempfile.mkdtemp(prefix="bronzehub-")
        self.organisations = organisations
        self.platform = self._standin("platform", 0, base_port)
        self.engines = [self._standin("engine", i, base_port + 10 + i)
                        for i in range(engines)]
        self.plains = [self._standin("plain", i, base_port + 30 + i)
                       for i in range(plains)]
        self.seeds = [{"host": f"host-{i + 1}",
                       "address": f"127.0.0.1:{base_port + 52 + 3 * i}"}
                      for i in range(len(domains))]
        self.domains = sorted(set(domains))
        self.hosts = [self._daemon(i, domain, base_port + 50 + 3 * i)
                      for i, domain in enumerate(domains)]

    def _path(self, name):
        return os.path.join(self.directory, name)

    def _standin(self, role, index, port):
        name = f"{role}-{index + 1}"
        address = f"127.0.0.1:{port}"
        program = os.path.join(self.build, "tests/standin/bronzehub-standin")
        arguments = [program, f"--role={role}", f"--listen={address}",
                     f"--name={name}"]
        if role == "engine":
            arguments.append("--token-interval-ms=5")
        return Process(name, arguments, address, log=self._path(name + ".log"))

    def _daemon(self, index, failure_domain, port):
        name = f"host-{index + 1}"
        settings = self._path(name + ".json")
        with open(settings, "w") as out:
            json.dump(self._settings(name, failure_domain, port), out)
        program = os.path.join(self.build, "bin/bronzehubd")
        return Process(name, [program, "--settings", settings],
                       f"127.0.0.1:{port}", failure_domain,
                       f"127.0.0.1:{port + 1}", self._path(name + ".log"))

    def _settings(self, name, failure_domain, port):
        platform = f"http://{self.platform.address}"
        return {
            "host": {"name": name, "failure_domain": failure_domain,
                     "region": "loopback"},
            "listeners": {"callers": f"127.0.0.1:{port}",
                          "operators": f"127.0.0.1:{port + 1}",
                          "peers": f"127.0.0.1:{port + 2}"},
            "peers": {"seeds": self.seeds, "shared_key": PEER_KEY},
            "platform": {"table": platform, "object_store": platform,
                         "host_list": platform},
            "drain": {"not_ready_delay_ms": 0},
            "initial_configuration": self._configuration(),
        }

    def _configuration(self):
        servers = []
        for service, processes in ((1, self.engines), (2, self.plains)):
            for index, process in enumerate(processes):
                domain = self.domains[index % len(self.domains)]
                servers.append({"id": len(servers) + 1, "name": process.name,
                                "service": service,
                                "address": process.address,
                                "failure_domain": domain, "initial_slots": 8,
                                "maximum_slots": 32})
        return {
            "version": 1,
            "organisations": [
                {"id": i + 1, "name": name,
                 "keys": [{"id": "first", "sha256": digest(name + "-key")}]}
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
                           "key_sha256": digest(OPERATOR_KEY),
                           "roles": ["read", "plan", "confirm"]}],
        }

    def processes(self):
        return [self.platform, *self.engines, *self.plains, *self.hosts]

    def __enter__(self):
        for process in self.processes():
            process.start()
        return self

    def __exit__(self, kind, *_):
        for process in self.processes():
            if process.is_running():
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal.SIGKILL)
                process.wait()
        if kind is not None:
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
            return request(host.operators, "GET", "/ready").status == 200
        except OSError:
            return False

    def call(self, host, organisation, method, path, body=None, headers=None,
             timeout=CALL_TIMEOUT_S):
        """A caller's request; `organisation` None uses an unknown key."""
        key = f"{organisation or 'unknown'}-key"
        return request(host.address, method, path, body,
                       {"Authorization": f"Bearer {key}", **(headers or {})},
                       timeout)

    def operate(self, host, method, path, body=None):
        """An operator's request; returns the JSON of the response."""
        reply = request(host.operators, method, path, body,
                        {"Authorization": f"Bearer {OPERATOR_KEY}"})
        if reply.status >= 400:
            raise RuntimeError(f"{method} {path}: {reply.status} {reply.body}")
        return json.loads(reply.body)

    def wait_for_version(self, host, version):
        """Seconds until the host has the configuration version in force."""
        start = time.monotonic()
        while time.monotonic() - start < READY_TIMEOUT_S:
            status = self.operate(host, "GET", "/admin/v1/status")
            if status["configuration_version"] >= version:
                return time.monotonic() - start
            time.sleep(0.02)
        raise RuntimeError(f"{host.name} did not reach version {version}")

    def stop_daemons(self):
        """Drains every daemon; returns the exit codes."""
        for host in self.hosts:
            host.send_signal(signal.SIGTERM)
        return [host.wait() for host in self.hosts]
