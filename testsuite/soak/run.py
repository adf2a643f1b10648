#!/usr/bin/env python3
"""A short part of the soak (`scripts/measure soak`), and every seed that has failed in it."""
import json
import os
import unittest

from lab.cases import soak

REGRESSIONS = os.path.join(os.path.dirname(os.path.abspath(__file__)), "regressions.json")
SEEDS = [1, 2, 3]
SECONDS = 4


class Soak(unittest.TestCase):
    def expect_none(self, seed, seconds):
        violations, history, _ = soak.run(seed, seconds)
        self.assertEqual([], violations)
        self.assertTrue(history.actions)

    def test_series_thatOverlap_breakNoPromise(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.expect_none(seed, SECONDS)

    def test_seeds_thatOnceFailed_breakNoPromise(self):
        with open(REGRESSIONS, encoding="utf-8") as file:
            known = json.load(file)
        for case in known:
            with self.subTest(**case):
                self.expect_none(case["seed"], case["seconds"])


if __name__ == "__main__":
    unittest.main()
