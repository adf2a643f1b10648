"""The control overhead of a node: an idle fleet of real processes at several sizes, with fitted slopes."""
import json
import time

from ..configuration import Configuration, fingerprint, generated
from ..fleet import Fleet
from ..processes import wait_until
from ..report import slope

SIZES = (10, 50, 150)
UNITS = {"cpu_percent_of_core": "%", "resident_mb": "MB", "sent_bytes_per_second": "B/s"}
SERVICE_SIZE = 17  # Servers of one service in the planned fleet.


def control_cost(options, report):
    """Processor time, resident memory and bytes per second of an idle node at 10, 50 and 150 nodes, with slopes."""
    seconds = options.seconds or 8
    points = {metric: [] for metric in UNITS}
    for size in SIZES:
        found = _idle_fleet(size, seconds, options.seed)
        for metric, value in found.items():
            points[metric].append((size, value))
            report(metric, value, UNITS[metric], nodes=size)
    for metric, values in points.items():
        rise, base = slope(values)
        report(f"{metric}_per_node", rise, f"{UNITS[metric]}/node")
        report(f"{metric}_at_no_nodes", base, UNITS[metric])


def _idle_fleet(size, seconds, seed):
    with Fleet(lambda block: in_services(block, size), seed=seed) as fleet:
        time.sleep(3)
        cpu = {name: node.cpu_seconds() for name, node in fleet.nodes.items()}
        sent = {name: _sent_bytes(fleet, name) for name in list(fleet.nodes)[:5]}
        time.sleep(seconds)
        used = [(node.cpu_seconds() - cpu[name]) / seconds for name, node in fleet.nodes.items()]
        bytes_sent = [(_sent_bytes(fleet, name) - before) / seconds for name, before in sent.items()]
        resident = [node.resident_bytes() for node in fleet.nodes.values()]
        return {"cpu_percent_of_core": 100 * sum(used) / size, "resident_mb": sum(resident) / size / 1e6,
                "sent_bytes_per_second": sum(bytes_sent) / len(bytes_sent)}


def _sent_bytes(fleet, name):
    return fleet.metrics(name)["papayastep_peer_bytes_sent_total"]


def in_services(block, size):
    """`size` VMs whose servers belong to services of SERVICE_SIZE servers, as in the planned fleet."""
    made = generated(block, vms=size, zones="abcdefg")
    services = range((size + SERVICE_SIZE - 1) // SERVICE_SIZE)
    made.services = [{**made.services[0], "id": f"service-{number}"} for number in services]
    made.routes = [{"id": f"route-{number}", "pathPrefix": f"/{number}", "methods": ["GET"],
                    "service": f"service-{number}", "deadline": "5s"} for number in services]
    for index, server in enumerate(made.servers):
        server["service"] = f"service-{index % len(services)}"
    return made


SCALE = ((1_000, 1_000), (30_000, 8_000), (120_000, 32_000))
ENTRIES_OF_FILE = 3_000  # About 0.6 MB.


def config_scale(options, report):
    """Three nodes with up to 120,000 workspaces and 32,000 routes: start, memory, one change, idle processor time."""
    for workspaces, routes in SCALE:
        with Fleet(lambda block: large(block, workspaces, routes), seed=options.seed) as fleet:
            size = {"workspaces": workspaces, "routes": routes}
            names = list(fleet.nodes)
            time.sleep(5)
            resident = sum(fleet.nodes[name].resident_bytes() for name in names) / len(names)
            report("resident_mb", resident / 1e6, "MB", **size)
            cpu = sum(fleet.nodes[name].cpu_seconds() for name in names)
            changed = fleet.configuration.copy()
            changed.workspaces[5]["rate"] = 77
            began = time.monotonic()
            fleet.publish(changed)
            wait_until(lambda: all(fleet.status(name)["revision"] == 2 for name in names), 30, "revision 2")
            report("change_in_force_seconds", time.monotonic() - began, "s", **size)
            time.sleep(2)
            used = sum(fleet.nodes[name].cpu_seconds() for name in names) - cpu
            report("change_cpu_seconds_per_node", used / len(names), "s", **size)
            idle = sum(fleet.nodes[name].cpu_seconds() for name in names)
            time.sleep(5)
            spent = (sum(fleet.nodes[name].cpu_seconds() for name in names) - idle) / 5 / len(names)
            report("idle_cpu_percent_of_core", 100 * spent, "%", **size)
            fleet.nodes[names[0]].stop(10)
            began = time.monotonic()
            fleet.restart(names[0])
            report("start_seconds", time.monotonic() - began, "s", **size)


class Large(Configuration):
    """A configuration whose workspaces and routes are spread over files below the platform's size limit."""

    def files(self):
        parts = {"10-services.json": {"services": self.services}, "20-servers.json": {"backendServers": self.servers}}
        for kind, entries in (("routes", self.routes), ("workspaces", self.workspaces)):
            for first in range(0, len(entries), ENTRIES_OF_FILE):
                parts[f"30-{kind}-{first:06}.json"] = {kind: entries[first:first + ENTRIES_OF_FILE]}
        return {name: json.dumps(part) for name, part in parts.items()}


def large(block, workspaces, routes):
    made = generated(block)
    made.__class__ = Large
    for number in range(routes):
        made.routes.append({"id": f"route-{number}", "pathPrefix": f"/area-{number % 100}/thing-{number}",
                            "methods": ["GET"], "service": "counter", "deadline": "5s"})
    for number in range(workspaces):
        made.workspaces.append({"id": f"workspace-{number}", "keys": [fingerprint(f"key-{number}")],
                                "rate": 1 + number % 50, "burst": 10 + number % 90})
    return made
