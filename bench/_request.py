"""Common parts of the request benchmarks: arguments, results and starting a serving fleet."""

import argparse
import json
import os
import sys
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "scripts"))
import fleet as fleet_lib  # noqa: E402


def parse_arguments(description):
    parser = argparse.ArgumentParser(description=description, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", default=os.path.join(ROOT, "build"))
    parser.add_argument("--short", action="store_true", help="the short form that CI runs")
    return parser.parse_args()


class Report:
    """Prints results as JSON lines and records whether all bounds were met."""

    def __init__(self, bench):
        self.bench = bench
        self.seed = int(os.environ.get("SEED", "20261204"))
        self.is_ok = True

    def bound(self, metric, n, value, unit, bound, better="lower"):
        is_met = value is not None and (value <= bound if better == "lower" else value >= bound)
        self.is_ok = self.is_ok and is_met
        self._print({"metric": metric, "n": n, "value": value, "unit": unit, "bound": bound, "better": better,
                     "pass": bool(is_met)})

    def note(self, metric, n, value, unit):
        """Prints a result without a bound."""
        self._print({"metric": metric, "n": n, "value": value, "unit": unit})

    def _print(self, fields):
        print(json.dumps({"bench": self.bench, **fields, "seed": self.seed}), flush=True)

    def exit_code(self):
        return 0 if self.is_ok else 1


def percentile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else None


def start_serving(fleet, version="v1", timeout=40):
    """Starts all processes, publishes a document and waits until every entry and model VM serves."""
    fleet.start_all()
    fleet_lib.wait_until(lambda: all(fleet.status(vm) is not None for vm in fleet.vms), 20, "all processes to answer")
    fleet.publish(fleet.document(version))
    total = len(fleet.model_vms())
    fleet_lib.wait_until(lambda: fleet.serving(version) == total, timeout, f"{version} on {total} VMs")
    fleet_lib.wait_until(lambda: all(fleet.is_ready(vm) for vm in fleet.entries()), 15, "all entries to be ready")


def engine_stats(vm):
    return fleet_lib.get_json(vm.address, fleet_lib.ENGINE_PORT, "/stats", timeout=2) or {}


class Sampler(threading.Thread):
    """Calls a function periodically until `finish` is called."""

    def __init__(self, period, sample):
        super().__init__(daemon=True)
        self.period = period
        self.sample = sample
        self._end = threading.Event()

    def run(self):
        next_at = time.monotonic()
        while not self._end.is_set():
            self.sample()
            next_at = max(next_at + self.period, time.monotonic())
            self._end.wait(max(0, next_at - time.monotonic()))

    def finish(self):
        self._end.set()
        self.join()
