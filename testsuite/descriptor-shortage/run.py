#!/usr/bin/env python3
"""A node with a low limit of file descriptors, and callers that open more connections than it can hold."""
import socket
import unittest

from lab import http
from lab.fleet import Fleet
from lab.processes import Process, wait_until

DESCRIPTORS = 128
CONNECTIONS = 3 * DESCRIPTORS
CLOSE_TIMEOUT = 5  # Time limit in seconds for closing a connection that is not served.
CPU_SECONDS_WHILE_FULL = 1.0


class DescriptorShortageTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.name, self.other = list(self.fleet.nodes)[:2]
        old = self.fleet.nodes[self.name]
        self.assertTrue(old.stop())
        limited = ["prlimit", f"--nofile={DESCRIPTORS}:{DESCRIPTORS}"] + old.arguments
        self.node = self.fleet.nodes[self.name] = Process(self.name, limited, old.log_path)
        self.fleet.wait_ready(self.name)

    def lookup(self, name):
        key = self.fleet.configuration.keys["shops"]
        return http.call_with_key(self.fleet.caller_port(name), key, "GET", self.fleet.configuration.lookup_path())

    def connect(self):
        """Returns an open connection on which a caller has sent a request and can send more."""
        caller = socket.create_connection(("127.0.0.1", self.fleet.caller_port(self.name)), timeout=CLOSE_TIMEOUT)
        self.addCleanup(caller.close)
        configuration = self.fleet.configuration
        caller.sendall(f"GET {configuration.lookup_path()} HTTP/1.1\r\nHost: shop.example\r\n"
                       f"Authorization: Bearer {configuration.keys['shops']}\r\n\r\n".encode())
        return caller

    @staticmethod
    def is_answered(caller):
        """Returns whether the node answers, false if it closes the connection. Raises TimeoutError otherwise."""
        try:
            return caller.recv(4096).startswith(b"HTTP/1.1 ")
        except ConnectionError:
            return False

    # A burst of callers, or callers that never close, use up the file descriptors of a node. Without a limit, new
    # connections wait in its queue without an answer, its hops and its watch of the platform fail, and the servers
    # behind them are treated as unhealthy. Callers therefore get only a part of the descriptors; a connection beyond
    # it is closed at once, so that its caller can use another node.
    def test_connections_beyondTheLimit_areClosedAtOnceAndTheNodeGoesOn(self):
        before = self.node.cpu_seconds()
        callers = [self.connect() for _ in range(CONNECTIONS)]
        answered = sum(self.is_answered(caller) for caller in callers)
        self.assertGreater(answered, 0)
        self.assertLess(answered, DESCRIPTORS)
        self.assertIn("Refused a connection. code=3018", self.node.log())
        # Descriptors remain for internal use: hops from other nodes, admin pages, peers and the platform.
        self.assertTrue(self.fleet.is_ready(self.name))
        self.assertEqual([self.lookup(self.other).status for _ in range(20)], 20 * [200])
        self.fleet.publish(self.fleet.configuration)
        wait_until(lambda: self.fleet.status(self.name)["revision"] == self.fleet.revision, 10, "the new revision")
        self.assertLess(self.node.cpu_seconds() - before, CPU_SECONDS_WHILE_FULL)
        for caller in callers:
            caller.close()
        wait_until(lambda: self.lookup_or_none() == 200, 10, "the node to serve again")
        self.assertTrue(self.node.is_running())
        self.assertTrue(self.node.stop())

    def lookup_or_none(self):
        try:
            return self.lookup(self.name).status
        except (OSError, http.http.client.HTTPException):
            return None


if __name__ == "__main__":
    unittest.main()
