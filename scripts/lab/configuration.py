"""Operators' configurations for runs: generated at a given size, or read from examples/ with other ports."""
import copy
import hashlib
import json
import os

from . import ports

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


def fingerprint(key):
    return "sha256:" + hashlib.sha256(key.encode()).hexdigest()


class Configuration:
    """The published configuration as editable lists, and the VMs. `keys` holds one plain-text key per workspace."""

    def __init__(self):
        self.services = []
        self.routes = []
        self.servers = []
        self.workspaces = []
        self.keys = {}
        self.vms = []

    def files(self):
        """Returns the files that the platform publishes, as {name: text}."""
        parts = {"10-services.json": {"services": self.services},
                 "20-servers.json": {"backendServers": self.servers},
                 "30-routes.json": {"routes": self.routes},
                 "40-workspaces.json": {"workspaces": self.workspaces}}
        return {name: json.dumps(part, indent=1) for name, part in parts.items()}

    def copy(self):
        return copy.deepcopy(self)

    def workspace(self, name):
        return next(workspace for workspace in self.workspaces if workspace["id"] == name)

    def add_workspace(self, name, rate, burst):
        key = f"papayastep-test-lab-{name}"
        self.keys[name] = key
        self.workspaces.append({"id": name, "keys": [fingerprint(key)], "rate": rate, "burst": burst})

    def without_keys_of(self, name):
        """Returns a copy in which the keys of a workspace are withdrawn."""
        changed = self.copy()
        changed.workspace(name)["keys"] = []
        return changed

    def lookup_path(self):
        """Returns a path that the first service answers to GET; "{n}" is a placeholder for a number."""
        service = self.services[0]["id"]
        return next(route["pathPrefix"] for route in self.routes if route["service"] == service
                    and "GET" in route.get("methods", ["GET"]) and not route.get("stream")) + "/{n}"


def _vm(block, index, zone):
    return {"id": f"vm-{index + 1:02}", "zone": zone, "address": "127.0.0.1", "leaving": False,
            "callerPort": block.port(ports.CALLER, index), "hopPort": block.port(ports.HOP, index),
            "peerPort": block.port(ports.PEER, index), "adminPort": block.port(ports.ADMIN, index)}


def generated(block, vms=3, zones="abc", slots=5, workspaces=None, prefer="fast-detection", floor=0.5, deadline="5s",
              target=None):
    """Generates one service `counter` with a server on each VM and the routes /balances, /refunds and /scans.

    workspaces: {name: (rate, burst)}; by default two whose rates are far above the load.
    target: target latency of all routes; by default they have none.
    """
    made = Configuration()
    made.services = [{"id": "counter", "prefer": prefer, "floor": floor, "healthPath": "/health"}]
    made.routes = [
        {"id": "balances", "pathPrefix": "/balances", "methods": ["GET"], "service": "counter", "deadline": deadline},
        {"id": "refunds", "pathPrefix": "/refunds", "methods": ["POST"], "service": "counter", "idempotent": False,
         "deadline": deadline, "retention": "10m"},
        {"id": "scans", "pathPrefix": "/scans", "methods": ["GET"], "service": "counter", "deadline": deadline,
         "stream": True}]
    for route in made.routes if target else []:
        route["targetLatency"] = target
    for index in range(vms):
        zone = zones[index % len(zones)]
        made.vms.append(_vm(block, index, zone))
        made.servers.append({"id": f"counter-{index + 1}", "service": "counter", "vm": f"vm-{index + 1:02}",
                             "zone": zone, "address": "127.0.0.1", "port": block.port(ports.SERVER, index),
                             "slots": slots})
    for name, (rate, burst) in (workspaces or {"shops": (2000, 4000), "vans": (2000, 4000)}).items():
        made.add_workspace(name, rate, burst)
    return made


def example(block, name):
    """Reads examples/NAME with its own VMs and servers, and assigns them ports of `block`."""
    folder = os.path.join(ROOT, "examples", name)
    made = Configuration()
    parts = {"services": made.services, "routes": made.routes, "backendServers": made.servers,
             "workspaces": made.workspaces}
    config = os.path.join(folder, "config")
    for file in sorted(os.listdir(config)):
        content = _read(os.path.join(config, file))
        for part, target in parts.items():
            target.extend(content.get(part, []))
    for caller in _read(os.path.join(folder, "callers.json"))["callers"]:
        made.keys.setdefault(caller["workspace"], caller["key"])
    zones = {vm["id"]: vm["zone"] for vm in _read(os.path.join(folder, "vms.json"))["vms"]}
    made.vms = [_vm(block, index, zone) for index, zone in enumerate(zones.values())]
    for index, server in enumerate(made.servers):
        server["port"] = block.port(ports.SERVER, index)
    return made


def _read(path):
    with open(path, encoding="utf-8") as file:
        return json.load(file)
