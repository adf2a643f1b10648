"""Planned stops under load."""
import time
from collections import Counter

from ..configuration import generated
from ..fleet import Fleet

RESTARTS = 20
PACED_RESTARTS = 5
NODES = 5


def is_cut(attempt):
    """Returns whether a call was started and then cut. A refused connection or a refusal as not run does not count."""
    if attempt["status"] == 0:
        return attempt["error"] != "Connection refused"
    return attempt["outcome"] == "unknown" or not attempt["whole"]


def drain(options, report):
    """Requests cut by rolling restarts (SIGTERM, start) of 5 nodes under load: 20 in quick succession, then paced by /readyz."""
    _restarts(options, report, "rapid", RESTARTS, lambda fleet, name: None)
    _restarts(options, report, "paced", PACED_RESTARTS, lambda fleet, name: fleet.wait_ready(name))


def _restarts(options, report, pace, count, wait):
    bound = (options.seconds or 60) / 2
    with Fleet(lambda block: generated(block, vms=NODES), backends=["--service-time-ms", 20],
               seed=options.seed) as fleet:
        load = fleet.load([fleet.stream("shops", 150), fleet.stream("vans", 50, "POST", "/refunds")], bound + 15)
        time.sleep(1)
        end = time.monotonic() + bound
        done = 0
        hard = 0
        names = list(fleet.nodes)
        while done < count and time.monotonic() < end:
            name = names[done % NODES]
            hard += not fleet.nodes[name].stop(10)
            fleet.restart(name)
            wait(fleet, name)
            done += 1
        attempts = load.stop()
        refused = sum(attempt["outcome"] == "not-run" for attempt in attempts)
        report.note(f"{pace}: {done} restarts, {hard} had to be killed, {len(attempts)} calls")
        report("restarts", done, "count", fault=pace)
        report("cut_requests", sum(map(is_cut, attempts)), "count", fault=pace)
        report("not_run_requests", refused, "count", fault=pace)
        report("not_run_ratio", refused / max(1, len(attempts)), "ratio", fault=pace)
        report("refused_connections", sum(attempt["error"] == "Connection refused" for attempt in attempts), "count",
               fault=pace)
        report("killed_nodes", hard, "count", fault=pace)
