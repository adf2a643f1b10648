"""A test case with two nodes on the operators' platform, and stand-ins for its store and for the backend servers."""
import http.client
import json
import os
import shutil
import tempfile
import unittest

from lab.platformstandins import BackendServer, Store, configuration, server_entry
from lab.ports import ADMIN, CALLER, HOP, PEER, PLATFORM, SERVER, PortBlock
from lab.processes import Process, wait_until

BUILD = os.environ.get("PAPAYASTEP_BUILD", "build")
ADDRESSES = ["127.0.0.11", "127.0.0.12"]
KEY = "2b9wu3fexd9dnn2ctnfz"
READY = 1400


class OperatorsPlatformCase(unittest.TestCase):
    """Starts a node and a backend server at each address."""

    MORE_SETTINGS = {}  # Of the nodes.

    def setUp(self):
        self.ports = PortBlock()
        self.addCleanup(self.ports.close)
        self.folder = tempfile.mkdtemp()
        self.addCleanup(shutil.rmtree, self.folder)
        self.store = Store("127.0.0.1", self.ports.port(PLATFORM))
        self.addCleanup(self.store.close)
        self.store.put("op/config", configuration(3, [KEY]))
        self.servers = [BackendServer(f"i-{n}", address, self.ports.port(SERVER)) for n, address in enumerate(ADDRESSES)]
        for server, address in zip(self.servers, ADDRESSES):
            self.addCleanup(server.close)
            self.store.put(f"servers/{server.id}", server_entry(address, self.ports.port(SERVER), "counter"))
        self.store.put("servers/foreign", b"\xff not an entry")
        self.nodes = [self.start_node(address) for address in ADDRESSES]
        for address in ADDRESSES:
            wait_until(lambda a=address: self.is_ready(a), 20, f"the node at {address}")

    def start_node(self, address):
        ports = {"caller": CALLER, "hop": HOP, "peer": PEER, "admin": ADMIN, "ready": READY}
        settings = {"vm": address, "zone": "arima", "service": "counter", "interfaces": "platform",
                    "rateLimits": "pooled", "placement": "least-cost", "readyPath": "/papayastep/ready",
                    "listen": {name: f"{address}:{self.ports.port(kind)}" for name, kind in ports.items()},
                    "platform": [f"127.0.0.1:{self.ports.port(PLATFORM)}"], "announceFirstMs": 50, **self.MORE_SETTINGS}
        path = os.path.join(self.folder, f"{address}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        os.environ["PAPAYASTEP_SECRET"] = "a secret of the test alone"
        node = Process(address, [os.path.join(BUILD, "src/node/papayastepd"), "--settings", path],
                       os.path.join(self.folder, f"{address}.log"))
        self.addCleanup(node.stop)
        return node

    def is_ready(self, address):
        try:
            return self.call(address, "GET", "/papayastep/ready", port=READY)[0] == 200
        except OSError:
            return False

    def call(self, address, method, path, body=None, port=CALLER, **headers):
        connection = http.client.HTTPConnection(address, self.ports.port(port), timeout=5)
        try:
            fields = {"Host": "shop.example", "Request-Id": "r1", "Deadline-Ms": "1500", **headers}
            connection.request(method, path, body, {k.replace("_", "-"): v for k, v in fields.items()})
            answer = connection.getresponse()
            return answer.status, dict(answer.getheaders()), answer.read()
        finally:
            connection.close()

    def refund(self, address=ADDRESSES[0], key=KEY):
        return self.call(address, "POST", "/refunds/7", b"crates", Api_Key=key)
