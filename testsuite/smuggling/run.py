#!/usr/bin/env python3
"""Requests that parsers could interpret differently, or that forge internal headers, never reach a backend server."""
import unittest

from lab import http
from lab.fleet import Fleet

# If papayastep and a backend server disagree on where a request ends, a caller can hide a second request in the body
# of the first and have it run for another workspace without any check.
AMBIGUOUS = {
    "both lengths": "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nX",
    "repeated length": "Content-Length: 1\r\nContent-Length: 2\r\n\r\nAB",
    "repeated equal length": "Content-Length: 1\r\nContent-Length: 1\r\n\r\nA",
    "length list": "Content-Length: 1, 1\r\n\r\nA",
    "signed length": "Content-Length: +1\r\n\r\nA",
    "unknown transfer encoding": "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
    "folded header": "X-A: 1\r\n X-B: 2\r\nContent-Length: 0\r\n\r\n",
    "space before colon": "Content-Length : 1\r\n\r\nA",
    "bare line feed": "X-A: 1\nContent-Length: 0\r\n\r\n",
    "null in a header": "X-A: 1\0\r\nContent-Length: 0\r\n\r\n",
    "huge header": "X-A: " + 100000 * "a" + "\r\nContent-Length: 0\r\n\r\n",
    "two hosts": "Host: other\r\nContent-Length: 0\r\n\r\n",
    "spoofed workspace": "Papayastep-Workspace: vans\r\nContent-Length: 0\r\n\r\n",
    "spoofed request id": "pApAyAsTeP-rEqUeSt-Id: 1\r\nContent-Length: 0\r\n\r\n",
}


class SmugglingTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = Fleet()
        cls.addClassCleanup(cls.fleet.close)

    def started(self):
        return sum(record["started"] for record in self.fleet.server_records().values())

    def send(self, rest):
        head = f"POST /refunds HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {self.fleet.configuration.keys['shops']}\r\n"
        return http.send_raw(self.fleet.caller_port("vm-01"), (head + rest).encode("latin-1"), timeout=2)

    def test_request_thatIsAmbiguous_isRefusedAndReachesNoServer(self):
        for name, rest in AMBIGUOUS.items():
            with self.subTest(name):
                before = self.started()
                answer = self.send(rest).decode("latin-1")
                self.assertRegex(answer, r"^HTTP/1\.1 4\d\d ")
                self.assertRegex(answer, r"Papayastep-Code: 30\d\d")
                self.assertEqual(answer.count("HTTP/1.1 "), 1, "a second request was read out of the first")
                self.assertEqual(self.started(), before)

    def test_request_thatIsPlain_isServed(self):
        # Without this test, a node that refuses every request would pass.
        self.assertIn(b"HTTP/1.1 200", self.send("Content-Length: 1\r\nConnection: close\r\n\r\nA"))


if __name__ == "__main__":
    unittest.main()
