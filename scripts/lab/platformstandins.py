"""Stand-ins for the operators' platform: its store and its backend servers, in threads of the test process."""
import base64
import json
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        pass

    def send(self, status, body=b"", **headers):
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name.replace("_", "-"), value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class _Server(ThreadingHTTPServer):
    daemon_threads = True

    def handle_error(self, request, client_address):
        """Ignores errors: a node that stops closes its connections, which is no error of the stand-in."""


def _serve(address, port, handler):
    server = _Server((address, port), handler)
    threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()
    return server


class Store:
    """A store of items under one increasing revision, which can be listed and watched."""

    def __init__(self, address, port):
        self.changed = threading.Condition()
        self.items = {}
        self.events = []
        self.revision = 1
        self.away = False
        store = self

        class Handler(_Handler):
            def do_GET(self):
                url = urllib.parse.urlsplit(self.path)
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                status, answer = store.answer(url.path, query)
                self.send(status, json.dumps(answer).encode())

        self.server = _serve(address, port, Handler)

    def put(self, key, value):
        """Writes an item; None removes it."""
        with self.changed:
            self.revision += 1
            if value is None:
                self.items.pop(key, None)
                event = {"key": key, "revision": self.revision, "removed": True}
            else:
                text = value if isinstance(value, bytes) else json.dumps(value).encode()
                event = {"key": key, "value": base64.b64encode(text).decode(), "revision": self.revision,
                         "created": self.revision, "lease": 0}
                self.items[key] = event
            self.events.append(event)
            self.changed.notify_all()

    def answer(self, path, query):
        if self.away:
            return 503, {}
        prefix = query.get("prefix", "")
        with self.changed:
            if path == "/papayastep/kv-watch":
                after = int(query["after"])

                def news():
                    return [e for e in self.events if e["revision"] > after and e["key"].startswith(prefix)]
                self.changed.wait_for(news, int(query["wait_ms"]) / 1000)
                return (503, {}) if self.away else (200, {"events": news(), "current_rev": self.revision})
            items = [item for key, item in sorted(self.items.items()) if key.startswith(prefix)]
            return 200, {"items": items, "has_more": False, "current_rev": self.revision}

    def close(self):
        self.server.shutdown()
        self.server.server_close()


class BackendServer:
    """A backend server that answers with its proof and records the requests that it ran."""

    def __init__(self, server_id, address, port):
        self.id = server_id
        self.requests = []
        self.arrivals = []  # Times of these requests.
        self.sheds = False
        self.limit = None  # Text of the header Server-Limit.
        self.leaving = False
        self.announces_on_health_path = True
        # Answers a request in the place of the server, and returns whether the connection stays open. It is called with
        # the handler of the connection and the id of the request.
        self.trouble = None
        self.reads_bodies = True  # Whether the body of a request is read before it is answered.
        backend = self

        class Handler(_Handler):
            def end_headers(self):
                announces = self.path != "/health" or backend.announces_on_health_path
                if announces and backend.limit is not None:
                    self.send_header("Server-Limit", backend.limit)
                if announces and backend.leaving:
                    self.send_header("Server-Leaving", "1")
                super().end_headers()

            def answer(self):
                length = int(self.headers.get("Content-Length", 0))
                body = self.rfile.read(length) if backend.reads_bodies else b""
                if backend.trouble:
                    self.close_connection = not backend.trouble(self, self.headers.get("Request-Id", ""))
                    return
                if self.path == "/health":
                    self.send(200, Instance_Id=backend.id)
                    return
                if self.headers.get("Expect-Instance") != backend.id:
                    self.send(421, Instance_Id=backend.id)
                    return
                request_id = self.headers.get("Request-Id", "")
                if backend.sheds:
                    self.send(503, Not_Executed="1", Request_Id=request_id)
                    return
                backend.arrivals.append(time.monotonic())
                backend.requests.append((self.command, self.path, dict(self.headers), body))
                self.send(200, backend.id.encode(), Request_Id=request_id, Response_Stamp="proof")

            do_GET = do_POST = answer

        self.server = _serve(address, port, Handler)

    def close(self):
        self.server.shutdown()
        self.server.server_close()


def server_entry(address, port, service, state="ready"):
    return {"address": f"{address}:{port}", "born": 1700000000000,
            "info": {"service": service, "version": "v1", "zone": "arima", "slots": 5},
            "status": {"state": state, "seq": 1, "cold_remaining_s": 0}}


def configuration(version, keys):
    """Returns a configuration with a lookup route and a refund route of the service counter, and one workspace."""
    def route(name, prefix, kind, **more):
        spec = {"host": "shop.example", "prefix": prefix, "kind": kind, "timeout_s": 2, "target_latency_s": 1,
                "priority": 1, "max_attempts": 2, "service": "counter", **more}
        return {"resource_type": "routes", "metadata": {"name": name}, "spec": spec}
    return {"version": f"r{version}", "resources": [
        route("lookup", "/lookups/", "safe"), route("refund", "/refunds/", "unsafe"),
        route("price", "/prices/", "safe", public=True),
        {"resource_type": "services", "metadata": {"name": "counter"}, "spec": {"health_path": "/health"}},
        {"resource_type": "tenants", "metadata": {"name": "shops"},
         "spec": {"api_keys": keys, "rate_per_s": 50, "burst": 50}}]}
