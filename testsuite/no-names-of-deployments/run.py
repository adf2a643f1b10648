#!/usr/bin/env python3
"""Product code contains no name of a deployment, service, workspace or day of the measurements."""
import os
import re
import subprocess
import unittest

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
WORDS = os.path.join(os.path.dirname(os.path.abspath(__file__)), "words.txt")

# Code of tests and measurements contains the users' examples; it is not shipped.
NOT_SHIPPED = re.compile(r"_test\.cpp$|measure\.cpp$|^src/(testing|fuzz)/|/(baselines|faultplan|fleetbus|testfleet)\.|"
                         r"/syntheticfleet\.")


def words():
    with open(WORDS, encoding="utf-8") as file:
        return [line.strip() for line in file if line.strip() and not line.startswith("#")]


def product_files():
    listed = subprocess.run(["git", "ls-files", "src/*.cpp", "src/*.h", "src/*.json", "platform/*.cpp", "platform/*.h"],
                            cwd=ROOT, stdout=subprocess.PIPE, text=True, check=True).stdout.splitlines()
    return [path for path in listed if not NOT_SHIPPED.search(path)]


class NamesOfDeploymentsTest(unittest.TestCase):
    def test_productCode_ofAnyPackage_namesNoDeployment(self):
        # A decision that depends on a name from a measurement works for that deployment and fails for the next one.
        pattern = re.compile("|".join(rf"\b{re.escape(word)}\b" for word in words()), re.IGNORECASE)
        found = []
        for path in product_files():
            with open(os.path.join(ROOT, path), encoding="utf-8") as file:
                found += [f"{path}:{number}: {line.strip()}" for number, line in enumerate(file, 1)
                          if pattern.search(line)]
        self.assertEqual(found, [])

    def test_productFiles_inACheckout_areFound(self):
        # With no files to check, the other test would pass for any code.
        self.assertGreater(len(product_files()), 200)


if __name__ == "__main__":
    unittest.main()
