"""A configuration with more than 64 keys for a tenant is never put in force, nor is any later one that keeps them."""
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
import fleet as lab  # noqa: E402

MACHINES = 10
CONFIG_APPLY_S = 2
ROUNDS_S = (2.5, 6, 10)  # Times after the acknowledgement at which requests are sent; the bound is CONFIG_APPLY_S.
KEYS = [f"k{number:02d}9wu3fexd9dnn2ctnfz" for number in range(100)]
FIRST_KEYS = 60
MOST_KEYS_THAT_WORK = 64


def configuration(version, keys, routes):
    prefixes = [("lookup", "/lookups/"), ("price", "/prices/")][:routes]
    result = lab.configuration([lab.route(name, prefix, "safe", "counter-desk", 4) for name, prefix in prefixes],
                               ["counter-desk"])
    result["version"] = f"r{version}"
    for resource in result["resources"]:
        if resource["resource_type"] == "tenants":
            resource["spec"]["api_keys"] = keys
    return result


class Requests:
    """Sends requests to each node and counts those that are handled as only an older version allows."""

    def __init__(self, record, fleet):
        self.record = record
        self.fleet = fleet
        self.stale = 0
        self._count = 0

    def send(self, what, key, path, is_stale):
        """`is_stale(status, has_run)` tells whether only an older version allows this."""
        for node in self.fleet.nodes:
            self._count += 1
            name = f"{what}-{self._count}"
            status = lab.call(node.outbound, name, "GET", path, key=key).status
            has_run = any(name in server.runs for server in self.fleet.servers)
            stale = is_stale(status, has_run)
            self.stale += stale
            self.record.write(f"{name} sent to {node.address}, answered {status}, "
                              f"{'run' if has_run else 'not run'}{', as an older version says' if stale else ''}")


def run(record, trouble):
    kept = KEYS[1:FIRST_KEYS]
    added = KEYS[FIRST_KEYS:MOST_KEYS_THAT_WORK + (2 if trouble else 1)]
    with lab.Fleet(record, ["counter-desk"] * MACHINES, configuration(3, KEYS[:FIRST_KEYS], 1)) as fleet:
        lab.warm_up(record, fleet.nodes, "GET", "/lookups/1", key=KEYS[0])
        fleet.store.put("op/config", configuration(5, kept + added, 1))
        acknowledged = time.monotonic()
        record.write(f"r5 is acknowledged: 1 key withdrawn, {len(added)} keys added, {len(kept + added)} in all")
        requests = Requests(record, fleet)
        for after in ROUNDS_S:
            time.sleep(max(0.0, acknowledged + after - time.monotonic()))
            record.write(f"{after} s after the acknowledgement, {CONFIG_APPLY_S} s are allowed")
            requests.send("withdrawn-key", KEYS[0], "/lookups/1", lambda status, has_run: has_run)
            requests.send("added-key", added[0], "/lookups/1", lambda status, has_run: status in (401, 403, 404))
        fleet.store.put("op/config", configuration(8, kept + added, 2))
        record.write("r8 is acknowledged: 1 route added")
        time.sleep(CONFIG_APPLY_S + 0.5)
        requests.send("added-route", kept[0], "/prices/1", lambda status, has_run: status in (401, 403, 404))
        crashed = fleet.crashed()
        if crashed:
            raise lab.CannotRun(f"processes ended: {crashed}")
        record.write(f"{requests.stale} requests were handled as only an older version allows")
        return int(requests.stale > 0)


lab.main(HERE, run)
