#!/usr/bin/env python3
"""Short histories with fixed seeds under pairs of faults. Longer runs: scripts/measure at-most-once --seeds N."""
import unittest

from lab.cases import histories
from lab.history import check

SECONDS = 8


class HistoryUnderFaultsTest(unittest.TestCase):
    def check_seed(self, seed):
        history, pairs = histories.run(seed, SECONDS)
        self.assertGreater(len(history.actions), 0, "the run proves nothing")
        self.assertEqual(check(history), [], f"under {pairs}")

    def test_history_ofSeed1_holdsEveryRule(self):
        self.check_seed(1)

    def test_history_ofSeed2_holdsEveryRule(self):
        self.check_seed(2)


if __name__ == "__main__":
    unittest.main()
