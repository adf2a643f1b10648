#!/usr/bin/env python3
"""Backend servers that name a limit or announce their end in the headers of papayastep's own protocol."""
import unittest

from lab.fleet import Fleet
from lab.processes import wait_until

LIMIT = 2  # Requests per second.
BINDS_AFTER = 3  # Seconds from the first answer with the limit.
WINDOW = 4  # Seconds in which requests are counted.
PER_SECOND = 60


def most_in_window(times):
    """Returns the largest number of times within WINDOW seconds."""
    return max((sum(1 for later in times if start <= later < start + WINDOW) for start in times), default=0)


class OwnProtocolAnnouncementsTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(settings={"placement": "least-cost", "asksForFreeSlots": True})
        self.addCleanup(self.fleet.close)
        self.server = self.fleet.configuration.servers[0]["id"]
        self.load = self.fleet.load([self.fleet.stream("shops", PER_SECOND)], BINDS_AFTER + 2 * WINDOW)
        wait_until(self.starts, 20, "requests at the server")

    def starts(self):
        """Returns the start times of the requests at the server."""
        return [at for at, _ in self.fleet.server_arrivals(self.server)]

    def wait_for_line(self, line):
        wait_until(lambda: any(line in node.log() for node in self.fleet.nodes.values()), 20, line)

    # Guards against a server that gets as many requests as it has free slots although it named a limit.
    def test_serverThatNamesALimit_getsNoMoreThanItAllows(self):
        self.fleet.server_fault(self.server, "limit", rate=LIMIT)
        self.wait_for_line(f"A backend server named a limit. server={self.server}")
        first = self.starts()[-1]
        attempts = self.load.wait()
        counted = [at for at in self.starts() if at >= first + BINDS_AFTER]
        self.assertGreater(len(counted), 0)
        self.assertLessEqual(most_in_window(counted), 1.5 * LIMIT * WINDOW + 5)
        self.assertEqual({attempt["status"] for attempt in attempts}, {200})

    # Guards against a server that gets requests although it announced its end, because no operator drains it.
    def test_serverThatAnnouncesItsEnd_getsNothingMore(self):
        self.fleet.server_fault(self.server, "leave")
        self.wait_for_line(f"A backend server announced its end. server={self.server}")
        before = len(self.starts())
        attempts = self.load.wait()
        running = 5  # Requests that had reached one of its slots when the first answer announced the end.
        self.assertLessEqual(len(self.starts()), before + running)
        self.assertEqual({attempt["status"] for attempt in attempts}, {200})


if __name__ == "__main__":
    unittest.main()
