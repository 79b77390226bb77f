#!/usr/bin/env python3
"""Measures the recovery time of a zone whose processes were all killed while the platform is unavailable.

Log, VM list and origin are down. The processes of the zone obtain the document and the member list through their seeds
only. The engines keep running, as they do when the product's processes crash. `time_ratio` is the time until every
entry of the zone answers a request, divided by the start time of a single process plus one gossip period.
`stale_served` counts answers from weights other than those required by the document in force.
"""

import argparse
import http.client
import json
import os
import signal
import statistics
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "scripts"))
from fleet import CALLER_PORT, USTAV, Fleet, wait_until  # noqa: E402

from _control_fleet import note, report, seed  # noqa: E402

GOSSIP_PERIOD_S = 0.5
RATIO_BOUND = 2.0
ZONE = 2
LIMIT_S = 30
POLL_S = 0.02


class Caller:
    """Sends small requests and counts the answers, and those from outdated weights."""

    def __init__(self, fleet, manifest):
        self.fleet, self.manifest = fleet, manifest
        self.answers, self.stale, self.number = 0, 0, 0

    def try_entry(self, vm):
        """Returns whether an entry answers a request completely."""
        self.number += 1
        body = json.dumps({"model": self.fleet.deployment.model, "prompt": f"recover {self.number}", "max_tokens": 2,
                           "stream": True})
        connection = http.client.HTTPConnection(vm.address, CALLER_PORT, timeout=2)
        try:
            connection.request("POST", "/v1/completions", body, {
                "X-Workspace": "large", "X-Request-Id": f"recover-{self.number}", "X-Deadline-Ms": "1500",
                "Content-Type": "application/json"})
            answer = connection.getresponse()
            text = answer.read().decode()
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()
        if answer.status != 200 or "[DONE]" not in text:
            return False
        self.answers += 1
        for line in text.splitlines():
            if line.startswith("data: {"):
                weights = json.loads(line[len("data: "):]).get("weights", self.manifest)
                self.stale += weights != self.manifest
        return True


def is_agent_serving(fleet, vm, manifest, version):
    status = fleet.status(vm) or {}
    is_in_force = status.get("config_version", 0) == version
    return is_in_force and any(h["manifest"] == manifest and h["serving"] for h in status.get("holdings", []))


def restart(fleet, vms):
    """Kills the product processes of the VMs and restarts them. Returns the time of the restart."""
    for vm in vms:
        fleet.signal_vm(vm, signal.SIGKILL)
    for vm in vms:
        vm.product.wait()
    start = time.monotonic()
    for vm in vms:
        fleet.start_product(vm)
    return start


def time_single_starts(fleet, caller, entry, agent, version, rounds):
    """Returns the median times until a single restarted entry answers and a single restarted agent serves."""
    entries, agents = [], []
    for _ in range(rounds):
        start = restart(fleet, [entry])
        wait_until(lambda: caller.try_entry(entry), LIMIT_S, "the entry to answer", POLL_S)
        entries.append(time.monotonic() - start)
        start = restart(fleet, [agent])
        wait_until(lambda: is_agent_serving(fleet, agent, caller.manifest, version), LIMIT_S, "the agent to serve",
                   POLL_S)
        agents.append(time.monotonic() - start)
        time.sleep(1)
    return statistics.median(entries), statistics.median(agents)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--short", action="store_true")
    arguments = parser.parse_args()
    seed_value = seed()
    rounds = 1 if arguments.short else 3
    with Fleet(arguments.build, USTAV, seed=seed_value, entries=6, models=15, services=3, catalogues=1) as fleet:
        fleet.start_all()
        fleet.publish(fleet.document("v1"))
        wait_until(lambda: fleet.serving("v1") == 15, 60, "version v1 everywhere")
        fleet.publish(fleet.document("v2"))
        wait_until(lambda: fleet.serving("v2") == 15, 60, "version v2 everywhere")
        version = 2
        caller = Caller(fleet, fleet.catalog[(fleet.deployment.model, "", "v2")]["manifest"])
        zone = [vm for vm in fleet.vms if vm.zone == ZONE]
        entries = [vm for vm in zone if vm.kind == "entry"]
        agents = [vm for vm in zone if vm.pool == fleet.deployment.model_pool]
        wait_until(lambda: all(caller.try_entry(vm) for vm in entries), LIMIT_S, "the entries to answer")
        entry_s, agent_s = time_single_starts(fleet, caller, entries[0], agents[0], version, rounds)

        for part in ("log", "vms", "origin"):
            fleet.control(part, {"down": True})
        zone_times, agent_times = [], []
        for _ in range(rounds):
            time.sleep(2)
            start = restart(fleet, zone)
            pending = list(entries)
            while pending and time.monotonic() < start + LIMIT_S:
                pending = [vm for vm in pending if not caller.try_entry(vm)]
                time.sleep(POLL_S)
            zone_times.append(time.monotonic() - start if not pending else float("inf"))
            try:
                wait_until(lambda: all(is_agent_serving(fleet, vm, caller.manifest, version) for vm in agents), LIMIT_S,
                           "the agents of the zone to serve", POLL_S)
                agent_times.append(time.monotonic() - start)
            except TimeoutError:
                agent_times.append(float("inf"))

    single = max(entry_s, agent_s)
    zone_s = statistics.median(zone_times)
    ratio = zone_s / (single + GOSSIP_PERIOD_S)
    note("recover", "single_entry_s", len(fleet.vms), round(entry_s, 3), "s", seed_value)
    note("recover", "single_agent_s", len(fleet.vms), round(agent_s, 3), "s", seed_value)
    note("recover", "zone_s", len(zone), round(zone_s, 3), "s", seed_value)
    note("recover", "zone_agents_s", len(zone), round(statistics.median(agent_times), 3), "s", seed_value)
    note("recover", "answers", len(zone), caller.answers, "count", seed_value)
    ok = report("recover", "time_ratio", len(zone), round(ratio, 3), "ratio", RATIO_BOUND, "lower", seed_value)
    ok &= report("recover", "stale_served", len(zone), caller.stale, "count", 0, "lower", seed_value)
    return 0 if ok else 1


if __name__ == "__main__":
    sys.exit(main())
