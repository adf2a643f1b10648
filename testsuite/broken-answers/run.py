#!/usr/bin/env python3
"""Backend servers break their answers: they reset the connection during a long upload, or send invalid fields."""
import fcntl
import http.client
import json
import os
import socket
import struct
import termios
import time
import unittest

from lab.platformcase import ADDRESSES, KEY, OperatorsPlatformCase
from lab.ports import ADMIN
from lab.processes import wait_until

UPLOAD_BYTES = 16 * 1024 * 1024  # More than the buffers of a connection hold.
LARGE_PART_BYTES = 400_000  # More than a node buffers before it forwards the beginning of an answer.
ANSWER_INCOMPLETE = 3014


def wait_until_delivered(connection):
    """Waits until the other side has received all bytes. A reset discards those that it has not received."""
    def unsent():
        return struct.unpack("i", fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, bytes(4)))[0]
    wait_until(lambda: unsent() == 0, 10, "the delivery of a part of an answer")


def wait_until_blocked(connection):
    """Waits until the sender of an upload that is not read can't send any more."""
    def unread():
        return struct.unpack("i", fcntl.ioctl(connection.fileno(), termios.FIONREAD, bytes(4)))[0]

    def is_blocked():
        before = unread()
        time.sleep(0.1)
        return 0 < before == unread()
    wait_until(is_blocked, 10, "the upload to block")


def reset(connection):
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    os.close(connection.detach())  # Its close() would wait until the handler closes its files.


def end_in_order(connection):
    """Ends the answer. The handler then closes the connection with unread bytes, which resets it."""
    connection.shutdown(socket.SHUT_WR)


class BrokenAnswersCase(OperatorsPlatformCase):
    """Two nodes and one backend server, beside the first node."""

    MORE_SETTINGS = {"limits": {"bodyBytes": UPLOAD_BYTES}}

    def setUp(self):
        super().setUp()
        self.answered = []  # Ids of the requests that the server has answered.
        self.server = self.servers[0]
        self.store.put(f"servers/{self.servers[1].id}", None)
        for address in ADDRESSES:
            wait_until(lambda a=address: self.known_servers(a) == [self.server.id], 20, f"the removal at {address}")

    def known_servers(self, address):
        _, _, page = self.call(address, "GET", "/status", port=ADMIN)
        return [server["id"] for server in json.loads(page)["servers"]]

    def answer_uploads(self, status, body, end):
        """Lets the server answer each upload without a length before it has read the body, and then call `end`."""
        def trouble(handler, request_id):
            if handler.path == "/health":
                handler.send(200)
                return True
            fields = f"Request-Id: {request_id}\r\nResponse-Stamp: proof\r\n"
            handler.connection.sendall(f"HTTP/1.1 {status} Early\r\n{fields}\r\n".encode() + body)
            wait_until_delivered(handler.connection)
            wait_until_blocked(handler.connection)
            self.answered.append(request_id)
            end(handler.connection)
            return False

        self.server.reads_bodies = False
        self.server.trouble = trouble

    def upload(self, address):
        return self.call(address, "POST", "/refunds/7", bytes(UPLOAD_BYTES), Api_Key=KEY, Deadline_Ms="4000")


class UploadsToAServer:
    """The cases, for an entry at the address `entry`."""

    entry = None

    def check_broken(self, status, body):
        self.answer_uploads(status, body, reset)
        got, _, got_body = self.upload(self.entry)
        self.assertEqual(self.answered, ["r1"])
        self.assertEqual(got, 502)
        self.assertEqual(json.loads(got_body)["code"], ANSWER_INCOMPLETE)

    # Each case guards against a part of an answer that its caller gets as the whole one.
    def test_answerWithoutALength_resetAfterAPart_isIncomplete(self):
        self.check_broken(200, b"part")

    def test_answerWithoutALength_resetAfterItsHead_isIncomplete(self):
        self.check_broken(200, b"")

    def test_failureWithoutALength_resetAfterAPart_isIncomplete(self):
        self.check_broken(500, b"part")

    def test_answerWithoutALength_resetAfterItWasForwardedInPart_isCutOff(self):
        self.answer_uploads(200, b"x" * LARGE_PART_BYTES, reset)
        with self.assertRaises((http.client.IncompleteRead, ConnectionError)):
            self.upload(self.entry)
        self.assertEqual(self.answered, ["r1"])

    # Guards against the loss of an answer whose server does not read the rest of the upload.
    def test_answerWithoutALength_endedInOrder_isComplete(self):
        self.answer_uploads(413, b"too large", end_in_order)
        got, _, got_body = self.upload(self.entry)
        self.assertEqual((got, got_body), (413, b"too large"))


class LocalServerTest(UploadsToAServer, BrokenAnswersCase):
    entry = ADDRESSES[0]


class ServerBehindAHopTest(UploadsToAServer, BrokenAnswersCase):
    entry = ADDRESSES[1]


class InvalidHeadsTest(OperatorsPlatformCase):
    def check_broken(self, line):
        """Lets each server add `line` to the heads of its answers."""
        answered = []

        def trouble(handler, request_id):
            if handler.path == "/health":
                handler.send(200)
                return True
            answered.append(request_id)
            head = f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nResponse-Stamp: proof\r\n".encode() + line
            handler.connection.sendall(head + b"\r\nContent-Length: 6\r\n\r\ncrates")
            return True

        for server in self.servers:
            server.trouble = trouble
        status, _, body = self.refund()
        self.assertEqual(answered, ["r1"])
        self.assertEqual(status, 502)
        self.assertEqual(json.loads(body)["code"], ANSWER_INCOMPLETE)
        for address in ADDRESSES:
            self.assertIn(self.call(address, "GET", "/lookups/7", Api_Key=KEY)[0], (502, 503))

    # Each case guards against a line that is passed on as a field, or a body that is not the server's.
    def test_nameWithABlank_isABrokenAnswer(self):
        self.check_broken(b"Odd Name: x")

    def test_nameWithAControlByte_isABrokenAnswer(self):
        self.check_broken(b"Odd\x01Name: x")

    def test_blankBehindTheNameOfALength_isABrokenAnswer(self):
        self.check_broken(b"Content-Length : 2")

    def test_controlByteBehindTheNameOfACoding_isABrokenAnswer(self):
        self.check_broken(b"Transfer-Encoding\x0b: chunked")

    # Guards against an encoded body that is passed on without the field that names its coding.
    def test_codingOtherThanChunks_isABrokenAnswer(self):
        self.check_broken(b"Transfer-Encoding: squash")


if __name__ == "__main__":
    unittest.main()
