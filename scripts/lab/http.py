"""The few HTTP calls that tests make themselves. Load comes from `papayastep-standin load`."""
import http.client
import json
import socket
from dataclasses import dataclass


@dataclass(frozen=True)
class Answer:
    """A whole answer. Header names are in lower case."""
    status: int
    headers: dict
    body: bytes

    def json(self):
        return json.loads(self.body)

    @property
    def outcome(self):
        return self.headers.get("papayastep-outcome", "")

    @property
    def code(self):
        return self.headers.get("papayastep-code", "")

    @property
    def server(self):
        return self.headers.get("papayastep-server", "")


class Connection:
    """A keep-alive connection to a local port. Errors of the connection are OSError or HTTPException."""

    def __init__(self, port, timeout=10):
        self._connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)

    def call(self, method, path, body=None, headers=None):
        self._connection.request(method, path, body, headers or {})
        answer = self._connection.getresponse()
        return Answer(answer.status, {name.lower(): value for name, value in answer.getheaders()}, answer.read())

    def close(self):
        self._connection.close()


def call(port, method, path, body=None, headers=None, timeout=10):
    """One call on a connection of its own. A dict as body goes as JSON."""
    if isinstance(body, dict):
        body = json.dumps(body)
    connection = Connection(port, timeout)
    try:
        return connection.call(method, path, body, headers)
    finally:
        connection.close()


def call_with_key(port, key, method, path, body=None, timeout=10, **headers):
    """A caller's call. Headers as keyword arguments: Idempotency_Key="..."."""
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    return call(port, method, path, body, {"Authorization": f"Bearer {key}", **named}, timeout)


def control(port, method, path, body=None):
    """A call to a stand-in's control surface. Raises RuntimeError if it refuses."""
    answer = call(port, method, path, body)
    if answer.status != 200:
        raise RuntimeError(f"{method} {path} on port {port}: {answer.status} {answer.body.decode()}")
    return answer.json()


def send_raw(port, data, timeout=3):
    """Sends bytes as they are and returns all that comes back until the other side closes or falls silent."""
    received = b""
    with socket.create_connection(("127.0.0.1", port), timeout=timeout) as connection:
        connection.sendall(data)
        try:
            while chunk := connection.recv(65536):
                received += chunk
        except OSError:
            pass
    return received
