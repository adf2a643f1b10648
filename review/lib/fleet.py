"""A small deployment on loopback addresses: nodes of the project beside stand-ins for servers, platform and clients.

The nodes run the command of the deploy file with its template of the settings. The stand-ins are threads of this
process and follow PROTOCOL.md: a store that can be read and watched, servers that serve one request at a time on a
connection, and clients that send one request on a connection.
"""
import base64
import ctypes
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
KEY = "2b9wu3fexd9dnn2ctnfz"
HOST = "ficu95.example"
HEALTH_PATH = "/health"
BOUNDS = {"retry_budget_ratio": 0.2, "retry_budget_slack": 56, "budget_window_s": 10, "grace_s": 6, "drain_s": 2}
CANNOT_RUN = 2
PR_SET_PDEATHSIG = 1
_libc = ctypes.CDLL(None)


class CannotRun(Exception):
    """The case could not be carried out; its result says nothing about the rule."""


class Record:
    """The file record.txt: what was sent, answered and run, in the order of time."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()
        self._begin = time.monotonic()

    def now(self):
        return time.monotonic() - self._begin

    def write(self, text):
        with self._lock:
            self._file.write(f"{self.now():8.3f}  {text}\n")
            self._file.flush()


def free_ports(addresses, count):
    """Returns ports that are free at all addresses, below the range of outgoing connections."""
    found = []
    while len(found) < count:
        port = random.randint(20000, 30000)
        if port not in found and all(_is_free(address, port) for address in addresses):
            found.append(port)
    return found


def _is_free(address, port):
    with socket.socket() as probe:
        try:
            probe.bind((address, port))
        except OSError:
            return False
    return True


class HttpReader:
    """Reads HTTP messages from a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def _more(self):
        part = self.sock.recv(65536)
        self.buffer += part
        return bool(part)

    def head(self):
        """Returns the start line and the fields (names in lower case), or None if the connection ended."""
        while b"\r\n\r\n" not in self.buffer:
            if not self._more():
                return None
        text, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        lines = text.decode("latin-1").split("\r\n")
        fields = {}
        for line in lines[1:]:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
        return lines[0], fields

    def exactly(self, size):
        """Returns `size` bytes, or fewer if the connection ended."""
        data = bytearray(self.buffer[:size])
        self.buffer = self.buffer[size:]
        while len(data) < size:
            part = self.sock.recv(min(size - len(data), 1 << 20))
            if not part:
                break
            data += part
        return bytes(data)

    def chunked(self):
        """Returns the body and whether its last chunk came."""
        body = b""
        while True:
            while b"\r\n" not in self.buffer:
                if not self._more():
                    return body, False
            line, self.buffer = self.buffer.split(b"\r\n", 1)
            size = int(line, 16)
            part = self.exactly(size + 2)
            if len(part) < size + 2:
                return body + part[:size], False
            if size == 0:
                return body, True
            body += part[:size]


class Store:
    """The platform's store: items under one revision, which can be read and watched."""

    def __init__(self, address, port):
        self.address = address
        self.port = port
        self._changed = threading.Condition()
        self._items = {}
        self._events = []
        self._revision = 1
        self._listener = socket.create_server((address, self.port), backlog=256)
        threading.Thread(target=self._accept, daemon=True).start()

    def put(self, key, value):
        with self._changed:
            self._revision += 1
            if value is None:
                self._items.pop(key, None)
                event = {"key": key, "revision": self._revision, "removed": True}
            else:
                text = value if isinstance(value, bytes) else json.dumps(value).encode()
                before = self._items.get(key)
                event = {"key": key, "value": base64.b64encode(text).decode(), "revision": self._revision,
                         "created": before["created"] if before else self._revision, "lease": 0}
                self._items[key] = event
            self._events.append(event)
            self._changed.notify_all()

    def _accept(self):
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        reader = HttpReader(sock)
        try:
            while head := reader.head():
                url = urllib.parse.urlsplit(head[0].split(" ")[1])
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                status, answer = self._answer(url.path, query)
                body = json.dumps(answer).encode()
                sock.sendall(f"HTTP/1.1 {status} S\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
        except OSError:
            pass
        finally:
            sock.close()

    def _answer(self, path, query):
        with self._changed:
            if path == "/papayastep/kv-key":
                item = self._items.get(query.get("key", ""))
                return (200, {**item, "current_rev": self._revision}) if item else (404,
                                                                                   {"current_rev": self._revision})
            prefix = query.get("prefix", "")
            if path == "/papayastep/kv-watch":
                after = int(query["after"])

                def news():
                    return [e for e in self._events if e["revision"] > after and e["key"].startswith(prefix)]
                self._changed.wait_for(news, int(query["wait_ms"]) / 1000)
                return 200, {"events": news(), "current_rev": self._revision}
            items = [i for k, i in sorted(self._items.items()) if k.startswith(prefix) and k > query.get("after", "")]
            return 200, {"items": items, "has_more": False, "current_rev": self._revision}


class Server:
    """A backend server. `answer` may be replaced to make it faulty; the default one is sound."""

    def __init__(self, record, server_id, service, address, port, zone="chaguanas", slots=5, work_s=0.05):
        self.record = record
        self.id = server_id
        self.service = service
        self.address = address
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.port = port
        self.born = int(time.time() * 1000)
        self.draining = False
        self.runs = []  # Request ids, in the order in which work on them began.
        self.answers = 0  # All answers, health checks included.
        self.on_request = None  # Called with (connection, line, fields, body); returns True if it has answered.
        self._lock = threading.Lock()
        self._free = threading.Semaphore(slots)
        self._listener = socket.create_server((address, self.port), backlog=256)
        threading.Thread(target=self._accept, daemon=True).start()

    def entry(self):
        return {"address": f"{self.address}:{self.port}", "born": self.born,
                "info": {"service": self.service, "version": "v1", "zone": self.zone, "slots": self.slots},
                "status": {"state": "draining" if self.draining else "ready", "seq": 1, "cold_remaining_s": 0}}

    def began(self, request_id):
        with self._lock:
            self.runs.append(request_id)
        self.record.write(f"server {self.id} runs {request_id}")

    def counted(self):
        with self._lock:
            self.answers += 1

    def load(self):
        return f"0,0,{self.slots}"

    def response(self, status, fields, body=b"", request_id=None):
        """The bytes of a response. The request id is echoed if the request had one."""
        lines = [f"HTTP/1.1 {status}"]
        if request_id:
            lines.append(f"Request-Id: {request_id}")
        lines += [f"{name}: {value}" for name, value in fields.items()]
        lines.append(f"Content-Length: {len(body)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body

    def health_response(self, healthy=True):
        status = "200 OK" if healthy else "503 Service Unavailable"
        return self.response(status, {"Instance-Id": self.id, "Server-Load": self.load()})

    def success(self, request_id, body):
        stamp = f"{self.id}.{random.getrandbits(32):08x}"
        return self.response("200 OK", {"Response-Stamp": stamp, "Server-Load": self.load()}, body, request_id)

    def _accept(self):
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader = HttpReader(sock)
        try:
            while head := reader.head():
                line, fields = head
                body = reader.chunked()[0] if "transfer-encoding" in fields else reader.exactly(
                    int(fields.get("content-length", 0)))
                self._handle(sock, line, fields, body)
        except OSError:
            pass
        finally:
            sock.close()

    def _handle(self, sock, line, fields, body):
        if self.on_request and self.on_request(sock, line, fields, body):
            return
        method, path, _ = line.split(" ")
        if path == HEALTH_PATH:
            self.counted()
            sock.sendall(self.health_response(not self.draining))
            return
        request_id = fields.get("request-id", "")
        if fields.get("expect-instance", self.id) != self.id:
            self.counted()
            sock.sendall(self.response("421 Misdirected Request", {"Instance-Id": self.id}, b"", request_id))
            return
        with self._free:
            self.began(request_id)
            time.sleep(self.work_s)
        self.counted()
        sock.sendall(self.success(request_id, f"{self.id} {request_id}".encode()))


class Answer:
    """What a client received: status 0 if no answer came, and whether the answer was complete."""

    def __init__(self, status, fields, body, complete, seconds, error=""):
        self.status = status
        self.fields = fields
        self.body = body
        self.complete = complete
        self.seconds = seconds
        self.error = error


def call(endpoint, request_id, method, path, body=b"", deadline_ms=4000, wait_s=None, key=KEY):
    """Sends one request on a new connection and waits for its answer until its time limit (or `wait_s`)."""
    begin = time.monotonic()
    end = begin + (wait_s if wait_s is not None else deadline_ms / 1000)
    status, fields, data, complete, error = 0, {}, b"", False, ""
    try:
        with socket.create_connection(endpoint, timeout=1) as sock:
            lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Request-Id: {request_id}",
                     f"Deadline-Ms: {deadline_ms}", f"Api-Key: {key}", "Connection: close"]
            if body or method != "GET":
                lines.append(f"Content-Length: {len(body)}")
            sock.settimeout(max(1, end - time.monotonic()))
            sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            sock.settimeout(0.05)
            raw = bytearray()
            while time.monotonic() < end:
                try:
                    part = sock.recv(262144)
                except TimeoutError:
                    continue
                if not part:
                    error = "closed"
                    break
                raw += part
            if b"\r\n\r\n" in raw:
                head, data = bytes(raw).split(b"\r\n\r\n", 1)
                rows = head.decode("latin-1").split("\r\n")
                status = int(rows[0].split(" ")[1])
                fields = {n.strip().lower(): v.strip() for n, v in (row.split(":", 1) for row in rows[1:])}
                complete = _is_complete(fields, data, error == "closed")
    except OSError as problem:
        error = error or type(problem).__name__
    return Answer(status, fields, data, complete, time.monotonic() - begin, error or "open")


def _is_complete(fields, data, closed):
    if "chunked" in fields.get("transfer-encoding", ""):
        return data.endswith(b"0\r\n\r\n")
    if "content-length" in fields:
        return len(data) >= int(fields["content-length"])
    return closed


def warm_up(record, nodes, method, path, key=KEY):
    """Sends requests to each node until it serves one: the nodes need a moment to find each other."""
    for node in nodes:
        end = time.monotonic() + 15
        status = 0
        while status != 200:
            if time.monotonic() > end:
                raise CannotRun(f"the node at {node.address} serves nothing before the disruption")
            name = f"warm-up-{random.getrandbits(32):08x}"
            status = call(node.outbound, name, method, path, deadline_ms=3000, key=key).status
            record.write(f"{name} answered {status}")


class Node:
    """One node process beside the server at `address`."""

    def __init__(self, fleet, address, service, zone):
        self.fleet = fleet
        self.address = address
        self.service = service
        self.zone = zone
        self.listen = {name: f"{address}:{port}" for name, port in fleet.ports.items()}
        self.settings = os.path.join(fleet.folder, f"{address}.json")
        self.log_path = os.path.join(fleet.folder, f"{address}.log")
        self.child = None

    @property
    def outbound(self):
        host, port = self.listen["outbound"].split(":")
        return host, int(port)

    def start(self):
        values = {"ip": self.address, "zone": self.zone, "service": self.service, "listen": self.listen,
                  "port_range": [self.fleet.peer_port], "bounds": BOUNDS,
                  "platform": {"address": f"{self.fleet.store.address}:{self.fleet.store.port}"}}
        with open(os.path.join(ROOT, self.fleet.role["template"]), encoding="utf-8") as file:
            text = _rendered(file.read(), values)
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)
        command = self.fleet.role["run"].replace("/etc/papayastep/boot.json", self.settings).split(" ")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment.update(self.fleet.role.get("env", {}))
        with open(self.log_path, "ab") as log:
            self.child = subprocess.Popen(command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log,
                                          stderr=log,
                                          preexec_fn=lambda: _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL))

    def is_ready(self):
        host, port = self.listen["ready"].split(":")
        try:
            with socket.create_connection((host, int(port)), timeout=1) as sock:
                sock.sendall(f"GET /papayastep/ready HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n\r\n".encode())
                return sock.recv(64).split(b" ")[1:2] == [b"200"]
        except OSError:
            return False

    def last_line(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as log:
            return (log.read().splitlines() or [""])[-1]

    def stop(self):
        if self.child and self.child.poll() is None:
            self.child.kill()
            self.child.wait()


def _rendered(text, values):
    def value(match):
        found = values
        for part in match.group(1).split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return str(found)
    return re.sub(r"\{\{([a-z_0-9.]+)\}\}", value, text)


class Fleet:
    """Nodes, servers and a store. Use it in a `with` statement: it ends all processes."""

    def __init__(self, record, services, configuration):
        """`services` lists the service of each machine."""
        self.record = record
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            self.role = tomllib.load(file)["roles"]["node"]
        self._folder = tempfile.TemporaryDirectory()
        self.folder = self._folder.name
        net = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        addresses = [f"{net}.{number}" for number in range(1, len(services) + 1)]
        # Ports are the same on all machines.
        store_port, server_port, outbound, inbound, ready, self.peer_port = free_ports([*addresses, f"{net}.250"], 6)
        self.ports = {"outbound": outbound, "inbound": inbound, "ready": ready}
        self.store = Store(f"{net}.250", store_port)
        self.store.put("op/config", configuration)
        self.servers = []
        self.nodes = []
        for number, (service, address) in enumerate(zip(services, addresses), 1):
            server = Server(record, f"i-{number:02d}{random.getrandbits(24):06x}", service, address, server_port)
            self.servers.append(server)
            self.nodes.append(Node(self, address, service, server.zone))

    def __enter__(self):
        try:
            for server in self.servers:
                self.store.put(f"servers/{server.id}", server.entry())
            for node in self.nodes:
                node.start()
            end = time.monotonic() + 30
            for node in self.nodes:
                while not node.is_ready():
                    if time.monotonic() > end:
                        raise CannotRun(f"the node at {node.address} is not ready, exit status {node.child.poll()}: "
                                        f"{node.last_line()}")
                    time.sleep(0.05)
        except BaseException:
            self.__exit__()
            raise
        self.record.write(f"{len(self.nodes)} nodes are ready")
        return self

    def __exit__(self, *_):
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for node in self.nodes:
                if os.path.exists(node.log_path):
                    os.makedirs(keep, exist_ok=True)
                    with open(node.log_path, "rb") as a, open(os.path.join(keep, node.address + ".log"), "wb") as b:
                        b.write(a.read())
        for node in self.nodes:
            node.stop()
        self._folder.cleanup()

    def crashed(self):
        return [node.address for node in self.nodes if node.child.poll() is not None]


def route(name, prefix, kind, service, timeout_s, max_attempts=3, priority=1):
    spec = {"host": HOST, "prefix": prefix, "kind": kind, "service": service, "timeout_s": timeout_s,
            "target_latency_s": 1, "priority": priority, "max_attempts": max_attempts}
    return {"resource_type": "routes", "metadata": {"name": name}, "spec": spec}


def configuration(routes, services):
    resources = list(routes)
    resources += [{"resource_type": "services", "metadata": {"name": name}, "spec": {"health_path": HEALTH_PATH}}
                  for name in services]
    resources.append({"resource_type": "tenants", "metadata": {"name": "huka270"},
                      "spec": {"api_keys": [KEY], "rate_per_s": 0, "burst": 0}})
    return {"version": "r3", "resources": resources}


def main(folder, case):
    """Runs `case(record, trouble)`, which returns the number of breaks, and exits as the review asks."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    try:
        broken = case(record, trouble)
    except Exception as problem:  # pylint: disable=broad-except
        record.write(f"could not run: {type(problem).__name__}: {problem}")
        print(f"could not run: {problem}", file=sys.stderr)
        sys.exit(CANNOT_RUN)
    record.write("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
