#!/usr/bin/env python3
"""The network between an entry and the node where its lookups wait is cut, while another server is free."""
import unittest

from lab.overflowcase import DEADLINE, OTHER, SERVER, OverflowCase


class CutWhileLookupsWaitTest(OverflowCase):
    # Guards against an entry that detects only at the deadline that a node no longer answers.
    def test_lookups_cutOffWhileTheyWait_areRepeatedElsewhere(self):
        self.fill(refunds=0, lookups=8)
        self.only(SERVER, OTHER)
        self.cut_until_answered()
        self.finish(DEADLINE + 2)
        repeated = [answer for answer in self.group("lookup") if answer.server == OTHER]
        self.assertGreaterEqual(len(repeated), 5)  # The retry budget of a server without requests.


if __name__ == "__main__":
    unittest.main()
