#!/usr/bin/env python3
"""Two nodes on the operators' platform, with stand-ins for its store and for the backend server beside each node."""
import concurrent.futures
import functools
import http.client
import socket
import unittest

from lab.platformcase import ADDRESSES, KEY, OperatorsPlatformCase
from lab.platformstandins import configuration
from lab.ports import CALLER
from lab.processes import wait_until


class OperatorsPlatformTest(OperatorsPlatformCase):
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

    # Guards against a withdrawn key that goes on working since another entry of the revision has a value that no
    # configuration file may have, or that is no value at all.
    def test_withdrawnKey_besideManyKeysAndAnInvalidEntry_stopsWorkingAtEachEntry(self):
        published = configuration(5, [f"added-{number}" for number in range(100)])
        broken = {"resource_type": "tenants", "metadata": {"name": "broken"}, "spec": {"api_keys": "none"}}
        published["resources"].append(broken)
        self.store.put("op/config", published)
        for address in ADDRESSES:
            wait_until(lambda a=address: self.refund(a)[0] == 401, 10, "the withdrawal")
            self.assertEqual(self.refund(address, key="added-99")[0], 200)
        for node in self.nodes:
            self.assertIn("Skipped an invalid entry of a revision. revision=5 section=workspaces id=broken", node.log())

    # Guards against a refund that runs and whose caller gets the promise of a 503 that it did not: the second copy of an
    # answer to a health check, which has no request id.
    def test_refund_behindASecondHealthAnswer_getsItsOwnAnswer(self):
        checked = set()

        def answer(server, handler, request_id):
            if handler.path == "/health":
                checked.add(server.id)
                handler.follows_health_answer = True
                handler.send(503, Instance_Id=server.id)
                return True
            if getattr(handler, "follows_health_answer", False):
                handler.send(503, Instance_Id=server.id)
            server.requests.append((handler.command, handler.path, dict(handler.headers), b""))
            handler.send(200, server.id.encode(), Request_Id=request_id, Response_Stamp="proof")
            return True

        for server in self.servers:
            server.trouble = functools.partial(answer, server)
        wait_until(lambda: len(checked) == len(self.servers), 20, "a health check of each server")
        for address in ADDRESSES * 3:
            before = sum(len(server.requests) for server in self.servers)
            status = self.refund(address)[0]
            ran = sum(len(server.requests) for server in self.servers) - before
            self.assertIn((status, ran), [(200, 1), (503, 0)])

    def accepts(self, address):
        try:
            socket.create_connection((address, self.ports.port(CALLER)), timeout=5).close()
            return True
        except ConnectionRefusedError:
            return False

    # Guards against a refusal that its caller drops because it has the id of another request.
    def test_requestCompletedAfterAPlannedStop_isRefusedWithItsOwnId(self):
        head = f"GET /lookups/7 HTTP/1.1\r\nHost: shop.example\r\nApi-Key: {KEY}\r\nRequest-Id: own-id\r\n\r\n".encode()
        with socket.create_connection((ADDRESSES[0], self.ports.port(CALLER)), timeout=20) as caller:
            caller.sendall(head[:30])
            self.assertTrue(self.is_ready(ADDRESSES[0]))  # The node has read the first part before this request.
            self.nodes[0].terminate()
            wait_until(lambda: not self.accepts(ADDRESSES[0]), 20, "the node to take no more connections")
            caller.sendall(head[30:])
            answer = http.client.HTTPResponse(caller)
            answer.begin()
            self.assertEqual((answer.status, answer.getheader("Request-Id")), (503, "own-id"))

    def test_plannedStop_endsTheNode(self):
        self.nodes[0].terminate()
        self.assertEqual(self.nodes[0].wait(10), 0)
        self.assertEqual(self.refund(ADDRESSES[1])[0], 200)


class LargeUploadsTest(OperatorsPlatformCase):
    BODY_BYTES = 64 * 1024 * 1024
    MEMORY_MB = 260  # Of a VM of the operators.
    MORE_SETTINGS = {"limits": {"bodyBytes": BODY_BYTES}}

    def peak_mb(self, node):
        with open(f"/proc/{node.pid}/status", encoding="ascii") as status:
            peak_kib = next(int(line.split()[1]) for line in status if line.startswith("VmHWM:"))
        return peak_kib * 1024 / 1e6

    # Guards against a node that is ended because it holds each byte of an upload several times.
    def test_twoUploadsAtOnce_fitIntoTheMemoryOfAVm(self):
        body = bytes(self.BODY_BYTES)
        with concurrent.futures.ThreadPoolExecutor(2) as pool:
            uploads = [pool.submit(self.call, ADDRESSES[0], "POST", "/refunds/7", body, Api_Key=KEY, Deadline_Ms="12000",
                                   Request_Id=f"r{number}") for number in range(2)]
            self.assertEqual([upload.result()[0] for upload in uploads], [200, 200])
        for node in self.nodes:
            self.assertLess(self.peak_mb(node), self.MEMORY_MB)


if __name__ == "__main__":
    unittest.main()
