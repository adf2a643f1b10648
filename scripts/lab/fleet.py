"""A fleet of real nodes with stand-ins, which runs in a temporary folder and is ended as a whole."""
import datetime
import json
import os
import re
import secrets
import shutil
import sys
import tempfile
import time
from typing import NamedTuple

from . import configuration, http, ports
from .processes import Process, wait_until

BUILD = os.environ.get("PAPAYASTEP_BUILD", os.path.join(configuration.ROOT, "build"))
_HEALTH_LINE = re.compile(r"^(\S+)Z [IW] health: .* event=(\S+) vm=(\S*) server=(\S*)$", re.MULTILINE)
STARTED = 20  # Seconds within which a process must listen.


def program(name):
    """Returns the path of a built program. Raises FileNotFoundError if it is not built."""
    places = {"papayastepd": "src/node", "papayastep": "src/ctl", "papayastep-standin": "src/testing"}
    path = os.path.join(BUILD, places[name], name)
    if not os.path.exists(path):
        raise FileNotFoundError(f"{path} is not built; set PAPAYASTEP_BUILD for another build folder")
    return path


class HealthEvent(NamedTuple):
    """One health decision about a server, or about the path to a VM (`server` may then be empty), logged by `node`."""
    time: float
    node: str
    event: str
    vm: str
    server: str


class Fleet:
    """Runs a platform, backend servers, nodes and, if `proxied`, a fault proxy before every hop, peer and server port.

    make:      function from a port block to a Configuration
    backends:  extra arguments of the backend stand-in
    settings:  extra members of every node's settings
    """

    def __init__(self, make=configuration.generated, proxied=False, backends=(), settings=None, seed=1):
        self.block = ports.PortBlock()
        self.folder = tempfile.mkdtemp(prefix="papayastep-lab-")
        self.configuration = make(self.block)
        self.revision = 1
        self.seed = seed
        self.nodes = {}
        self._others = []
        self._settings = settings or {}
        self._proxied = proxied
        self.keeps_folder = False  # Set by a run that found violations, so that its logs are kept.
        self._loads = 0
        self._real_ports = {server["id"]: server["port"] for server in self.configuration.servers}
        if proxied:
            self._put_links_into_configuration()
        self.servers = list(self.configuration.servers)  # All servers that run, also those omitted later.
        try:
            self._start_stand_ins(list(backends))
            self._start_nodes()
        except BaseException:
            self.close()
            raise

    def __enter__(self):
        return self

    def __exit__(self, kind, value, trace):
        self.close(keep_folder=kind is not None)

    def close(self, keep_folder=False):
        """Ends every process by its id. Keeps the folder with the logs if `keeps_folder` is set."""
        for process in list(self.nodes.values()) + self._others:
            if process.is_running():
                process.kill()
        self.block.close()
        if keep_folder or self.keeps_folder:
            print(f"logs are in {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def expect_no_crash(self):
        """Raises RuntimeError with the end of the log if a node crashed, as such a run proves little."""
        for name, node in self.nodes.items():
            if node.has_crashed():
                raise RuntimeError(f"{name} crashed:\n{node.log()[-2000:]}")

    # Nodes

    def vm(self, name):
        return next(vm for vm in self.configuration.vms if vm["id"] == name)

    def caller_port(self, name):
        return self.vm(name)["callerPort"]

    def targets(self, names=None):
        """Returns the caller addresses of the named nodes, or of all nodes."""
        return [f"127.0.0.1:{self.caller_port(name)}" for name in names or self.nodes]

    def status(self, name, timeout=5):
        return http.call(self.vm(name)["adminPort"], "GET", "/status", timeout=timeout).json()

    def metrics(self, name):
        """Returns {sample: value}; the labels are part of the sample's name."""
        text = http.call(self.vm(name)["adminPort"], "GET", "/metrics", timeout=5).body.decode()
        lines = [line.rsplit(" ", 1) for line in text.splitlines() if line and not line.startswith("#")]
        return {sample: float(value) for sample, value in lines}

    def is_ready(self, name):
        try:
            return http.call(self.vm(name)["adminPort"], "GET", "/readyz", timeout=1).status == 200
        except (OSError, http.http.client.HTTPException):
            return False

    def wait_ready(self, name, seconds=STARTED):
        def ready_or_gone():
            if not self.nodes[name].is_running():
                raise RuntimeError(f"{name} ended:\n{self.nodes[name].log()[-2000:]}")
            return self.is_ready(name)
        wait_until(ready_or_gone, seconds, f"{name} to be ready")

    def wait_serving(self, name, seconds=STARTED):
        """Waits until the node has a configuration. It is ready only some seconds later, when it holds its shares."""
        def serving():
            try:
                return self.status(name, timeout=1)["state"] == "serving"
            except (OSError, http.http.client.HTTPException):
                return False
        wait_until(serving, seconds, f"{name} to serve")

    def restart(self, name, wait=True):
        """Restarts a node that has ended. Waits until it serves, not until it holds its shares."""
        self._write_settings(self.vm(name), first_start=False)
        self.nodes[name].start()
        if wait:
            self.wait_serving(name)

    def health_events(self):
        """Returns what the nodes logged about servers and paths, as HealthEvent objects in order of time."""
        found = []
        for name, node in self.nodes.items():
            for match in _HEALTH_LINE.finditer(node.log()):
                when = datetime.datetime.fromisoformat(match[1] + "+00:00").timestamp()
                found.append(HealthEvent(when, name, match[2], match[3], match[4]))
        return sorted(found)

    # Platform

    @property
    def platform_port(self):
        return self.block.port(ports.PLATFORM)

    def publish(self, changed):
        """Publishes the configuration as the next revision and stores it as the current one."""
        answer = http.control(self.platform_port, "PUT", "/control/configuration", {"files": changed.files()})
        self.configuration = changed
        self.revision = answer["revision"]

    def publish_vms(self, vms):
        http.control(self.platform_port, "PUT", "/control/vms", {"vms": self._through_links(vms)})

    def platform_mode(self, mode, **more):
        http.control(self.platform_port, "POST", "/control/mode", {"mode": mode, **more})

    def platform_reads(self):
        return http.control(self.platform_port, "GET", "/control/reads")

    # Backend servers and links

    def server_fault(self, server, kind, **more):
        http.control(self.block.port(ports.SERVER_CONTROL), "PUT", "/control/fault",
                     {"port": self._real_ports[server], "kind": kind, **more})

    def server_record(self, server):
        return http.control(self.block.port(ports.SERVER_CONTROL), "GET",
                            f"/control/record?port={self._real_ports[server]}")

    def server_arrivals(self, server):
        """Returns [(time, workspace)] of the requests that the server started."""
        return http.control(self.block.port(ports.SERVER_CONTROL), "GET",
                            f"/control/arrivals?port={self._real_ports[server]}")

    def server_records(self):
        return {server: self.server_record(server) for server in self._real_ports}

    def actions(self):
        """Returns every action that any server ran."""
        return [{**action, "server": server}
                for server, record in self.server_records().items() for action in record["actions"]]

    def link_fault(self, kind, index, **fault):
        """Sets a fault on the link before a port. kind: ports.HOP_LINK, PEER_LINK (index of the VM), SERVER_LINK."""
        http.control(self.block.port(ports.PROXY_CONTROL), "PUT", "/control/link",
                     {"listen": self.block.port(kind, index), **fault})

    # Load

    def load(self, streams, seconds, targets=None, **options):
        """Starts a load client; see Load."""
        self._loads += 1
        return Load(self, f"load-{self._loads}", streams, seconds, targets or self.targets(),
                    {"seed": self.seed * 1000 + self._loads, **options})

    def stream(self, workspace, rate, method="GET", path=None, **more):
        key = more.pop("key", None) or self.configuration.keys[workspace]
        return {"workspace": workspace, "key": key, "rate": rate, "method": method,
                "path": path or self.configuration.lookup_path(), **more}

    def start(self, name, arguments):
        """Starts an additional process that ends with the fleet."""
        process = Process(name, arguments, os.path.join(self.folder, f"{name}.log"))
        self._others.append(process)
        return process

    def path(self, name):
        return os.path.join(self.folder, name)

    def _put_links_into_configuration(self):
        for index, server in enumerate(self.configuration.servers):
            server["port"] = self.block.port(ports.SERVER_LINK, index)

    def _through_links(self, vms):
        if not self._proxied:
            return vms
        listed = []
        for vm in vms:
            index = vm["hopPort"] - self.block.port(ports.HOP)
            listed.append({**vm, "hopPort": self.block.port(ports.HOP_LINK, index),
                           "peerPort": self.block.port(ports.PEER_LINK, index)})
        return listed

    def _start_stand_ins(self, backends):
        config = self.path("config")
        os.mkdir(config)
        for name, text in self.configuration.files().items():
            self._write(os.path.join(config, name), text)
        self._write(self.path("vms.json"), json.dumps({"vms": self._through_links(self.configuration.vms)}))
        stand_in = program("papayastep-standin")
        started = [self.start("platform", [stand_in, "platform", "--port", self.platform_port, "--folder", config,
                                           "--vms", self.path("vms.json")]),
                   self.start("servers", [stand_in, "backend", "--port", *self._real_ports.values(), "--control",
                                          self.block.port(ports.SERVER_CONTROL), "--slots",
                                          self.configuration.servers[0]["slots"], "--seed", self.seed, *backends])]
        if self._proxied:
            started.append(self.start("proxy", [stand_in, "proxy", "--control", self.block.port(ports.PROXY_CONTROL),
                                                "--link", *self._links()]))
        for process in started:
            wait_until(lambda process=process: self._listens(process), STARTED, f"{process.name} to listen")
        http.control(self.block.port(ports.SERVER_CONTROL), "PUT", "/control/keys",
                     {"keys": list(self.configuration.keys.values())})

    def _links(self):
        pairs = []
        for index in range(len(self.configuration.vms)):
            pairs.append((self.block.port(ports.HOP_LINK, index), self.block.port(ports.HOP, index)))
            pairs.append((self.block.port(ports.PEER_LINK, index), self.block.port(ports.PEER, index)))
        for index, port in enumerate(self._real_ports.values()):
            pairs.append((self.block.port(ports.SERVER_LINK, index), port))
        return [f"{listen}:{target}" for listen, target in pairs]

    def _start_nodes(self):
        self._write(self.path("secret"), secrets.token_hex(32))
        os.chmod(self.path("secret"), 0o600)
        for vm in self.configuration.vms:
            name = vm["id"]
            self._write_settings(vm, first_start=True)
            arguments = [program("papayastepd"), "--settings", self.path(f"{name}.json")]
            self.nodes[name] = Process(name, arguments, self.path(f"{name}.log"))
        for name in self.nodes:
            self.wait_ready(name)
        self._wait_until_served()

    def _wait_until_served(self):
        """Waits until calls are served.

        Token shares start empty (a restarted holder cannot know what it granted before), so the first calls of a
        workspace are refused with a wait. Runs begin after that, except those that test the start itself.
        """
        path = self.configuration.lookup_path()
        node = next(iter(self.nodes))
        for workspace, key in self.configuration.keys.items():
            wait_until(lambda key=key: http.call_with_key(self.caller_port(node), key, "GET", path).status == 200,
                       STARTED, f"{workspace} to be served")

    def _write_settings(self, vm, first_start):
        listen = {kind: f"127.0.0.1:{vm[kind + 'Port']}" for kind in ("caller", "hop", "peer", "admin")}
        settings = {"vm": vm["id"], "zone": vm["zone"], "listen": listen,
                    "platform": [f"127.0.0.1:{self.platform_port}"], "secretFile": self.path("secret"),
                    "noEarlierRuns": first_start, **self._settings}
        self._write(self.path(f"{vm['id']}.json"), json.dumps(settings, indent=1))

    @staticmethod
    def _listens(process):
        if not process.is_running():
            raise RuntimeError(f"{process.name} ended:\n{process.log()}")
        return "ready" in process.log()

    @staticmethod
    def _write(path, text):
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)


class Load:
    """A run of `papayastep-standin load`. Streams are the objects of its plan file."""

    def __init__(self, fleet, name, streams, seconds, targets, options):
        self._fleet = fleet
        self._seconds = seconds
        self._output = fleet.path(f"{name}.out")
        plan = fleet.path(f"{name}.plan")
        with open(plan, "w", encoding="utf-8") as file:
            json.dump({"streams": streams}, file)
        arguments = [program("papayastep-standin"), "load", "--plan", plan, "--output", self._output, "--target",
                     *targets, "--seconds", seconds]
        for option, value in options.items():
            arguments += [f"--{option}", value]
        self.process = fleet.start(name, arguments)

    def wait(self):
        """Waits for the end of the run, sets `summary` and returns all attempts as dicts.

        Raises RuntimeError if a node crashed.
        """
        status = self.process.wait(self._seconds + 60)
        if status != 0:
            raise RuntimeError(f"load ended with {status}:\n{self.process.log()}")
        self._fleet.expect_no_crash()
        self.summary = json.loads(self.process.log().splitlines()[-1])
        with open(self._output, encoding="utf-8") as file:
            return [json.loads(line) for line in file]

    def stop(self):
        """Stops new calls, then does the same as wait()."""
        self.process.terminate()
        return self.wait()
