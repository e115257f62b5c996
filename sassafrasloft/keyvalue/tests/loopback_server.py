"""A loopback HTTP server with a configurable response."""

import json
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from threading import Thread


class LoopbackServer(ThreadingHTTPServer):
    """Sends the configured response to every request and records the requests."""

    daemon_threads = True

    def __init__(self):
        super().__init__(("127.0.0.1", 0), Handler)
        self.status, self.content, self.requests = 200, b"{}", []
        Thread(target=self.serve_forever, args=(0.01,), daemon=True).start()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.server_port}"

    def stop(self) -> None:
        self.shutdown()
        self.server_close()

    def answer(self, status: int, body: object) -> None:
        self.status = status  # Status 0 closes the connection without a response.
        self.content = body if isinstance(body, bytes) else json.dumps(body).encode()


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def handle_request(self) -> None:
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        entry = (self.command, self.path, self.headers.get("If-Match"), body)
        self.server.requests.append(entry)
        if self.server.status == 0:
            self.close_connection = True
            return
        self.send_response(self.server.status)
        self.send_header("Content-Length", str(len(self.server.content)))
        self.end_headers()
        self.wfile.write(self.server.content)

    do_GET = do_PUT = do_POST = handle_request  # noqa: N815

    def log_message(self, *arguments) -> None:
        pass
