#!/usr/bin/env python3
"""Backend servers that name a limit or announce their end in their answers, on the operators' platform."""
import itertools
import os
import subprocess
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

from lab.platformcase import ADDRESSES, BUILD, OperatorsPlatformCase
from lab.ports import ADMIN
from lab.processes import wait_until

BINDS_AFTER = 3  # Seconds from the first answer with a limit.
WINDOW = 4  # Seconds in which requests are counted.


def most_in_window(times):
    """Returns the largest number of times within WINDOW seconds."""
    return max((sum(1 for later in times if start <= later < start + WINDOW) for start in times), default=0)


class ServerAnnouncementsTest(OperatorsPlatformCase):
    def refunds_for(self, seconds, addresses=ADDRESSES):
        """Sends refunds to the entries in turn, eight at a time; returns the answers."""
        end = time.monotonic() + seconds
        entries = itertools.cycle(addresses)

        def send(_):
            answers = []
            while time.monotonic() < end:
                answers.append(self.refund(next(entries)))
                time.sleep(0.2)
            return answers
        with ThreadPoolExecutor(8) as pool:
            return list(itertools.chain.from_iterable(pool.map(send, range(8))))

    def refund_at(self, index, entry=ADDRESSES[0]):
        """Gets an answer of one of the servers through an entry, while the other one sheds."""
        other = self.servers[1 - index]
        other.sheds = True
        wait_until(lambda: self.refund(entry)[2] == self.servers[index].id.encode(), 20, "an answer of the server")
        other.sheds = False

    # Guards against a server that gets as many requests as it has free slots although it named a limit.
    def test_serverThatNamesALimit_getsNoMoreThanItAllows(self):
        self.servers[0].limit = "1"
        first = time.monotonic()
        answers = self.refunds_for(BINDS_AFTER + 2 * WINDOW)
        self.assertEqual({status for status, _, _ in answers}, {200})
        counted = [at for at in self.servers[0].arrivals if at >= first + BINDS_AFTER]
        self.assertLessEqual(most_in_window(counted), 1.5 * 1 * WINDOW + 5)
        self.assertGreater(len(counted), 0)

    # Guards against a server that gets requests until the directory reports its end, which it announced before.
    def test_serverThatAnnouncesItsEnd_getsNothingMore(self):
        self.servers[0].announces_on_health_path = False
        self.servers[0].leaving = True
        self.refund_at(0)
        before = len(self.servers[0].requests)
        answers = self.refunds_for(3)
        self.assertEqual({(status, body) for status, _, body in answers}, {(200, b"i-1")})
        self.assertEqual(len(self.servers[0].requests), before)

    # Guards against an announced end that is forgotten when the node beside the server is restarted.
    def test_announcedEnd_afterARestartOfTheNodeBesideTheServer_staysKnownAtTheOtherEntries(self):
        self.servers[0].announces_on_health_path = False
        self.servers[0].leaving = True
        self.refund_at(0, ADDRESSES[1])
        before = len(self.servers[0].requests)
        self.nodes[0].kill()
        self.nodes[0] = self.start_node(ADDRESSES[0])
        wait_until(lambda: self.is_ready(ADDRESSES[0]), 20, "the restarted node")
        answers = self.refunds_for(2, [ADDRESSES[1]])
        self.assertEqual({(status, body) for status, _, body in answers}, {(200, b"i-1")})
        self.assertEqual(len(self.servers[0].requests), before)

    # Guards against a limit that never ends, because the server gets nothing by which it could report the end.
    def test_limitThatEnds_isNoLongerKept(self):
        self.servers[0].limit = "0"
        self.refunds_for(1)
        wait_until(lambda: "A backend server named a limit. server=i-0 requestsPerSecond=0" in self.nodes[0].log(), 20,
                   "the log line")
        self.servers[0].limit = None
        wait_until(lambda: self.refund() and "A backend server no longer names a limit. server=i-0"
                   in self.nodes[0].log(), 30, "the end of the limit")

    # Guards against callers that wait until their deadline although no server will take their request.
    def test_refunds_whileAllServersAreLimited_areRefusedAsNotRunWithATimeToReturn(self):
        for server in self.servers:
            server.limit = "0.5"
        answers = self.refunds_for(4)
        refused = [headers for status, headers, _ in answers if status == 503]
        self.assertGreater(len(refused), 0)
        self.assertTrue(all(float(headers["Retry-After"]) > 0 for headers in refused))
        ran = sum(len(server.requests) for server in self.servers)
        self.assertEqual(ran, sum(1 for status, _, _ in answers if status == 200))
        self.assertEqual(len(refused) + ran, len(answers))

    def test_limitThatCannotBeRead_isLoggedWithItsNumber(self):
        self.servers[0].limit = "soon"
        self.refund_at(0)
        wait_until(lambda: "A backend server named a limit that cannot be read. server=i-0 code=4016"
                   in self.nodes[0].log(), 20, "the log line")
        self.assertEqual(self.refund()[0], 200)

    def test_status_showsWhatServersAnnounce(self):
        self.servers[0].limit = "3.4"
        self.refund_at(0)
        # Not earlier: a refusal of this server would announce its end, and it rightly gets nothing more after that.
        self.servers[1].announces_on_health_path = False
        self.servers[1].leaving = True
        self.refund_at(1)
        nodes = [f"{address}:{self.ports.port(ADMIN)}" for address in ADDRESSES]
        shown = subprocess.run([os.path.join(BUILD, "src/ctl/papayastep"), "status", "--node", *nodes],
                               stdout=subprocess.PIPE, text=True, check=True).stdout
        self.assertIn("i-0 at most 3.4/s", shown)
        self.assertIn("i-1 leaving", shown)


if __name__ == "__main__":
    unittest.main()
