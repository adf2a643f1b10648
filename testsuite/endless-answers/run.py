#!/usr/bin/env python3
"""Backend servers send bytes without end, in a head or in a body, until their caller closes."""
import concurrent.futures
import socket
import threading
import time
import unittest

from lab.platformcase import ADDRESSES, KEY, OperatorsPlatformCase
from lab.ports import CALLER
from lab.processes import wait_until

HANG_S = 20  # Far beyond the time limit of a request: a caller that waits for so long hangs.
LIMIT_MS = 1500
PART = b"x" * 16384


class EndlessAnswer:
    """Sends a beginning and then one part again and again, until the other side closes the connection. Without a part it
    sends nothing more and waits for that."""

    def __init__(self, beginning, part, pause_s=0.0):
        self.beginning = beginning
        self.part = part
        self.pause_s = pause_s
        self.senders = 0
        self.begun = 0
        self._lock = threading.Lock()

    def __call__(self, handler, request_id):
        with self._lock:
            self.senders += 1
            self.begun += 1
        try:
            handler.connection.sendall(self.beginning.replace(b"REQUEST", request_id.encode()))
            while self.part or handler.connection.recv(1):
                handler.connection.sendall(self.part)
                time.sleep(self.pause_s)
        except OSError:
            pass
        finally:
            with self._lock:
                self.senders -= 1


class Outcome:
    """What a caller got until the node ended its answer."""

    def __init__(self, status, complete, ended):
        self.status = status
        self.complete = complete
        self.ended = ended


ANSWER = b"HTTP/1.1 200 OK\r\nRequest-Id: REQUEST\r\nResponse-Stamp: proof\r\n"


class EndlessAnswersTest(OperatorsPlatformCase):
    def request(self, address, method="GET", path="/lookups/7"):
        """Sends a request and reads its answer to the end, but for HANG_S at the most."""
        end = time.monotonic() + HANG_S
        data = bytearray()
        size = 0
        with socket.create_connection((address, self.ports.port(CALLER)), timeout=5) as connection:
            connection.sendall((f"{method} {path} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r1\r\nApi-Key: {KEY}\r\n"
                                f"Deadline-Ms: {LIMIT_MS}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n").encode())
            connection.settimeout(1)
            ended = False
            while not ended and time.monotonic() < end:
                try:
                    part = connection.recv(1 << 18)
                except TimeoutError:
                    continue
                except OSError:
                    part = b""
                ended = not part
                size += len(part)
                data = (data + part)[:65536] if len(data) < 65536 else data
        head = bytes(data).split(b"\r\n\r\n", 1)
        status = int(head[0].split(b" ")[1]) if len(head) == 2 else 0
        length = [line.split(b":")[1] for line in head[0].split(b"\r\n") if line.lower().startswith(b"content-length")]
        complete = bool(length) and size == len(head[0]) + 4 + int(length[0])
        return Outcome(status, complete, ended)

    def play(self, beginning, part, pause_s=0.0):
        """Lets both servers answer so, and checks that each caller and each sender comes to an end."""
        trouble = EndlessAnswer(beginning, part, pause_s)
        for server in self.servers:
            server.trouble = trouble
        calls = [(address, *call) for address in ADDRESSES for call in (("GET", "/lookups/7"), ("POST", "/refunds/7"))]
        with concurrent.futures.ThreadPoolExecutor(len(calls)) as pool:
            outcomes = list(pool.map(lambda call: self.request(*call), calls))
        for call, outcome in zip(calls, outcomes):
            self.assertTrue(outcome.ended, f"{call} got no end")
            self.assertFalse(outcome.status == 200 and outcome.complete, f"an answer without end looks complete: {call}")
        self.assertGreater(trouble.begun, 0)
        wait_until(lambda: trouble.senders == 0, HANG_S, "the nodes to close the connections of the servers")
        for server in self.servers:
            server.trouble = None
        for address in ADDRESSES:
            wait_until(lambda a=address: self.request(a).status == 200, HANG_S, f"the node at {address} to serve again")
        for node in self.nodes:
            self.assertTrue(node.is_running())

    # Each case guards against a caller, a slot or a connection that is held for as long as a server goes on sending.
    def test_firstLine_withoutEnd_isCutOff(self):
        self.play(b"HTTP/1.1 200 ", PART)

    def test_fieldLine_withoutEnd_isCutOff(self):
        self.play(ANSWER + b"Long: ", PART)

    def test_fieldLines_withoutEnd_areCutOff(self):
        self.play(ANSWER, b"Another: field\r\n" * 100)

    def test_fieldLines_thatTrickleWithoutEnd_areCutOff(self):
        self.play(ANSWER, b"A: b\r\n", pause_s=0.05)

    def test_interimAnswers_withoutEnd_areCutOff(self):
        self.play(b"", b"HTTP/1.1 102 Processing\r\n\r\n", pause_s=0.01)

    def test_bodyOfAnotherRequest_withoutEnd_isCutOff(self):
        self.play(b"HTTP/1.1 200 OK\r\nRequest-Id: another\r\n\r\n", PART)

    def test_bodyUntilTheConnectionCloses_withoutEnd_isCutOff(self):
        self.play(ANSWER + b"\r\n", PART)

    def test_bodyThatTricklesWithoutEnd_isCutOff(self):
        self.play(ANSWER + b"\r\n", b"x", pause_s=0.05)

    def test_bodyInChunks_withoutEnd_isCutOff(self):
        self.play(ANSWER + b"Transfer-Encoding: chunked\r\n\r\n", b"4000\r\n" + PART + b"\r\n")

    def test_bodyOfAGreatLength_withoutEnd_isCutOff(self):
        self.play(ANSWER + b"Content-Length: 1000000000000\r\n\r\n", PART)

    def test_bodyThatStopsInTheMiddle_isCutOff(self):
        self.play(ANSWER + b"Content-Length: 400000\r\n\r\n" + b"x" * 300000, b"")

    def test_chunkExtension_withoutEnd_isCutOff(self):
        self.play(ANSWER + b"Transfer-Encoding: chunked\r\n\r\n4;a=", PART)

    def test_trailers_withoutEnd_areCutOff(self):
        self.play(ANSWER + b"Transfer-Encoding: chunked\r\n\r\n0\r\n", b"A: b\r\n" * 100)


class StopWithAnOpenAnswerTest(OperatorsPlatformCase):
    MORE_SETTINGS = {"drainTimeoutMs": 200}

    # Guards against a node that crashes when it ends while an answer is still open, before its time limit.
    def test_stop_withAnOpenAnswer_endsTheNode(self):
        trouble = EndlessAnswer(ANSWER + b"Content-Length: 400000\r\n\r\n" + b"x" * 300000, b"")
        for server in self.servers:
            server.trouble = trouble
        callers = []
        for address in ADDRESSES:
            caller = socket.create_connection((address, self.ports.port(CALLER)), timeout=HANG_S)
            self.addCleanup(caller.close)
            caller.sendall(f"GET /lookups/7 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r1\r\nApi-Key: {KEY}\r\n\r\n"
                           .encode())
            callers.append(caller)
        for caller in callers:
            self.assertTrue(caller.recv(1))  # The beginning of the answer.
        for node in self.nodes:
            node.terminate()
        for node in self.nodes:
            self.assertEqual(node.wait(HANG_S), 0)


if __name__ == "__main__":
    unittest.main()
