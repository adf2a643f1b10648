"""Planned stops under load."""
import time
from collections import Counter

from ..configuration import generated
from ..fleet import Fleet

RESTARTS = 20
NODES = 5


def is_cut(attempt):
    """Whether a call was begun and then broken. A refused connection or a refusal as not run cuts nothing."""
    if attempt["status"] == 0:
        return attempt["error"] != "Connection refused"
    return attempt["outcome"] == "unknown" or not attempt["whole"]


def drain(options, report):
    """Requests cut by 20 rolling restarts (SIGTERM, start, ready) of 5 nodes under load."""
    bound = options.seconds or 45
    with Fleet(lambda block: generated(block, vms=NODES), backends=["--service-time-ms", 20],
               seed=options.seed) as fleet:
        load = fleet.load([fleet.stream("shops", 150), fleet.stream("vans", 50, "POST", "/refunds")], bound)
        time.sleep(1)
        end = time.monotonic() + bound - 2
        done = 0
        hard = 0
        names = list(fleet.nodes)
        while done < RESTARTS and time.monotonic() < end:
            name = names[done % NODES]
            hard += not fleet.nodes[name].stop(10)
            fleet.restart(name)
            done += 1
        attempts = load.stop()
        codes = Counter(attempt["code"] for attempt in attempts if attempt["outcome"])
        report.note(f"{done} restarts, {hard} had to be killed, {len(attempts)} calls, refusals by code {dict(codes)}")
        report("restarts", done, "count")
        report("cut_requests", sum(map(is_cut, attempts)), "count")
        report("not_run_requests", sum(attempt["outcome"] == "not-run" for attempt in attempts), "count")
        report("refused_connections", sum(attempt["error"] == "Connection refused" for attempt in attempts), "count")
        report("killed_nodes", hard, "count")
