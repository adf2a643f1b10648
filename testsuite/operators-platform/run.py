#!/usr/bin/env python3
"""Two nodes on the operators' platform, with stand-ins for its store and for the backend server beside each node."""
import http.client
import json
import os
import shutil
import tempfile
import unittest

from lab.ports import ADMIN, CALLER, HOP, PEER, PLATFORM, SERVER, PortBlock
from lab.processes import Process, wait_until

from store import BackendServer, Store, configuration, server_entry

BUILD = os.environ.get("PAPAYASTEP_BUILD", "build")
ADDRESSES = ["127.0.0.11", "127.0.0.12"]
KEY = "2b9wu3fexd9dnn2ctnfz"
READY = 1400


class OperatorsPlatformTest(unittest.TestCase):
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
                    "platform": [f"127.0.0.1:{self.ports.port(PLATFORM)}"], "announceFirstMs": 50}
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

    def test_refund_atEachEntry_runsOnceForItsWorkspaceWithoutItsKey(self):
        for address in ADDRESSES:
            status, headers, body = self.call(address, "POST", "/refunds/7", b"crates", Api_Key=KEY, Tenant="forged",
                                              Caller_Service="forged")
            self.assertEqual((status, headers.get("Response-Stamp")), (200, "proof"))
            self.assertIn(body, [b"i-0", b"i-1"])
        ran = [request for server in self.servers for request in server.requests]
        self.assertEqual(len(ran), 2)
        for method, path, headers, body in ran:
            self.assertEqual((method, path, body), ("POST", "/refunds/7", b"crates"))
            self.assertEqual((headers["Tenant"], headers["Caller-Service"]), ("shops", "counter"))
            self.assertNotIn("Api-Key", headers)
            self.assertLessEqual(int(headers["Deadline-Ms"]), 1500)

    def test_callerRefused_isToldWhy(self):
        self.assertEqual(self.refund(key="nobody's")[0], 401)
        self.assertEqual(self.call(ADDRESSES[0], "GET", "/nowhere/1", Api_Key=KEY)[0], 404)
        self.assertEqual(self.call(ADDRESSES[0], "GET", "/lookups", Api_Key=KEY)[0], 404)
        self.assertEqual(self.call(ADDRESSES[0], "GET", "/prices/1")[0], 200)

    # All servers report that they are full. The caller must be told that nothing ran, and when to retry.
    def test_refund_shedByEveryServer_isToldNotRun(self):
        for server in self.servers:
            server.sheds = True
        status, headers, _ = self.refund()
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["Retry-After"]), 0)
        self.assertEqual([server.requests for server in self.servers], [[], []])

    # The platform is unavailable: the last known state stays valid, and a server that left meanwhile is detected.
    def test_platformAway_goesOnServing(self):
        self.store.away = True
        for address in ADDRESSES:
            self.assertEqual(self.refund(address)[0], 200)
        self.store.away = False
        self.store.put("servers/i-1", None)
        for node in self.nodes:
            wait_until(lambda node=node: "A backend server did not come back" in node.log()
                       or "A backend server is gone" in node.log(), 20, f"{node.name} to hear of the removal")
        for address in ADDRESSES:
            self.assertEqual(self.refund(address)[2], b"i-0")

    def test_withdrawnKey_stopsWorkingAtEachEntry(self):
        self.store.put("op/config", configuration(5, ["another"]))
        for address in ADDRESSES:
            wait_until(lambda a=address: self.refund(a)[0] == 401, 10, "the withdrawal")
        self.store.put("op/config", configuration(4, [KEY]))
        self.assertEqual(self.refund()[0], 401)

    def test_plannedStop_endsTheNode(self):
        self.nodes[0].terminate()
        self.assertEqual(self.nodes[0].wait(10), 0)
        self.assertEqual(self.refund(ADDRESSES[1])[0], 200)


if __name__ == "__main__":
    unittest.main()
