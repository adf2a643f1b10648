#!/usr/bin/env python3
"""Backend servers that name a limit or announce their end in their answers, on the operators' platform."""
import itertools
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

from lab.platformcase import ADDRESSES, OperatorsPlatformCase
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
        self.servers[0].leaving = True
        wait_until(lambda: self.refund()[2] == b"i-0", 20, "an answer that announces the end")
        before = len(self.servers[0].requests)
        answers = self.refunds_for(3)
        self.assertEqual({(status, body) for status, _, body in answers}, {(200, b"i-1")})
        self.assertEqual(len(self.servers[0].requests), before)


if __name__ == "__main__":
    unittest.main()
