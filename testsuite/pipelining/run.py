#!/usr/bin/env python3
"""Callers that pipeline, at nodes that handle their requests concurrently and at nodes that do not."""
import unittest

from lab.fleet import Fleet

SECONDS = 2


class Pipelining(unittest.TestCase):
    def started_concurrently(self, settings):
        """Lets callers pipeline, and returns how many requests were started while an earlier one was open."""
        with Fleet(backends=["--service-time-ms", 20], settings=settings) as fleet:
            stream = fleet.stream("shops", 0, pause=0.001, pipelined=8)
            attempts = fleet.load([stream], SECONDS, connections=2).wait()
            self.assertTrue(attempts)
            for attempt in attempts:
                self.assertEqual((200, True, True, True), (attempt["status"], attempt["own"], attempt["whole"],
                                                           attempt["right_workspace"]), attempt)
            return sum(fleet.metrics(name)["papayastep_caller_requests_pipelined_total"] for name in fleet.nodes)

    def test_pipeline_withTheSetting_isHandledConcurrentlyAndAnsweredInOrder(self):
        """Guards against answers of another request of the connection, and against a setting without effect."""
        self.assertGreater(self.started_concurrently({"limits": {"pipelinedRequests": 16}}), 0)

    def test_pipeline_withoutTheSetting_isHandledOneAfterTheOther(self):
        """Guards against a node that changes its behavior without the setting."""
        self.assertEqual(self.started_concurrently(None), 0)


if __name__ == "__main__":
    unittest.main()
