"""A workspace's rate and burst over all VMs, and the isolation of workspaces from each other's load."""
import random
import time
from collections import Counter

from .. import ports
from ..configuration import example, generated
from ..fleet import Fleet
from ..report import worst_excess, worst_excess_of_spans

RATE, BURST = 40, 20
OVERLOAD = 5
NODES = 6


def limit_cap(options, report):
    """Real processes: requests admitted above rate x t + burst over every window, under pauses, kills and breaks."""
    seconds = options.seconds or 10
    for seed in range(options.seed, options.seed + (options.seeds or 2)):
        _limit_cap_run(seed, seconds, report)


def _limit_cap_run(seed, seconds, report):
    with Fleet(lambda block: generated(block, vms=NODES, workspaces={"shops": (RATE, BURST), "vans": (RATE, BURST)}),
               proxied=True, backends=["--service-time-ms", 2], seed=seed) as fleet:
        load = fleet.load([fleet.stream("shops", OVERLOAD * RATE), fleet.stream("vans", 0.8 * RATE)], seconds,
                          timeout=4)
        _disturb(fleet, random.Random(seed), time.monotonic() + seconds)
        attempts = load.wait()
        spans = [(attempt["sent"], attempt["end"]) for attempt in attempts
                 if attempt["workspace"] == "shops" and attempt["status"] == 200]
        arrivals = [when for server in fleet.server_records() for when, workspace in fleet.server_arrivals(server)
                    if workspace == "shops"]
        report.note(f"seed {seed}: {len(spans)} answered in {seconds} s at rate {RATE}, {len(arrivals)} begun")
        report("max_excess_requests", worst_excess_of_spans(spans, RATE, BURST), "requests", seed=seed)
        report("max_excess_at_servers", worst_excess(arrivals, RATE, BURST), "requests", seed=seed)
        report("admitted_ratio", len(arrivals) / (RATE * seconds + BURST), "ratio", seed=seed)


def _disturb(fleet, generator, end):
    """Injects random pauses, kills and one-way link failures until `end`, each repaired before the next."""
    while time.monotonic() < end - 2:
        name = generator.choice(list(fleet.nodes))
        index = list(fleet.nodes).index(name)
        node = fleet.nodes[name]
        fault = generator.choice(["pause", "kill", "deaf", "split"])
        if fault == "pause":
            node.pause()
            time.sleep(generator.uniform(0.3, 1.5))
            node.resume()
        elif fault == "kill":
            node.kill()
            fleet.restart(name, wait=False)
            time.sleep(1)
        else:
            fleet.link_fault(ports.PEER_LINK, index, drop="to-target" if fault == "deaf" else "both")
            time.sleep(generator.uniform(0.5, 1.5))
            fleet.link_fault(ports.PEER_LINK, index)
        time.sleep(0.2)


def crowding(options, report):
    """One workspace at five times its rate, the others at 80%: the worst-served workspace, both example sizes."""
    seconds = options.seconds or 8
    for name in ("caribrite", "tepla-noha"):
        for fault in ("none", "one-server-slow-tenfold"):
            _crowding_run(options, report, name, fault, seconds)


def _crowding_run(options, report, name, fault, seconds):
    with Fleet(lambda block: example(block, name), backends=["--service-time-ms", 8], seed=options.seed) as fleet:
        greedy = max(fleet.configuration.workspaces, key=lambda workspace: workspace["rate"])["id"]
        streams = [fleet.stream(workspace["id"], workspace["rate"] * (OVERLOAD if workspace["id"] == greedy else 0.8))
                   for workspace in fleet.configuration.workspaces]
        fleet.load([{**stream, "rate": 0.3 * stream["rate"]} for stream in streams], 2).wait()
        if fault != "none":
            fleet.server_fault(fleet.configuration.servers[0]["id"], "slow", factor=10)
        attempts = fleet.load(streams, seconds).wait()
        inside = [attempt for attempt in attempts if attempt["workspace"] != greedy]
        ratios = {}
        for workspace in {attempt["workspace"] for attempt in inside}:
            own = [attempt["status"] == 200 for attempt in inside if attempt["workspace"] == workspace]
            ratios[workspace] = sum(own) / len(own)
        refused = sum(attempt["outcome"] == "not-run" for attempt in inside)
        worst = min(ratios, key=ratios.get)
        codes = Counter(attempt["code"] for attempt in inside if attempt["outcome"])
        report.note(f"{name}, {fault}: worst is {worst}; {len(inside)} calls inside the rates, {refused} refused, "
                    f"by code {dict(codes)}")
        report("worst_served_ratio", ratios[worst], "ratio", fault=fault, fleet=name)
        report("wrongful_refusal_ratio", refused / len(inside), "ratio", fault=fault, fleet=name)

