"""Gray failures: how soon they are seen, and what callers notice meanwhile."""
import time

from .. import faults
from ..configuration import example
from ..fleet import Fleet

BASELINE = {"placement": "random", "ejection": "none"}
LOAD_SHARE = 0.5  # Of the workspaces' rates.
WINDOW = 2.5  # Seconds that a fault lasts.
REST = 2.0  # Seconds for the fleet to take the server back before the next fault.
GONE_SHARE = 0.25  # A server counts as avoided once it gets less than this share of its usual work.
STEP = 0.05


def detection(options, report):
    """Every gray failure in turn on real processes; --fleet and --variant choose others than Caribrite, papayastep."""
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
        for name, index, begin, end in spans:
            _report_fault(fleet, report, attempts, (name, index, begin, end),
                          {"variant": variant, "seed": seed, "fault": name, "fleet": fleet_name})


def _lookups(fleet):
    """Idempotent calls of every workspace to the first service."""
    return [fleet.stream(workspace["id"], LOAD_SHARE * workspace["rate"])
            for workspace in fleet.configuration.workspaces]


def _report_fault(fleet, report, attempts, span, labels):
    name, index, begin, end = span
    during = [attempt for attempt in attempts if begin <= attempt["sent"] < end]
    failed = [attempt for attempt in during if attempt["status"] != 200]
    server = fleet.configuration.servers[index]["id"]
    arrivals = [when for when, _ in fleet.server_arrivals(server)]
    seen = seconds_until_avoided(arrivals, begin, end)
    report("detection_seconds", round(end - begin, 3) if seen is None else seen, "s", detected=seen is not None, **labels)
    report("caller_error_ratio", len(failed) / max(len(during), 1), "ratio", **labels)
    report("slow_call_ratio", sum(attempt["latency_ms"] > 1000 for attempt in during) / max(len(during), 1), "ratio",
           **labels)


def seconds_until_avoided(arrivals, begin, end):
    """When a server's work fell below GONE_SHARE of what it got before `begin`, and stayed there. None: never."""
    usual = sum(begin - 2 <= when < begin for when in arrivals) / 2
    moment = begin
    while moment < end - 0.25:
        rate = sum(moment <= when < end for when in arrivals) / (end - moment)
        if rate <= GONE_SHARE * usual:
            return moment - begin
        moment += STEP
    return None
