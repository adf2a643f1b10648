"""A small deployment on loopback addresses: real nodes, and stand-ins for the store, the backends and the consumers.

The nodes are started with the command of deploy/system.toml and settings filled in from deploy/settings.json. Stand-ins
run in the event loop of the test process and follow PROTOCOL.md. Nothing here looks into a node.
"""
import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BOUNDS = {"retry_budget_ratio": 0.2, "retry_budget_slack": 56, "budget_window_s": 10, "grace_s": 6}
STORE_ADDRESS = "127.0.0.9"
HOST = "shop.example"


class CannotRun(Exception):
    """The case could not be set up."""


def free_ports(addresses, count):
    """Returns `count` ports in a row that are free at all addresses."""
    for base in range(15100, 32000, 97):
        opened = []
        try:
            for address in addresses:
                for port in range(base, base + count):
                    probe = socket.socket()
                    opened.append(probe)
                    probe.bind((address, port))
            return list(range(base, base + count))
        except OSError:
            continue
        finally:
            for probe in opened:
                probe.close()
    raise CannotRun("no free ports")


async def read_head(reader):
    """Reads the start line and the header fields of a message; None at the end of the connection."""
    try:
        block = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = block.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:-2]:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    return await reader.readexactly(int(fields.get("content-length", 0)))


async def read_answer_body(reader, fields):
    """Reads the body of an answer, which ends with the connection if it has neither a length nor chunks."""
    if "content-length" in fields or "transfer-encoding" in fields:
        return await read_body(reader, fields)
    return await reader.read()


def message(start, fields, body=b""):
    lines = [start] + [f"{name}: {value}" for name, value in fields.items()] + [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


class Record:
    """The record of a case: one line for each thing sent, answered, run or done, with the time since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start = time.monotonic()

    def now(self):
        return time.monotonic() - self._start

    def write(self, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now():9.4f} {what} {text}\n")

    def close(self):
        self._file.close()


class Store:
    """The platform's store: items under one revision that increases, listed and watched."""

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.events = []
        self.revision = 1
        self.changed = asyncio.Condition()

    async def start(self, port):
        self.server = await asyncio.start_server(self._serve, STORE_ADDRESS, port)

    async def put(self, key, value):
        async with self.changed:
            self.revision += 1
            if value is None:
                self.items.pop(key, None)
                event = {"key": key, "revision": self.revision, "removed": True}
            else:
                created = self.items[key]["created"] if key in self.items else self.revision
                event = {"key": key, "value": base64.b64encode(json.dumps(value).encode()).decode(),
                         "revision": self.revision, "created": created, "lease": 0}
                self.items[key] = event
            self.events.append(event)
            self.record.write("store", key=key, revision=self.revision, removed=value is None)
            self.changed.notify_all()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                url = urllib.parse.urlsplit(head[0].split(" ")[1])
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                status, body = await self._answer(url.path.rsplit("/", 1)[-1], query)
                writer.write(message(f"HTTP/1.1 {status}", {"Content-Type": "application/json"}, json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, call, query):
        if call == "kv-key":
            item = self.items.get(query.get("key", ""))
            return ("200 OK", {**item, "current_rev": self.revision}) if item else ("404 Not Found", {"current_rev": self.revision})
        prefix = query.get("prefix", "")
        if call == "kv-watch":
            after = int(query["after"])

            def news():
                return [e for e in self.events if e["revision"] > after and e["key"].startswith(prefix)]
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait_for(news), int(query.get("wait_ms", 0)) / 1000 or 0.001)
                except asyncio.TimeoutError:
                    pass
            return "200 OK", {"events": news(), "current_rev": self.revision}
        items = [item for key, item in sorted(self.items.items())
                 if key.startswith(prefix) and key > query.get("after", "")]
        return "200 OK", {"items": items, "has_more": False, "current_rev": self.revision}


class Backend:
    """A backend of `service` with some slots. It runs a request for `work` seconds and answers with its proof."""

    def __init__(self, deployment, identity, address, service, slots=5, work=0.01):
        self.deployment = deployment
        self.id = identity
        self.address = address
        self.service = service
        self.slots = slots
        self.work = work
        self.state = "ready"
        self.seq = 1
        self.born = int(time.time() * 1000)
        self.waiting = 0
        self.running = 0
        self.slot = asyncio.Semaphore(slots)
        self.on_run = None  # async (line, fields, body, writer) -> True if it has answered itself

    def entry(self):
        return {"address": f"{self.address}:{self.deployment.port['app']}", "born": self.born,
                "info": {"service": self.service, "version": "v1", "zone": self.deployment.zone_of(self.address),
                         "slots": self.slots},
                "status": {"state": self.state, "seq": self.seq, "cold_remaining_s": 0}}

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.address, self.deployment.port["app"])

    async def register(self):
        await self.deployment.store.put(f"servers/{self.id}", self.entry())

    async def drain(self):
        self.state = "draining"
        self.seq += 1
        await self.register()

    async def leave(self):
        await self.deployment.store.put(f"servers/{self.id}", None)

    def _load(self):
        return f"{self.running},{self.waiting},{self.slots}"

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                arrived = self.deployment.record.now()
                line, fields = head
                body = await read_body(reader, fields)
                answer = await self._answer(line, fields, body, writer, arrived)
                if answer is not None:
                    writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, line, fields, body, writer, arrived):
        path = line.split(" ")[1]
        if path == "/health":
            status = "200 OK" if self.state == "ready" else "503 Service Unavailable"
            return message(f"HTTP/1.1 {status}", {"Instance-Id": self.id, "Server-Load": self._load()})
        request = fields.get("request-id", "")
        echo = {"Request-Id": request}
        if not request:
            return message("HTTP/1.1 400 Bad Request", {"Not-Executed": "1"})
        if fields.get("expect-instance", self.id) != self.id:
            return message("HTTP/1.1 421 Misdirected Request", {"Instance-Id": self.id, **echo})
        if self.waiting >= 48:
            return message("HTTP/1.1 503 Service Unavailable", {"Not-Executed": "1", **echo})
        deadline = time.monotonic() + int(fields.get("deadline-ms", 4000)) / 1000
        self.waiting += 1
        await self.slot.acquire()
        self.waiting -= 1
        try:
            if time.monotonic() >= deadline:
                return message("HTTP/1.1 503 Service Unavailable", {"Not-Executed": "1", **echo})
            self.running += 1
            self.deployment.ran(self, request, line, fields, body, arrived)
            if self.on_run is not None and await self.on_run(line, fields, body, writer):
                return None
            await asyncio.sleep(self.work)
            return message("HTTP/1.1 200 OK", {**echo, "Response-Stamp": f"{self.id}.{request}", "Server-Load": self._load()},
                           f"{self.id} ran {request}".encode())
        finally:
            self.running -= 1
            self.slot.release()


class Node:
    """One process of the role of the deploy file."""

    def __init__(self, deployment, address, service):
        self.deployment = deployment
        self.address = address
        self.service = service
        self.child = None
        self.settings = os.path.join(deployment.folder, f"{address}.json")
        self.log = os.path.join(deployment.folder, f"{address}.log")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(deployment.settings_of(self))

    def start(self):
        words = [self.settings if word == "/etc/papayastep/boot.json" else word
                 for word in self.deployment.role["run"].split()]
        env = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"), **self.deployment.role.get("env", {}),
               "PAPAYASTEP_CONFIG": self.settings}
        with open(self.log, "ab") as log:
            self.child = subprocess.Popen(words, cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.deployment.record.write("start", node=self.address)

    def kill(self):
        self.child.kill()
        self.child.wait()
        self.deployment.record.write("kill", node=self.address)

    def terminate(self):
        self.child.terminate()
        self.deployment.record.write("sigterm", node=self.address)

    def send(self, number):
        self.child.send_signal(number)
        self.deployment.record.write("signal", node=self.address, number=int(number))

    def end(self):
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
            self.child.wait()


class Deployment:
    """Nodes and backends at loopback addresses, one of each at each address."""

    def __init__(self, record_path, services, zones, **work):
        self.record = Record(record_path)
        self.folder = tempfile.mkdtemp()
        self.services = services  # Service by address.
        self.zones = zones  # Zone by address.
        self.work = work
        self.runs = []  # (time of arrival, time of the run, request, backend, tenant, caller service)
        self.answers = {}  # Request: (time, status or None, whole, fields, body)
        self.sent = {}  # Request: (time, address, line)
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            self.role = next(iter(tomllib.load(file)["roles"].values()))
        with open(os.path.join(ROOT, "deploy/settings.json"), encoding="utf-8") as file:
            self.template = file.read()
        if not os.path.exists(os.path.join(ROOT, self.role["run"].split()[0])):
            raise CannotRun("the deploy file has not been built")
        names = ["outbound", "inbound", "ready", "app", "peer", "admin", "store"]
        self.port = dict(zip(names, free_ports([*services, STORE_ADDRESS], len(names))))

    def zone_of(self, address):
        return self.zones[address]

    def settings_of(self, node):
        port = self.port
        values = {"ip": node.address, "zone": self.zone_of(node.address), "service": node.service,
                  "port_range.0": str(port["peer"]), "platform.address": f"{STORE_ADDRESS}:{port['store']}",
                  **{f"listen.{name}": f"{node.address}:{port[name]}" for name in ("outbound", "inbound", "ready")},
                  **{f"bounds.{name}": str(value) for name, value in BOUNDS.items()}}
        text = re.sub(r"\{\{([a-z0-9_.]+)\}\}", lambda match: values[match.group(1)], self.template)
        return text.replace(":9464\"", f":{port['admin']}\"")

    async def start(self, configuration):
        self.store = Store(self.record)
        await self.store.start(self.port["store"])
        await self.store.put("op/config", configuration)
        self.backends = {}
        self.nodes = {}
        for number, (address, service) in enumerate(self.services.items()):
            backend = Backend(self, f"i-{number:02d}", address, service, **self.work)
            await backend.start()
            await backend.register()
            self.backends[address] = backend
        for address, service in self.services.items():
            self.nodes[address] = Node(self, address, service)
            self.nodes[address].start()
        for address in self.services:
            await self.wait_ready(address, 25)
        await asyncio.sleep(3)

    async def wait_ready(self, address, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await self.is_ready(address):
                self.record.write("ready", node=address)
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"the node at {address} did not become ready")

    async def is_ready(self, address):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(address, self.port["ready"]), 1)
            writer.write(message("GET /papayastep/ready HTTP/1.1", {"Host": address}))
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and head[0].split(" ")[1] == "200"
        except (OSError, asyncio.TimeoutError):
            return False

    def ran(self, backend, request, line, fields, body, arrived):
        self.runs.append((arrived, self.record.now(), request, backend.id, fields.get("tenant"), fields.get("caller-service")))
        self.record.write("run", request=request, backend=backend.id, tenant=fields.get("tenant"))

    async def call(self, address, request, path, key, method="GET", body=b"", deadline=4.0):
        """Sends one request of a consumer on a new connection and returns its status, or None without a whole answer."""
        fields = {"Host": HOST, "Request-Id": request, "Deadline-Ms": int(deadline * 1000), "Api-Key": key}
        self.sent[request] = (self.record.now(), address, f"{method} {path}")
        self.record.write("send", request=request, node=address, line=f"{method}:{path}")
        status = None
        writer = None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(address, self.port["outbound"]), 1)
            writer.write(message(f"{method} {path} HTTP/1.1", fields, body))
            head = await asyncio.wait_for(read_head(reader), deadline + 1)
            if head is not None:
                answer = await asyncio.wait_for(read_answer_body(reader, head[1]), deadline + 1)
                status = int(head[0].split(" ")[1])
                self.answers[request] = (self.record.now(), status, head[1], answer)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            self.record.write("failed", request=request, how=type(error).__name__)
        finally:
            if writer is not None:
                writer.close()
        self.record.write("answer", request=request, status=status)
        return status

    def end(self):
        for node in getattr(self, "nodes", {}).values():
            node.end()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def resource(resource_type, name, **spec):
    return {"resource_type": resource_type, "metadata": {"name": name}, "spec": spec}


def route(name, prefix, kind, service, **more):
    spec = {"host": HOST, "prefix": prefix, "kind": kind, "service": service, "timeout_s": 2, "target_latency_s": 1,
            "priority": 1, "max_attempts": 3, **more}
    return resource("routes", name, **spec)


def configuration(version, resources):
    limits = resource("limits", "limits", max_header_bytes=16384, max_body_bytes=1048576, header_timeout_s=5, idle_timeout_s=20)
    return {"version": f"r{version}", "resources": [*resources, limits]}


def run_case(record_path, services, zones, case, seconds=115, **work):
    """Runs `case(deployment, trouble)`, which returns the broken rule's text or None, and returns the exit status."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment = None

    async def run():
        return await asyncio.wait_for(case(deployment, trouble), seconds)
    try:
        deployment = Deployment(record_path, services, zones, **work)
        broken = asyncio.run(run())
    except Exception as error:  # A fault of the test itself must not look like a broken rule.
        print(f"could not run: {error!r}")
        return 2
    finally:
        if deployment is not None:
            deployment.end()
    print(f"broken: {broken}" if broken else "held")
    return 1 if broken else 0
