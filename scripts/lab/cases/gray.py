"""Gray failures: the time to their detection, and their effect on callers until then."""
import time

from .. import faults
from ..configuration import example
from ..fleet import Fleet

BASELINE = {"placement": "random", "ejection": "none"}
LOAD_SHARE = 0.5  # The load as a share of the workspaces' rates.
WINDOW = 2.5  # Duration of a fault in seconds.
REST = 2.0  # Seconds in which the fleet returns the server to service before the next fault.
# Events that a node logs when it first detects a server, or the path to its VM, as unhealthy.
NOTICED = {"ejected", "entry-ejected", "path-ejected", "sibling-unreachable"}
BACK = {"returned", "readmitted"}


def detection(options, report):
    """Every gray failure in turn on real processes; --fleet and --variant replace caribrite and papayastep."""
    fleet_name = options.fleet or "caribrite"
    variants = [options.variant] if options.variant else ["papayastep"]
    if options.full:
        variants = ["papayastep", "random-without-ejection"]
    for variant in variants:
        for seed in range(options.seed, options.seed + (options.seeds or 1)):
            _run(options, report, fleet_name, variant, seed)


def _run(options, report, fleet_name, variant, seed):
    window = options.seconds or WINDOW
    names = [name for name in faults.GRAY if not options.fault or name == options.fault]
    settings = {} if variant == "papayastep" else BASELINE
    with Fleet(lambda block: example(block, fleet_name), proxied=True, settings=settings,
               backends=["--service-time-ms", 8], seed=seed) as fleet:
        total = 2 + len(names) * (window + REST)
        load = fleet.load(_lookups(fleet), total, timeout=8)
        time.sleep(2)
        spans = []
        for index, name in enumerate(names):
            begin = time.time()
            end_fault = faults.GRAY[name](fleet, index)
            time.sleep(window)
            end_fault()
            spans.append((name, index, begin, time.time()))
            time.sleep(REST)
        attempts = load.wait()
        # The baseline's nodes still evaluate and log health, but placement ignores it: nothing is detected.
        events = fleet.health_events() if variant == "papayastep" else []
        for span in spans:
            _report_fault(fleet, report, attempts, events, span,
                          {"variant": variant, "seed": seed, "fault": span[0], "fleet": fleet_name})
        labels = {"variant": variant, "seed": seed, "fleet": fleet_name}
        report("false_ejections", false_ejections(fleet.configuration, events, spans), "count", **labels)
        report("healthy_capacity_min", least_capacity(fleet.configuration, events), "ratio", **labels,
               floor=fleet.configuration.services[0]["floor"])


def _lookups(fleet):
    """Returns streams of idempotent calls of every workspace to the first service."""
    return [fleet.stream(workspace["id"], LOAD_SHARE * workspace["rate"])
            for workspace in fleet.configuration.workspaces]


def _report_fault(fleet, report, attempts, events, span, labels):
    _, index, begin, end = span
    during = [attempt for attempt in attempts if begin <= attempt["sent"] < end]
    failed = [attempt for attempt in during if attempt["status"] != 200]
    server = fleet.configuration.servers[index]
    noticed = [event.time - begin for event in events if begin <= event.time < end and event.event in NOTICED
               and (event.server == server["id"] or (not event.server and event.vm == server["vm"]))]
    report("detection_seconds", min(noticed, default=end - begin), "s", detected=bool(noticed), **labels)
    report("caller_error_ratio", len(failed) / max(len(during), 1), "ratio", **labels)
    report("slow_call_ratio", sum(attempt["latency_ms"] > 1000 for attempt in during) / max(len(during), 1), "ratio",
           **labels)


def false_ejections(configuration, events, spans):
    """Counts ejections of servers that had no fault at that time or just before."""
    zones = {server["id"]: server["zone"] for server in configuration.servers}
    sick = [(configuration.servers[index], name, begin, end + REST) for name, index, begin, end in spans]
    seen = set()
    for event in events:
        if event.event == "ejected" and not any(
                begin <= event.time < end and (event.server == server["id"] or
                                               (name == "zone-slow" and zones[event.server] == server["zone"]))
                for server, name, begin, end in sick):
            seen.add((event.server, round(event.time)))
    return len(seen)


def least_capacity(configuration, events):
    """Returns the smallest share of the first service's slots that ejection left in use at any time."""
    slots = {server["id"]: server["slots"] for server in configuration.servers
             if server["service"] == configuration.services[0]["id"]}
    ejected = set()
    least = 1.0
    for event in events:
        if event.event == "ejected" and event.server in slots:
            ejected.add(event.server)
        elif event.event in BACK:
            ejected.discard(event.server)
        least = min(least, 1 - sum(slots[server] for server in ejected) / sum(slots.values()))
    return least
