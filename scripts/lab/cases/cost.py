"""What control costs a node: an idle fleet of real processes at several sizes, with fitted slopes."""
import time

from ..configuration import generated
from ..fleet import Fleet
from ..report import slope

SIZES = (10, 50, 150)
UNITS = {"cpu_percent_of_core": "%", "resident_mb": "MB", "sent_bytes_per_second": "B/s"}
SERVICE_SIZE = 17  # Servers of a service at the size of letter 1.


def control_cost(options, report):
    """Processor time, resident memory and bytes a second of an idle node at 10, 50 and 150 nodes, with slopes."""
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
    return sum(value for sample, value in fleet.metrics(name).items()
               if sample.startswith("papayastep_peer_bytes_sent"))


def in_services(block, size):
    """`size` VMs whose servers belong to services of SERVICE_SIZE servers, as in the fleet to come."""
    made = generated(block, vms=size, zones="abcdefg")
    services = range((size + SERVICE_SIZE - 1) // SERVICE_SIZE)
    made.services = [{**made.services[0], "id": f"service-{number}"} for number in services]
    made.routes = [{"id": f"route-{number}", "pathPrefix": f"/{number}", "methods": ["GET"],
                    "service": f"service-{number}", "deadline": "5s"} for number in services]
    for index, server in enumerate(made.servers):
        server["service"] = f"service-{index % len(services)}"
    return made
