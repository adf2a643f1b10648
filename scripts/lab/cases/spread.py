"""The time until every node applies a change of the operators."""
import threading
import time

from ..configuration import generated
from ..fleet import Fleet

NODES = 20
CALLS_PER_NODE = 50  # Calls per second; the time of a node's change is measured to 20 ms.
SETTLE = 2.0


def _fleet(options):
    return Fleet(lambda block: generated(block, vms=NODES, slots=20,
                                         workspaces={"shops": (5000, 5000), "vans": (5000, 5000)}),
                 backends=["--service-time-ms", 1], seed=options.seed)


def _last_old_decision(attempts, published, applies_change):
    """Returns {target: seconds from publishing to the last call that the old revision decided}."""
    last = {}
    for attempt in attempts:
        last.setdefault(attempt["target"], 0.0)
        if not applies_change(attempt) and attempt["sent"] > published:
            last[attempt["target"]] = max(last[attempt["target"]], attempt["sent"] - published)
    return last


def _fail_after_first_read(fleet):
    """Makes the platform unavailable as soon as one node has read a file of the new revision."""
    def watch(reads_before):
        while fleet.platform_reads().get("files", 0) == reads_before:
            time.sleep(0.001)
        fleet.platform_mode("away")
    watcher = threading.Thread(target=watch, args=(fleet.platform_reads().get("files", 0),), daemon=True)
    watcher.start()
    return watcher


def _measure(options, change, workspace, applies_change, fails):
    """Publishes the configuration changed by `change` while callers of `workspace` continuously call every node."""
    seconds = options.seconds or 8
    with _fleet(options) as fleet:
        changed = change(fleet.configuration)
        stream = fleet.stream(workspace, NODES * CALLS_PER_NODE, key=changed.keys[workspace])
        load = fleet.load([stream], seconds + SETTLE)
        time.sleep(SETTLE)
        watcher = _fail_after_first_read(fleet) if fails else None
        published = time.time()
        fleet.publish(changed)
        attempts = load.wait()
        if watcher:
            watcher.join(1)
        return _last_old_decision(attempts, published, applies_change), seconds


def key_withdrawal(options, report):
    """Seconds from publishing a withdrawal to the last call that a withdrawn key got served, 20 nodes."""
    last, seconds = _measure(options, lambda configuration: configuration.without_keys_of("shops"), "shops",
                             lambda attempt: attempt["status"] != 200, fails=False)
    report.note(f"{len(last)} nodes asked for {seconds} s on live connections")
    report("max_seconds", max(last.values()), "s")


def config_spread(options, report):
    """Seconds from publishing a new key to the last of 20 nodes serving it, platform up and failing at once."""
    def with_new_workspace(configuration):
        changed = configuration.copy()
        changed.add_workspace("newcomers", 5000, 5000)
        return changed
    for fault, fails in (("none", False), ("platform-fails-after-first-read", True)):
        last, seconds = _measure(options, with_new_workspace, "newcomers",
                                 lambda attempt: attempt["status"] == 200, fails)
        report.note(f"{fault}: {len(last)} nodes asked for {seconds} s")
        report("max_seconds", max(last.values()), "s", fault=fault)


def leaving(options, report):
    """Seconds from naming a VM as leaving, or a server as draining, to the last new work at it, 8 nodes."""
    seconds = options.seconds or 6
    for fault in ("vm-leaving", "server-draining"):
        with Fleet(lambda block: generated(block, vms=8), seed=options.seed) as fleet:
            load = fleet.load([fleet.stream("shops", 400)], seconds + SETTLE)
            time.sleep(SETTLE)
            named = time.time()
            if fault == "vm-leaving":
                fleet.publish_vms([{**vm, "leaving": vm["id"] == "vm-01"} for vm in fleet.configuration.vms])
            else:
                changed = fleet.configuration.copy()
                changed.servers[0]["drain"] = True
                fleet.publish(changed)
            load.wait()
            arrivals = [when for when, _ in fleet.server_arrivals("counter-1")]
            report.note(f"{fault}: {len(arrivals)} requests reached the server in all")
            report("max_seconds", max([when - named for when in arrivals if when > named], default=0.0), "s",
                   fault=fault)
