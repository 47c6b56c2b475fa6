#!/usr/bin/env python3
"""Measures the overhead of the request path through one daemon.

Prints the results of path_load, which compares calls through the daemon with
direct calls to the backend server, and the resident memory of the daemon.
Usage: bench_path.py <build directory>"""

import json
import os
import subprocess
import sys

from local_fleet import LocalFleet

MEMORY_TARGET_MB = 64
RUN_SECONDS = 5


def resident_mb(pid):
    with open(f"/proc/{pid}/status") as status:
        for line in status:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return 0.0


def main():
    build = sys.argv[1]
    with LocalFleet(build, base_port=19500, engines=1, plain_servers=1,
                    failure_domains=("domain-a",)) as fleet:
        fleet.wait_until_ready()
        host = fleet.hosts[0]
        subprocess.run(
            [os.path.join(build, "bench/path/path_load"),
             f"--direct={fleet.plain_servers[0].address}",
             "--direct-path=/prices/3",
             f"--through={host.address}", "--through-path=/till/prices/3",
             "--key=org-a-key", f"--seconds={RUN_SECONDS}"], check=True)
        memory_mb = round(resident_mb(host.handle.pid), 1)
        print(json.dumps({"name": "path/resident_memory", "design": "bronzehub",
                          "value": memory_mb, "unit": "MB",
                          "target": MEMORY_TARGET_MB,
                          "met": memory_mb < MEMORY_TARGET_MB}))
        fleet.stop_daemons()


if __name__ == "__main__":
    main()
