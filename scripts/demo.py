#!/usr/bin/env python3
"""Runs the demonstration that scripts/run_demo.sh describes.

Usage: demo.py <build directory>"""

import sys

from local_fleet import LocalFleet, print_response

CHAT_REQUEST = {"messages": [{"role": "user", "content": "plan the day"}],
                "max_tokens": 6}


def show_calls(fleet, host):
    print(f"\n== through {host.name} in failure domain {host.failure_domain}")
    print("-- whole completion")
    print_response(fleet.send_caller_request(
        host, "org-a", "POST", "/model/v1/chat/completions", CHAT_REQUEST))
    print("-- streamed completion")
    print_response(fleet.send_caller_request(
        host, "org-b", "POST", "/model/v1/chat/completions",
        {**CHAT_REQUEST, "stream": True}))
    print("-- payment with an idempotency key, twice")
    for _ in range(2):
        print_response(fleet.send_caller_request(
            host, "org-a", "POST", "/till/payments", {"amount": 5},
            {"Idempotency-Key": f"pay-{host.name}"}))
    print("-- lookup")
    print_response(fleet.send_caller_request(
        host, "org-b", "GET", "/till/prices/3"))
    print("-- unknown key")
    print_response(fleet.send_caller_request(
        host, None, "GET", "/till/prices/3"))


def show_configuration_change(fleet):
    """Adds an organisation through a plan, which is a proposed change of the
    configuration that takes effect once an operator confirms it."""
    first, last = fleet.hosts[0], fleet.hosts[-1]
    print("\n== a plan: a third organisation")
    plan = fleet.send_operator_request(
        first, "POST", "/admin/v1/plans",
        {"reason": "new partner",
         "items": [{"add_organisation": {"name": "org-c"}}]})
    for effect in plan["effects"]["shares"]:
        print(f"   share of {effect['service']} for {effect['organisation']}: "
              f"{effect['from']:.2f} -> {effect['to']:.2f}")
    confirmed = fleet.send_operator_request(
        first, "POST", f"/admin/v1/plans/{plan['id']}/confirm")
    print(f"   confirmed as version {confirmed['version']}")
    seconds = fleet.wait_for_version(last, confirmed["version"])
    print(f"   in force on {last.name} after {seconds:.2f} s")


def show_usage(fleet):
    """Prints the cost units that each organisation received from each service,
    summed over all hosts."""
    print("\n== service received, in cost units")
    totals = {}
    for host in fleet.hosts:
        dump = fleet.send_operator_request(host, "GET", "/dump")
        for queue in dump["dispatch"]["entry"]["queues"]:
            key = (queue["organisation"], queue["service"])
            totals[key] = totals.get(key, 0) + queue["served"]
    for (organisation, service), served in sorted(totals.items()):
        print(f"   organisation {organisation}, service {service}: "
              f"{served:.1f}")


def main():
    with LocalFleet(sys.argv[1]) as fleet:
        fleet.wait_until_ready()
        for host in fleet.hosts:
            show_calls(fleet, host)
        show_configuration_change(fleet)
        show_usage(fleet)
        codes = fleet.stop_daemons()
        print(f"\n== drained, exit codes {codes}")
        return 0 if all(code == 0 for code in codes) else 1


if __name__ == "__main__":
    sys.exit(main())
