#!/usr/bin/env python3
"""An outsider who reaches the ports between nodes must not get a request to a backend server, nor tokens."""
import socket
import unittest

from lab import http
from lab.fleet import Fleet

FORGED = {
    "Papayastep-Workspace": "shops",
    "Papayastep-Request-Id": "0123456789abcdef0123456789abcdef",
    "Papayastep-Attempt": "0",
    "Papayastep-Deadline-Ms": "2000",
    "Papayastep-Server": "counter-1",
    "Papayastep-Hop": "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA",
}


class OutsiderTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = Fleet()
        cls.addClassCleanup(cls.fleet.close)

    def started(self):
        return sum(record["started"] for record in self.fleet.server_records().values())

    def hop(self, headers):
        return http.call(self.fleet.vm("vm-01")["hopPort"], "POST", "/refunds", "{}", headers, timeout=3)

    def test_hopRequest_withoutAuthentication_isRefusedAndReachesNoServer(self):
        # The hop port accepts requests as already checked; a caller that reaches it would bypass key, rate and route.
        for name, headers in {"none": {}, "forged": FORGED,
                              "key": {"Authorization": f"Bearer {self.fleet.configuration.keys['shops']}"}}.items():
            with self.subTest(name):
                before = self.started()
                answer = self.hop(headers)
                self.assertIn(answer.status, (400, 401, 403))
                self.assertEqual(answer.outcome, "not-run")
                self.assertEqual(self.started(), before)

    def test_peerPort_givenNoise_leavesTheNodeServing(self):
        # Bytes sent by a port scanner, or by an old program on a reused address.
        for noise in (b"GET / HTTP/1.1\r\n\r\n", b"\0SP\0\0\x50\0\0" + 64 * b"\xff", 4096 * b"\xff"):
            with socket.create_connection(("127.0.0.1", self.fleet.vm("vm-01")["peerPort"]), timeout=3) as stranger:
                stranger.sendall(noise)
        answer = http.call_with_key(self.fleet.caller_port("vm-01"), self.fleet.configuration.keys["shops"], "GET",
                                    "/balances/1")
        self.assertEqual(answer.status, 200)


if __name__ == "__main__":
    unittest.main()
