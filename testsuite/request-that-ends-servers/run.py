#!/usr/bin/env python3
"""A lookup ends every backend server that runs it, and its caller repeats it at one node after the other."""
import unittest

from lab import http
from lab.configuration import generated
from lab.fleet import Fleet
from lab.processes import wait_until

SERVERS = 6
ALLOWED_ENDS = 3
TARGET = "/balances/ends-servers"
OTHER_TARGET = "/balances/1"


class RequestThatEndsServersTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(lambda block: generated(block, vms=SERVERS))
        self.addCleanup(self.fleet.close)
        for server in self.fleet.servers:
            self.fleet.server_fault(server["id"], "end", target=TARGET)

    def call(self, node, target):
        return http.call_with_key(self.fleet.caller_port(node), self.fleet.configuration.keys["shops"], "GET", target)

    def ended_servers(self):
        return [server for server, record in self.fleet.server_records().items() if record["ended"]]

    def all_nodes_know(self):
        return all(self.fleet.metrics(node)["papayastep_requests_that_end_servers"] == 1 for node in self.fleet.nodes)

    def expect_refused(self, last):
        self.assertEqual(len(self.ended_servers()), ALLOWED_ENDS)
        self.assertEqual((last.status, last.outcome, last.code), (503, "not-run", "4017"))
        self.assertNotIn("retry-after", last.headers)
        self.assertEqual(self.call("vm-01", OTHER_TARGET).status, 200)

    # Guards against one request that ends all servers of a service.
    def test_requestUnderWhichThreeServersEnded_isSentToNoOther(self):
        answers = [self.call(node, TARGET) for node in list(self.fleet.nodes) * 2]
        self.expect_refused(answers[-1])

    # Guards against a node that was not notified, and lets the request end a fourth server later.
    def test_requestUnderWhichThreeServersEnded_isKnownToAllNodes(self):
        for _ in range(ALLOWED_ENDS):
            self.call("vm-01", TARGET)
        wait_until(self.all_nodes_know, 10, "the notices of the ends")
        self.expect_refused([self.call(node, TARGET) for node in self.fleet.nodes][-1])


if __name__ == "__main__":
    unittest.main()
