#!/usr/bin/env python3
"""A planned stop cuts no request in flight, neither at the entry nor at the serving node."""
import json
import threading
import unittest

from lab import http
from lab.fleet import Fleet
from lab.processes import wait_until

SERVICE_MS = 1500


class GracefulStopTest(unittest.TestCase):
    @staticmethod
    def started(fleet):
        return sum(record["started"] for record in fleet.server_records().values())

    def test_node_stoppedWithRequestsInFlight_answersThemAllAndEnds(self):
        # A VM is removed while callers wait for refunds that run on its server and on others.
        with Fleet(backends=["--service-time-ms", SERVICE_MS, "--sigma", 0]) as fleet:
            answers = []
            before = self.started(fleet)

            def refund(number):
                name = f"vm-{number % 3 + 1:02}"
                answers.append(http.call_with_key(fleet.caller_port(name), fleet.configuration.keys["shops"], "POST",
                                                  "/refunds", json.dumps({"action": f"refund-{number}"})))
            threads = [threading.Thread(target=refund, args=(number,)) for number in range(9)]
            for thread in threads:
                thread.start()
            wait_until(lambda: self.started(fleet) == before + 9, 10, "every request to be in flight")
            fleet.nodes["vm-02"].terminate()
            for thread in threads:
                thread.join()
            self.assertEqual([answer.status for answer in answers], 9 * [200])
            self.assertEqual(fleet.nodes["vm-02"].wait(20), 0)
            self.assertEqual(len(fleet.actions()), 9)
            after = http.call_with_key(fleet.caller_port("vm-01"), fleet.configuration.keys["shops"], "GET",
                                       "/balances/1")
            self.assertEqual(after.status, 200)
            self.assertNotEqual(after.server, "counter-2")

    def test_node_stoppedWithLittlePatience_answersOpenRequestsAsUnknown(self):
        # Refunds take longer than the stop waits. If a connection closes without an answer, its caller does not know
        # the outcome.
        settings = {"announceFirstMs": 100, "drainTimeoutMs": 300}
        with Fleet(backends=["--service-time-ms", SERVICE_MS, "--sigma", 0], settings=settings) as fleet:
            answers = []
            before = self.started(fleet)

            def refund(number):
                answers.append(http.call_with_key(fleet.caller_port("vm-02"), fleet.configuration.keys["shops"],
                                                  "POST", "/refunds", json.dumps({"action": f"refund-{number}"})))
            threads = [threading.Thread(target=refund, args=(number,)) for number in range(6)]
            for thread in threads:
                thread.start()
            wait_until(lambda: self.started(fleet) == before + 6, 10, "every request to be in flight")
            fleet.nodes["vm-02"].terminate()
            for thread in threads:
                thread.join()
            self.assertEqual([(answer.status, answer.outcome) for answer in answers], 6 * [(504, "unknown")])
            self.assertEqual(fleet.nodes["vm-02"].wait(20), 0)


if __name__ == "__main__":
    unittest.main()
