#!/usr/bin/env python3
"""Backend servers answer with numbers that are no status, and with statuses that are not registered."""
import json
import unittest

from lab.platformcase import ADDRESSES, KEY, OperatorsPlatformCase

FIELDS = "Request-Id: REQUEST\r\nResponse-Stamp: proof\r\n"
BODY = b"crates"


class AnswerStatusesTest(OperatorsPlatformCase):
    def answer_with(self, status, fields, servers, keeps_open=True):
        """Lets `servers` answer each request with `status`. Returns a list that gets the ids of these requests."""
        answered = []

        def trouble(handler, request_id):
            answered.append(request_id)
            head = f"HTTP/1.1 {status} Odd\r\n{fields}\r\n".replace("REQUEST", request_id)
            handler.connection.sendall(head.encode() + BODY)
            return keeps_open

        for server in servers:
            server.trouble = trouble
        return answered

    def lookup(self, address):
        return self.call(address, "GET", "/lookups/7", Api_Key=KEY)

    def check_invalid(self, status):
        answered = self.answer_with(status, FIELDS + f"Content-Length: {len(BODY)}\r\n", self.servers)
        got, _, body = self.refund()
        self.assertIn("r1", answered)
        self.assertEqual(got, 502)  # A 504 would show that the caller waited until its deadline.
        self.assertEqual(json.loads(body)["code"], 3027)
        for address in ADDRESSES:
            self.assertIn(self.lookup(address)[0], (502, 503))

    # Each case guards against a number that a caller gets as the status of an answer, or that costs it its whole time.
    def test_numberZero_isABrokenAnswer(self):
        self.check_invalid("000")

    def test_numberBelowTheStatuses_isABrokenAnswer(self):
        self.check_invalid("099")

    def test_numberAboveTheStatuses_isABrokenAnswer(self):
        self.check_invalid("600")

    def test_changeOfTheProtocolThatWasNotAsked_isABrokenAnswer(self):
        self.check_invalid("101")

    # Guards against a lookup that fails although another server can answer it.
    def test_numberFromOneServer_costsNoLookup(self):
        self.answer_with("000", FIELDS + f"Content-Length: {len(BODY)}\r\n", self.servers[:1])
        for address in ADDRESSES * 4:
            self.assertEqual(self.lookup(address)[0], 200)

    # Guards against an answer without an end: neither a length nor chunks nor the end of the connection.
    def test_unregisteredStatusWithoutALength_isPassedOnWithAnEnd(self):
        for status in ("209", "299", "460"):
            self.answer_with(status, FIELDS, self.servers, keeps_open=False)
            for address in ADDRESSES:
                got, fields, body = self.lookup(address)
                self.assertEqual((got, body), (int(status), BODY))
                self.assertTrue("Content-Length" in fields or "Transfer-Encoding" in fields, fields)

    # Guards against a caller that waits for the body of an answer that has none.
    def test_lengthOfAnAnswerWithoutABody_isNotPassedOn(self):
        self.answer_with("204", FIELDS + f"Content-Length: {len(BODY)}\r\n", self.servers, keeps_open=False)
        for address in ADDRESSES:
            got, fields, body = self.lookup(address)
            self.assertEqual((got, body), (204, b""))
            self.assertNotIn("Content-Length", fields)


if __name__ == "__main__":
    unittest.main()
