#!/usr/bin/env python3
"""Tests at-most-once calls while agents are killed and paused and answers of the service and log are lost.

Clients retry their calls through random entries, some of them while the first attempt is still running. Results: keys
that were executed more than once (duplicate), keys that were executed although every answer said "not run"
(false_not_run), keys with an unknown outcome (unknown_share), and log appends/s at 1,000 calls/s.
"""

import http.client
import json
import multiprocessing
import random
import sys
import threading
import time

import _request
from _request import fleet_lib

ENTRIES = 4
SERVICES = 3
CALLS = 5000
RATE = 250
PROCESSES = 4
THREADS = 16
DEADLINE_MS = 5000
MAX_ATTEMPTS = 4
# Share of attempts that the client abandons early, while the call may still be running.
ABANDONED_SHARE = 0.15
ABANDON_TIMEOUT_S = 0.1
LOAD_RATE = 1000
APPENDS_BOUND = 300


def send_attempt(target, service, call, key, attempt, timeout):
    """Sends one call. Returns (kind, body or error type); the kind is answered, not_run, unknown or lost."""
    headers = {"X-Workspace": "large", "Idempotency-Key": key, "X-Request-Id": key, "X-Attempt": str(attempt),
               "X-Deadline-Ms": str(DEADLINE_MS)}
    connection = http.client.HTTPConnection(target, fleet_lib.CALLER_PORT, timeout=timeout)
    try:
        connection.request("POST", f"/services/{service}/{call}", json.dumps({"key": key}), headers)
        answer = connection.getresponse()
        body = answer.read()
        if answer.status == 200:
            return "answered", body.decode()
        error = json.loads(body)["error"]
        return ("not_run" if error["not_run"] else "unknown"), error["type"]
    except (OSError, http.client.HTTPException, ValueError, KeyError):
        return "lost", ""
    finally:
        connection.close()


def call_with_retries(targets, service, call, key, rng):
    """Sends a call and its retries as a client would. Returns the kinds and bodies of all answers."""
    answers = []
    # Some clients never retry, so that an incorrect "not run" is not hidden by a later answer.
    attempts = rng.choice([1, 2, MAX_ATTEMPTS])
    for attempt in range(attempts):
        is_abandoned = rng.random() < ABANDONED_SHARE
        timeout = ABANDON_TIMEOUT_S if is_abandoned else DEADLINE_MS / 1000 + 3
        answers.append(send_attempt(rng.choice(targets), service, call, key, attempt, timeout))
        if answers[-1][0] == "answered":
            break
        time.sleep(rng.uniform(0.05, 0.4))
    return answers


def run_client_process(index, targets, service, call, seed, count, start, queue):
    """Runs one client process, which sends its share of the keys at their scheduled times."""
    results = []
    lock = threading.Lock()

    def work(thread):
        worker = index * THREADS + thread
        rng = random.Random(seed * 1000 + worker)
        for i in range(worker, count, PROCESSES * THREADS):
            time.sleep(max(0, start + i / RATE - time.monotonic()))
            key = f"key-{i}"
            answers = call_with_retries(targets, service, call, key, rng)
            with lock:
                results.append((key, answers))

    threads = [threading.Thread(target=work, args=(i,)) for i in range(THREADS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    queue.put(results)


def make_faults(fleet, rng):
    """Returns the faults as (name, start function, end function) in random order."""
    agents = fleet.endpoints(fleet.deployment.service_pool)

    def kill(vm):
        vm.product.kill()
        vm.product.wait()

    faults = []
    for vm in agents:
        faults.append((f"kill {vm.id}", lambda v=vm: kill(v), lambda v=vm: fleet.start_product(v)))
        faults.append((f"pause {vm.id}", lambda v=vm: fleet.signal_vm(v, 19), lambda v=vm: fleet.signal_vm(v, 18)))
        faults.append((f"service of {vm.id} loses answers", lambda v=vm: fleet.control(v, {"lose_answer_share": 0.2}),
                       lambda v=vm: fleet.control(v, {"lose_answer_share": 0})))
    faults.append(("log loses answers", lambda: fleet.control("log", {"lose_answer_share": 0.2}),
                   lambda: fleet.control("log", {"lose_answer_share": 0})))
    faults.append(("log down", lambda: fleet.control("log", {"down": True}),
                   lambda: fleet.control("log", {"down": False})))
    log = fleet.platform["log"]
    faults.append(("log paused", lambda: log.send_signal(19), lambda: log.send_signal(18)))
    rng.shuffle(faults)
    return faults


def inject(fleet, rng, until):
    """Injects one fault after the other, each for about a second, until the given time."""
    while time.monotonic() < until:
        for _, begin, end in make_faults(fleet, rng):
            if time.monotonic() >= until:
                return
            begin()
            time.sleep(rng.uniform(0.5, 1.2))
            end()
            time.sleep(rng.uniform(0.3, 0.8))


def read_ledgers(fleet):
    counts = {}
    for vm in fleet.endpoints(fleet.deployment.service_pool):
        for row in fleet_lib.get_json(vm.address, fleet_lib.ENGINE_PORT, "/ledger", timeout=10)["calls"]:
            if row["call"] == fleet.deployment.once_call:
                counts[row["key"]] = counts.get(row["key"], 0) + row["count"]
    return counts


def run_faults(fleet, report, rng, count):
    deployment = fleet.deployment
    targets = [vm.address for vm in fleet.entries()]
    queue = multiprocessing.Queue()
    start = time.monotonic() + 0.5
    processes = [multiprocessing.Process(target=run_client_process,
                                         args=(i, targets, deployment.service, deployment.once_call, report.seed, count,
                                               start, queue))
                 for i in range(PROCESSES)]
    for process in processes:
        process.start()
    time.sleep(1.5)
    inject(fleet, rng, start + count / RATE - 1)
    results = [row for _ in processes for row in queue.get(timeout=120)]
    for process in processes:
        process.join()
    # By then, calls that were abandoned by their clients have completed.
    time.sleep(2)
    report_results(report, results, read_ledgers(fleet))


def classify(results, ledger):
    """Returns lists of keys by outcome; the last three must be empty."""
    classes = {name: [] for name in ("answered", "not_run", "unknown", "duplicate", "false_not_run", "different")}
    classes["duplicate"] = [key for key, count in ledger.items() if count > 1]
    for key, answers in results:
        kinds = [kind for kind, _ in answers]
        bodies = {body for kind, body in answers if kind == "answered"}
        if len(bodies) > 1:
            classes["different"].append(key)
        if "answered" in kinds:
            classes["answered"].append(key)
        elif all(kind == "not_run" for kind in kinds):
            classes["not_run"].append(key)
            if ledger.get(key, 0) > 0:
                classes["false_not_run"].append(key)
        else:
            classes["unknown"].append(key)
    return classes


def report_results(report, results, ledger):
    classes = classify(results, ledger)
    total = len(results)
    report.note("calls", total, total, "keys")
    for kind in ("answered", "not_run", "unknown"):
        report.note(f"{kind}_share", total, round(len(classes[kind]) / total, 4), "1")
    report.bound("duplicate", total, len(classes["duplicate"]), "keys", 0)
    report.bound("false_not_run", total, len(classes["false_not_run"]), "keys", 0)
    report.bound("different_answers", total, len(classes["different"]), "keys", 0)


def run_rate(fleet, report, seconds):
    """Measures the log appends/s at the full call rate, without faults."""
    address = fleet.platform_address()
    load = fleet.start_load(rate=LOAD_RATE, duration_s=seconds + 1, service_share=1, once_share=1,
                            service=fleet.deployment.service, once_call=fleet.deployment.once_call,
                            workspaces="large", deadline_ms=5000, retries=2)
    time.sleep(1)
    before = fleet_lib.get_json(address, fleet_lib.LOG_PORT, "/stats")["appended"]
    begun = time.monotonic()
    time.sleep(seconds - 0.5)
    appended = fleet_lib.get_json(address, fleet_lib.LOG_PORT, "/stats")["appended"] - before
    elapsed = time.monotonic() - begun
    summary = fleet.finish_load(load)
    report.note("answered_at_rate", LOAD_RATE, round(summary["answered"] / max(1, summary["sent"]), 4), "1")
    report.bound("appends_per_s", LOAD_RATE, round(appended / elapsed, 1), "1/s", APPENDS_BOUND)
    duplicates = fleet.ledger_duplicates()
    report.bound("duplicate_at_rate", LOAD_RATE, duplicates, "keys", 0)


def main():
    arguments = _request.parse_arguments(__doc__)
    report = _request.Report("once")
    rng = random.Random(report.seed)
    count = CALLS // 4 if arguments.short else CALLS
    agent = {"admission.cold_limit": 8, "admission.max_limit": 128, "admission.queue": 256}
    with fleet_lib.Fleet(arguments.build, seed=report.seed, entries=ENTRIES, models=1, services=SERVICES, catalogues=0,
                         link=False, agent=agent) as fleet:
        _request.start_serving(fleet)
        time.sleep(1)
        run_rate(fleet, report, 3 if arguments.short else 6)
        run_faults(fleet, report, rng, count)
    return report.exit_code()


if __name__ == "__main__":
    sys.exit(main())
