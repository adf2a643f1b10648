#!/usr/bin/env python3
"""`papayastep trace` explains from the nodes' logs why a request failed."""
import json
import subprocess
import threading
import unittest

from lab import http
from lab.configuration import generated
from lab.fleet import Fleet, program
from lab.processes import wait_until

SERVICE_MS = 600


class ExplainedFailureTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(lambda block: generated(block, vms=2), backends=["--service-time-ms", SERVICE_MS])
        self.addCleanup(self.fleet.close)
        self.key = self.fleet.configuration.keys["shops"]
        self.names = list(self.fleet.nodes)

    def trace(self, request):
        """Returns the output of the command for a request, from all nodes' logs."""
        logs = [node.log_path for node in self.fleet.nodes.values()]
        return subprocess.run([program("papayastep"), "trace", request, *logs], capture_output=True, text=True,
                              timeout=20, check=False).stdout

    def ended_trace(self, request):
        """Returns trace() once the request's last line is logged. Nodes buffer log lines for half a second."""
        wait_until(lambda: "Answered a request." in self.trace(request), 10, "the end of the request in the logs")
        return self.trace(request)

    # The server of a refund answers with an error. The trace must show whether the server or the fleet failed, and why
    # the refund was not retried.
    def test_refund_answeredWithAnError_isExplainedByItsServer(self):
        for server in self.fleet.configuration.servers:
            self.fleet.server_fault(server["id"], "errors")
        answer = http.call_with_key(self.fleet.caller_port(self.names[0]), self.key, "POST", "/refunds",
                                    json.dumps({"action": "fails"}))
        self.assertEqual(answer.status, 500)
        output = self.ended_trace(answer.headers["papayastep-request-id"])
        self.assertRegex(output, "A backend server failed.*how=error")
        self.assertRegex(output, "Decided after an attempt.*event=server-error.*The request may not run twice")

    # The entry node of a lookup is killed while the lookup runs. No node can log that; the trace must report that no
    # end is logged and that the node restarted.
    def test_lookup_whoseEntryIsKilled_isExplainedByItsNextStart(self):
        entry = self.fleet.nodes[self.names[0]]

        def lookup():
            try:
                http.call_with_key(self.fleet.caller_port(self.names[0]), self.key, "GET", "/balances/7")
            except (OSError, http.http.client.HTTPException):
                pass
        before = entry.log().count("Placed an attempt.")
        caller = threading.Thread(target=lookup)
        caller.start()
        wait_until(lambda: entry.log().count("Placed an attempt.") > before, 10, "the lookup to be placed")
        placed = [line for line in entry.log().splitlines() if "Placed an attempt." in line][-1]
        request = placed.split(" request=")[1].split()[0]
        entry.kill()
        caller.join()
        self.fleet.restart(self.names[0])
        output = self.trace(request)
        self.assertIn("No line tells how it ended", output)
        self.assertIn("node: Started.", output)
        self.assertRegex(self.trace("reached-nobody"), f"{self.names[0]} was not running between .* without a planned")


if __name__ == "__main__":
    unittest.main()
