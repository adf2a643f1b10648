"""A randomized soak: overlapping series of faults, signals and changes, checked against the invariants."""
import json
import os
import random
import re
import signal
import sys
import time
from collections import Counter
from dataclasses import dataclass

from .. import faults
from ..configuration import generated
from ..fleet import Fleet
from ..history import History, Violation, Withdrawal, answers_forgotten, check
from ..processes import wait_until

NODES = 6
DEADLINE = "2s"
CALL_TIMEOUT = 10  # Seconds: five times the deadline, with room for a paused entry.
KEY_BOUND_SECONDS = 5.0
RECOVERY_SECONDS = 20.0  # A restarted node holds its shares again after about 10 s.
REPEAT_TOO_EARLY = 409  # The first run with this Idempotency-Key has not ended.
NOT_LISTENING = "Connection refused"  # The error text of Boost.
PLANNED_STOP_SECONDS = 15  # Time limit of a planned stop in seconds; the stop waits for requests in flight.
SHORT_STOP_SECONDS = 0.3  # Time limit beside other faults; a longer one would delay the rest of the series.
SETTLE_SECONDS = 1.5  # Load without new faults after the last event.
HIGH_RATE, LOW_RATE = 2000, 1000  # Requests per second of a workspace, both far above the load.
MIN_SERVERS = 3
LATE_SECONDS = 3.0  # A later event prolongs faults, which may explain violations.
# A run of 80 ms lets 6 nodes with 5 slots answer about 370 requests per second, so that a burst of 500 exceeds them.
OVERLOAD_SERVICE_MS = 80
OVERLOAD_RATE = 500
OVERLOAD_TARGET = "500ms"
# The time between target and deadline is 1.5 s, so all requests with a target may wait in the overflow queue. The queue
# is short enough to become full.
OVERLOAD_SETTINGS = {"confirmsRecovery": True, "overflowQueue": {"minTimeAfterTargetMs": 1000, "maxQueued": 24},
                     "zoneTransfer": {"costPerKilobyte": 0.0125, "maxCost": 0.5}}
QUEUED_IN_OVERFLOW = "Queued an attempt in the overflow."
# Time after its deadline of 2 s in which a request must be answered even if its entry was paused for several times.
MAX_OVERTIME = 4.0
OPEN = re.compile(r"(slots_in_use|slots_queued|slots_overflowing|attempts_serving|attempts_queued)\b")
EMPTY_SECONDS = 2.0  # Time after the last answer in which no node may still hold an attempt.

# Faults from outside the processes. Link faults are injected by a loopback proxy before each link.
OUTSIDE = sorted(set(faults.HISTORY) - {"node-paused", "node-killed", "node-stopped"})
# Steps applied to a process in each series, as (seconds since the first step, step).
SERIES = {
    "rolling-stop": [(0, "term"), (1.0, "start")],
    "stop-cut-short": [(0, "term"), (0.15, "kill"), (0.5, "start")],
    "stop-while-paused": [(0, "pause"), (0.3, "term"), (0.8, "resume"), (1.6, "start")],
    "reload-while-stopping": [(0, "hup"), (0.05, "term"), (0.1, "hup"), (1.2, "start")],
    "crash-loop": [(0, "kill"), (0.1, "start"), (0.4, "kill"), (0.5, "start"), (0.9, "kill"), (1.2, "start")],
    "pauses": [(0, "pause"), (0.5, "resume"), (0.7, "pause"), (1.3, "resume")],
    "reloads": [(0, "hup"), (0.1, "hup"), (0.3, "hup")],
}
PLANNED = ["rolling-stop", "reloads"]
# Published changes, in the same form. "out" removes a node's server from the configuration, which moves the homes of
# idempotency keys; "in" adds it again.
CHANGES = {
    "burst": [(0, "publish"), (0.02, "publish"), (0.1, "publish")],
    "rates": [(0, "rates"), (0.2, "rates"), (0.4, "rates")],
    "server-out": [(0, "out"), (0.8, "in")],
    "server-out-and-back": [(0, "out"), (0.05, "in"), (0.1, "out"), (0.15, "in")],
}
PLANNED_CHANGES = ["burst", "rates"]


@dataclass(frozen=True, order=True)
class Event:
    """One step of a run. `what` is a step of SERIES or CHANGES, or "begin"/"end" of an outside fault."""
    at: float
    what: str
    index: int = 0
    fault: str = ""


def schedule(seed, seconds, nodes=NODES):
    """Returns the events of a run in order of time. Every third seed has planned work only, which must cut no call."""
    generator = random.Random(seed)
    planned = is_planned(seed)
    events = []
    for _ in range(generator.randint(3, 6)):
        name = generator.choice(PLANNED if planned else sorted(SERIES))
        first, index = generator.uniform(0.3, seconds), generator.randrange(nodes)
        if planned and any(event.index == index or abs(event.at - first) < 1.5 for event in events):
            continue  # Simultaneous stops leave a service without a server.
        struck = [index] if planned else sorted({index, generator.randrange(nodes)})
        events += [Event(first + after + 0.4 * place, what, node)
                   for place, node in enumerate(struck) for after, what in SERIES[name]]
    for _ in range(0 if planned else generator.randint(4, 8)):
        begin, length = generator.uniform(0.2, seconds), generator.uniform(0.2, 2.0)
        index, fault = generator.randrange(nodes), generator.choice(OUTSIDE)
        events += [Event(begin, "begin", index, fault), Event(begin + length, "end", index, fault)]
    for _ in range(generator.randint(1, 5)):
        begin, index = generator.uniform(0.2, seconds), generator.randrange(nodes)
        series = CHANGES[generator.choice(PLANNED_CHANGES if planned else sorted(CHANGES))]
        events += [Event(begin + after, what, index) for after, what in series]
    return sorted(events + _announcements(seed, seconds, nodes) + _gray_failures(seed, seconds, nodes))


def _announcements(seed, seconds, nodes):
    """Returns the begin and end of what servers announce. A generator of their own leaves the other events of a seed as
    they are."""
    generator = random.Random(f"announcements {seed}")
    kinds = ["server-names-limit"] if is_planned(seed) else sorted(faults.ANNOUNCEMENTS)
    events = []
    for _ in range(generator.randint(0, 2)):
        begin, length = generator.uniform(0.2, seconds), generator.uniform(0.5, 3.0)
        index, fault = generator.randrange(nodes), generator.choice(kinds)
        events += [Event(begin, "begin", index, fault), Event(begin + length, "end", index, fault)]
    return events


def _gray_failures(seed, seconds, nodes):
    """Returns the begin and end of failures of servers that report success at their health endpoints. Each of them
    lasts longer than the nodes' estimate of a failure takes to decay."""
    if is_planned(seed) or not has_overload(seed):
        return []
    generator = random.Random(f"gray failures {seed}")
    events = []
    for index in generator.sample(range(nodes), max(1, nodes // 3)):
        begin, length = generator.uniform(0.2, seconds / 2), generator.uniform(2.0, 5.0)
        events += [Event(begin, "begin", index, "server-fails-at-once"),
                   Event(begin + length, "end", index, "server-fails-at-once")]
    return events


def is_planned(seed):
    return seed % 3 == 0


def has_overload(seed):
    """Whether the nodes confirm recoveries, queue attempts in the overflow and weigh the bytes between zones. Without
    planned work alone, servers also fail at once and demand exceeds the capacity for some seconds."""
    return random.Random(f"overload {seed}").random() < 0.6


def run(seed, seconds=6, settings=None, nodes=NODES):
    """Runs one seed. Returns (violations, history, events)."""
    events = schedule(seed, seconds, nodes)
    bursts = has_overload(seed) and not is_planned(seed)
    with Fleet(lambda block: generated(block, vms=nodes, deadline=DEADLINE,
                                       target=OVERLOAD_TARGET if has_overload(seed) else None),
               proxied=True, backends=["--service-time-ms", OVERLOAD_SERVICE_MS if bursts else 8],
               settings=settings or _settings(seed), seed=seed) as fleet:
        streams = _streams(fleet) + (_burst(fleet, seed, seconds, nodes) if bursts else [])
        load = fleet.load(streams, seconds + SETTLE_SECONDS + 2, timeout=CALL_TIMEOUT, connections=4)
        revisions = []
        _play(fleet, events, revisions, is_planned(seed))
        time.sleep(SETTLE_SECONDS)
        withdrawal = Withdrawal("shops", time.time(), KEY_BOUND_SECONDS)
        fleet.publish(fleet.configuration.without_keys_of("shops"))
        attempts = load.wait()
        violations = _recovery(fleet) + list(_open_attempts(fleet)) + list(_late_answers(attempts))
        records = fleet.server_records()
        actions = [{**action, "server": server} for server, record in records.items() for action in record["actions"]]
        keys_seen = sum(record["keys_seen"] for record in records.values())
        history = History(attempts, actions, keys_seen, revisions, [withdrawal])
        violations += check(history)
        if is_planned(seed):
            violations += list(_cut_requests(history)) + list(answers_forgotten(history))
        fleet.keeps_folder = bool(violations)
        history.overflowed = sum(node.log().count(QUEUED_IN_OVERFLOW) for node in fleet.nodes.values())
        return violations, history, events


def soak(options, report):
    """Seeds of overlapping faults, signals and changes; prints the violations of each seed."""
    first, runs = options.seed, options.seeds or 50
    totals = Counter()
    for seed in range(first, first + runs):
        try:
            violations, history, events = run(seed, options.seconds or 6, nodes=options.nodes or NODES)
        except (RuntimeError, TimeoutError) as error:  # A node ended by itself, or did not start.
            report.note(f"seed {seed}: broke off: {error}")
            totals["seeds that failed"] += 1
            continue
        report.note(f"seed {seed}: {len(history.attempts)} attempts, {len(history.actions)} actions, "
                    f"{history.overflowed} in the overflow, {len(events)} events, {len(violations)} violations")
        for violation in violations[:10]:
            print(f"  {violation.rule}: {violation.detail}", file=sys.stderr)
        totals["attempts"] += len(history.attempts)
        totals["actions"] += len(history.actions)
        totals["queued in the overflow"] += history.overflowed
        totals["violations"] += len(violations)
        totals["seeds that failed"] += bool(violations)
    report("runs", runs, "count")
    for metric in ("attempts", "actions", "queued in the overflow", "violations", "seeds that failed"):
        report(metric, totals[metric], "count")


def _settings(seed):
    """Half of the seeds use placement that queries free slots and handle pipelined requests concurrently, as on the
    operators' platform."""
    pipelining = {"limits": {"pipelinedRequests": 16}}
    placement = {"placement": "least-cost", "asksForFreeSlots": True, **pipelining} if seed % 2 else {}
    return {**placement, **(OVERLOAD_SETTINGS if has_overload(seed) else {})}


def _burst(fleet, seed, seconds, nodes):
    """Returns the streams of a demand above the capacity for some seconds, mostly of requests that run at most once."""
    generator = random.Random(f"burst {seed}")
    begin = generator.uniform(0.5, seconds / 2)
    times = {"start": begin, "stop": begin + generator.uniform(1.5, 3.0)}
    rate = OVERLOAD_RATE * nodes / NODES
    return [fleet.stream("vans", 0.7 * rate, "POST", "/refunds", **times), fleet.stream("shops", 0.3 * rate, **times)]


def _streams(fleet):
    return [fleet.stream("shops", 40),
            fleet.stream("vans", 30),
            fleet.stream("shops", 30, "POST", "/refunds"),
            fleet.stream("vans", 20, "POST", "/refunds"),
            fleet.stream("vans", 5, path="/scans/300000"),
            fleet.stream("shops", 30, "POST", "/refunds", idempotencyKey=True, repeatUnknown=True),
            fleet.stream("vans", 20, "POST", "/refunds", idempotencyKey=True, repeatAfter=0.3, repeatRatio=0.5),
            fleet.stream("vans", 20, "POST", "/refunds", idempotencyKey=True, repeatAnswered=True),
            fleet.stream("shops", 0, pause=0.1),
            fleet.stream("shops", 0, pause=0.1, pipelined=8),
            fleet.stream("vans", 0, "POST", "/refunds", pause=0.1)]


def _play(fleet, events, revisions, planned):
    begun = time.monotonic()
    undo = {}
    for event in events:
        time.sleep(max(0.0, begun + event.at - time.monotonic()))
        late = time.monotonic() - begun - event.at
        if late > LATE_SECONDS and not planned:
            print(f"  {event.what} of node {event.index + 1} came {late:.1f} s late", file=sys.stderr)
        if event.what == "begin":
            fault = {**faults.HISTORY, **faults.ANNOUNCEMENTS, **faults.BRIEF_GRAY}[event.fault]
            undo.setdefault((event.fault, event.index), fault(fleet, event.index))
        elif event.what == "end":
            undo.pop((event.fault, event.index), lambda: None)()
        elif event.what in ("publish", "rates", "out", "in"):
            fleet.publish(_changed(fleet.configuration, event, fleet.servers))
        else:
            _signal(fleet, list(fleet.nodes)[event.index], event.what,
                    PLANNED_STOP_SECONDS if planned else SHORT_STOP_SECONDS)
        _note_revisions(fleet, revisions)
    for end in undo.values():
        end()
    for node in fleet.nodes.values():
        if node.is_running():
            node.resume()  # Overlapping series may leave a node paused.


def _changed(configuration, event, servers):
    """Returns the configuration after one step of CHANGES. `servers` lists all running servers."""
    changed = configuration.copy()
    if event.what == "rates":
        workspace = changed.workspace("vans")
        workspace["rate"] = HIGH_RATE + LOW_RATE - workspace["rate"]
    elif event.what in ("out", "in"):
        kept = {server["id"] for server in changed.servers}
        concerned = {servers[event.index]["id"]}
        kept = kept - concerned if event.what == "out" else kept | concerned
        if len(kept) >= MIN_SERVERS:
            changed.servers = [server for server in servers if server["id"] in kept]
    return changed


def _signal(fleet, name, what, stop_seconds):
    """Applies one step of a series. Skips a step that is not applicable because another series ended the process."""
    node = fleet.nodes[name]
    if what == "start":
        if node.is_running() and node.was_asked_to_end():
            node.stop(stop_seconds)
        if not node.is_running():
            fleet.restart(name, wait=False)
        return
    if not node.is_running():
        return
    if what == "term":
        node.terminate()
    elif what == "kill":
        node.kill()
    elif what == "pause":
        node.pause()
    elif what == "resume":
        node.resume()
    elif what == "hup":
        _change_settings(fleet, name)
        node.send(signal.SIGHUP)


def _change_settings(fleet, name):
    path = fleet.path(f"{name}.json")
    with open(path, encoding="utf-8") as file:
        settings = json.load(file)
    settings["drainTimeoutMs"] = settings.get("drainTimeoutMs", 8000) + 1000
    # Replaced by a rename: the node may read the file during the write, which on a busy disk can delay the series by
    # seconds.
    with open(f"{path}.new", "w", encoding="utf-8") as file:
        json.dump(settings, file)
    os.replace(f"{path}.new", path)


def _recovery(fleet):
    """Checks that every node is running and ready after the faults."""
    for name, node in fleet.nodes.items():
        if not node.is_running():
            fleet.restart(name, wait=False)
    missing = []
    for name in fleet.nodes:
        try:
            wait_until(lambda name=name: fleet.is_ready(name), RECOVERY_SECONDS, f"{name} to be ready")
        except TimeoutError as error:
            missing.append(Violation("recovery", str(error)))
    return missing


def _open_attempts(fleet):
    """Checks that no node holds an attempt after all callers have their answers."""
    def held(name):
        return {sample: value for sample, value in fleet.metrics(name).items() if value and OPEN.search(sample)}
    for name in fleet.nodes:
        try:
            wait_until(lambda name=name: not held(name), EMPTY_SECONDS, f"{name} to end all attempts")
        except TimeoutError as error:
            yield Violation("open_attempts", f"{error}: {held(name)}")


def _late_answers(attempts):
    """Checks that each request is answered or refused by its deadline, with room for a paused entry."""
    for attempt in attempts:
        taken = attempt["end"] - attempt["sent"]
        if taken > float(DEADLINE.rstrip("s")) + MAX_OVERTIME:
            yield Violation("late_answers", f"{attempt['action']} through {attempt['target']} was answered with "
                                            f"{attempt['status']} after {taken:.1f} s")


def _cut_requests(history):
    """Checks that under planned work alone each caller gets an answer, and only refusals that did not run. A stopped
    process refuses the connection, which tells the caller that nothing ran."""
    for attempt in history.attempts:
        if attempt["error"] == NOT_LISTENING or attempt["status"] == REPEAT_TOO_EARLY:
            continue
        refused_after_withdrawal = attempt["status"] in (401, 403)
        if attempt["status"] == 0 or attempt["outcome"] == "unknown" and not refused_after_withdrawal:
            yield Violation("planned_work_cuts_nothing",
                            f"{attempt['action']} through {attempt['target']}: status {attempt['status']}, "
                            f"outcome {attempt['outcome']}, {attempt['error']}")


def _note_revisions(fleet, revisions):
    for name, node in fleet.nodes.items():
        if not node.is_running():
            continue
        try:
            revisions.append((time.time(), (name, node.pid), fleet.status(name, timeout=0.05)["revision"]))
        except (OSError, ValueError):
            continue
