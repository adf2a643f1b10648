"""Histories of concurrent runs under pairs of faults, checked against the invariants."""
import random
import sys
import time
from collections import Counter

from .. import faults
from ..configuration import generated
from ..fleet import Fleet
from ..history import History, Withdrawal, check, count

NODES = 5
FAULT_SECONDS = 1.2
PAUSE_SECONDS = 0.4
KEY_BOUND_SECONDS = 5.0
DEADLINE = "2s"
CALL_TIMEOUT = 10  # Seconds: five times the deadline, with room for a paused entry.


def at_most_once(options, report):
    """Histories under pairs of faults: duplicate actions, false "not run", crossed answers, workspace mixups."""
    first, runs = options.seed, options.seeds or 5
    totals = Counter()
    for seed in range(first, first + runs):
        history, pairs = run(seed, options.seconds or 6)
        violations = check(history)
        report.note(f"seed {seed}: {len(history.attempts)} attempts, {len(history.actions)} actions, "
                    f"{len(violations)} violations under {', '.join(' + '.join(pair) for pair in pairs)}")
        for violation in violations[:10]:
            print(f"  {violation.rule}: {violation.detail}", file=sys.stderr)
        totals.update(count(violations))
        totals["actions"] += len(history.actions)
        totals["attempts"] += len(history.attempts)
        totals["answered"] += sum(attempt["status"] == 200 for attempt in history.attempts)
    report("runs", runs, "count")
    for metric in ("actions", "attempts", "answered", *count([])):
        report(metric, totals[metric], "count")


def run(seed, seconds, names=None):
    """Performs one run. Returns its history and the pairs of faults. names: the faults to draw, by default all."""
    generator = random.Random(seed)
    with Fleet(lambda block: generated(block, vms=NODES, deadline=DEADLINE), proxied=True,
               backends=["--service-time-ms", 8], seed=seed) as fleet:
        load = fleet.load(_streams(fleet), seconds + 1, timeout=CALL_TIMEOUT)
        revisions = []
        pairs = []
        end = time.monotonic() + seconds
        while time.monotonic() + FAULT_SECONDS + PAUSE_SECONDS < end:
            pairs.append(tuple(generator.sample(sorted(names or faults.HISTORY), 2)))
            _inject_faults(fleet, generator, pairs[-1], revisions)
        withdrawal = _withdraw_key(fleet)
        attempts = load.wait()
        _note_revisions(fleet, revisions)
        records = fleet.server_records()
        actions = [{**action, "server": server} for server, record in records.items() for action in record["actions"]]
        keys_seen = sum(record["keys_seen"] for record in records.values())
        return History(attempts, actions, keys_seen, revisions, [withdrawal]), pairs


def _streams(fleet):
    """Lookups, actions sent once, and actions repeated with the same Idempotency-Key through other nodes."""
    return [fleet.stream("shops", 60),
            fleet.stream("vans", 30),
            fleet.stream("shops", 40, "POST", "/refunds"),
            fleet.stream("vans", 20, "POST", "/refunds"),
            fleet.stream("vans", 5, path="/scans/300000"),
            fleet.stream("shops", 40, "POST", "/refunds", idempotencyKey=True, repeatUnknown=True),
            fleet.stream("vans", 30, "POST", "/refunds", idempotencyKey=True, repeatAfter=0.005, repeatRatio=0.5),
            fleet.stream("vans", 30, "POST", "/refunds", idempotencyKey=True, repeatAfter=1.0, repeatRatio=0.5)]


def _inject_faults(fleet, generator, pair, revisions):
    """Injects two faults at once, on VMs that may be the same, then pauses without faults."""
    undo = [faults.HISTORY[name](fleet, generator.randrange(NODES)) for name in pair]
    if generator.random() < 0.5:
        fleet.publish(fleet.configuration.copy())
    time.sleep(FAULT_SECONDS / 2)
    _note_revisions(fleet, revisions)
    time.sleep(FAULT_SECONDS / 2)
    for end in undo:
        end()
    time.sleep(PAUSE_SECONDS)
    _note_revisions(fleet, revisions)


def _withdraw_key(fleet):
    """Withdraws a key after the faults, so that the bound is measured on a fleet that can receive the change."""
    fleet.platform_mode("ok")
    withdrawal = Withdrawal("shops", time.time(), KEY_BOUND_SECONDS)
    fleet.publish(fleet.configuration.without_keys_of("shops"))
    return withdrawal


def _note_revisions(fleet, revisions):
    for name in fleet.nodes:
        try:
            revisions.append((time.time(), name, fleet.status(name, timeout=0.5)["revision"]))
        except (OSError, ValueError):
            continue
