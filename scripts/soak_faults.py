"""Faults that the soak injects from outside the product's processes.

A fault is begun and ended by functions of the fleet. `draw_plan` draws a series of overlapping faults from a seed; two faults
that overlap never act on the same thing.
"""

import dataclasses
import random
import signal
from typing import Callable

MIN_FAULT_S, MAX_FAULT_S = 0.3, 4.0
# Mean time between the begins of two faults.
MEAN_GAP_S = 0.5


@dataclasses.dataclass
class Fault:
    """One fault of a series; `locks` names what it acts on."""

    name: str
    locks: frozenset
    begin: Callable
    end: Callable
    at_s: float = 0.0
    length_s: float = 0.0


def kill_product(fleet, vm):
    fleet.expected_exits.add(vm.id)
    fleet.signal_vm(vm, signal.SIGKILL)
    vm.product.wait()


def start_again(fleet, vm):
    fleet.start_product(vm)
    fleet.expected_exits.discard(vm.id)


def process_faults(fleet, vm):
    lock = frozenset({vm.id})
    kind = vm.kind if vm.kind == "entry" else vm.pool
    return [
        Fault(f"kill {kind} {vm.id}", lock, lambda: kill_product(fleet, vm), lambda: start_again(fleet, vm)),
        Fault(f"pause {kind} {vm.id}", lock, lambda: fleet.signal_vm(vm, signal.SIGSTOP),
              lambda: fleet.signal_vm(vm, signal.SIGCONT)),
        Fault(f"stop {kind} {vm.id}", lock, lambda: fleet.begin_stop(vm), lambda: fleet.finish_stop(vm)),
        Fault(f"reload {kind} {vm.id}", lock, lambda: fleet.signal_vm(vm, signal.SIGHUP),
              lambda: fleet.signal_vm(vm, signal.SIGHUP)),
    ]


def engine_faults(fleet, vm):
    def control(fields):
        return lambda: fleet.control(vm, fields)

    lock = frozenset({vm.id + ".engine"})
    return [
        Fault(f"engine crash {vm.id}", lock, control({"crash": True}), lambda: None),
        Fault(f"engine cold {vm.id}", lock, control({"go_cold": True}), lambda: None),
        Fault(f"engine mute {vm.id}", lock, control({"stall": True}), control({"stall": False})),
        Fault(f"engine slow {vm.id}", lock, control({"token_ms": 40}), control({"token_ms": fleet.token_ms})),
        Fault(f"engine order answers lost {vm.id}", lock, control({"lose_order_answer": 2}), lambda: None),
    ]


def service_faults(fleet, vm):
    lock = frozenset({vm.id + ".engine"})
    return [
        Fault(f"service answers lost {vm.id}", lock, lambda: fleet.control(vm, {"lose_answer_share": 0.2}),
              lambda: fleet.control(vm, {"lose_answer_share": 0})),
        Fault(f"service down {vm.id}", lock, lambda: fleet.control(vm, {"down": True}),
              lambda: fleet.control(vm, {"down": False})),
    ]


def platform_faults(fleet):
    def with_fields(name, label, on, off):
        return Fault(f"{name} {label}", frozenset({name}), lambda: fleet.control(name, on),
                     lambda: fleet.control(name, off))

    def with_pause(name):
        process = fleet.platform[name]
        return Fault(f"{name} paused", frozenset({name}), lambda: process.send_signal(signal.SIGSTOP),
                     lambda: process.send_signal(signal.SIGCONT))

    faults = [with_pause(name) for name in ("log", "vms", "origin")]
    for name in ("log", "vms", "origin"):
        faults.append(with_fields(name, "down", {"down": True}, {"down": False}))
        faults.append(with_fields(name, "slow", {"delay_ms": 300}, {"delay_ms": 0}))
        faults.append(with_fields(name, "answers lost", {"lose_answer_share": 0.2}, {"lose_answer_share": 0}))
    faults.append(with_fields("log", "hides its newest records", {"rewind": 2}, {"rewind": 0}))
    faults.append(with_fields("origin", "corrupts chunks", {"corrupt_share": 0.1}, {"corrupt_share": 0}))
    return faults


def link_faults(fleet):
    names = fleet.deployment.zones
    faults = []
    for one in range(len(names)):
        for other in range(len(names)):
            if one == other:
                continue
            pair = [[names[one], names[other]]]
            lock = frozenset({"link"})
            label = f"{names[one]} to {names[other]}"
            faults.append(Fault(f"link one way cut {label}", lock,
                                lambda p=pair: fleet.control("link", {"cut_one_way": p}),
                                lambda p=pair: fleet.control("link", {"heal": p})))
            if one < other:
                faults.append(Fault(f"link cut {label}", lock, lambda p=pair: fleet.control("link", {"cut": p}),
                                    lambda p=pair: fleet.control("link", {"heal": p})))
                faults.append(Fault(f"link reset {label}", lock, lambda p=pair: fleet.control("link", {"reset": p}),
                                    lambda p=pair: fleet.control("link", {"reset": p})))
    faults.append(Fault("link slow", frozenset({"link"}), lambda: fleet.control("link", {"delay_ms": 60}),
                        lambda: fleet.control("link", {"delay_ms": 0})))
    return faults


def operator_faults(fleet):
    """Operators publish in quick succession, two at once, and take a zone out and back."""
    lock = frozenset({"operator"})
    whole_path = frozenset({"operator", "link", "log", "vms"})
    faults = [Fault("two documents at once", lock, lambda: fleet.publish_race(2), lambda: fleet.publish_race(1)),
              Fault("four documents in a row", lock, lambda: [fleet.publish_race(1) for _ in range(4)], lambda: None)]
    for zone in range(len(fleet.deployment.zones)):
        faults.append(Fault(f"zone {fleet.deployment.zones[zone]} out", whole_path,
                            lambda z=zone: fleet.take_zone_out(z), lambda z=zone: fleet.take_zone_in(z)))
    return faults


def all_faults(fleet):
    """Groups of faults; a plan draws a group first, so that no group crowds the others out."""
    return [
        [f for vm in fleet.entries() for f in process_faults(fleet, vm)],
        [f for vm in fleet.endpoints() for f in process_faults(fleet, vm)],
        [f for vm in fleet.model_vms() for f in engine_faults(fleet, vm)],
        [f for vm in fleet.endpoints(fleet.deployment.service_pool) for f in service_faults(fleet, vm)],
        platform_faults(fleet),
        link_faults(fleet),
        operator_faults(fleet),
    ]


def draw_plan(fleet, seed, seconds):
    """Returns the faults of a seed, ordered by their begin, all ended after `seconds`."""
    rng = random.Random(seed)
    groups = all_faults(fleet)
    busy_until = {}
    plan = []
    at = rng.uniform(0, MEAN_GAP_S)
    while at < seconds - MIN_FAULT_S:
        drawn = rng.choice(rng.choice(groups))
        length = min(rng.uniform(MIN_FAULT_S, MAX_FAULT_S), seconds - at)
        if all(busy_until.get(lock, -1.0) < at for lock in drawn.locks):
            plan.append(dataclasses.replace(drawn, at_s=at, length_s=length))
            for lock in drawn.locks:
                busy_until[lock] = at + length
        at += rng.expovariate(1 / MEAN_GAP_S)
    return plan
