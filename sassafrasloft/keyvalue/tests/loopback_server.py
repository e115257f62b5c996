"""A server on a loopback address that answers as a test says."""

import json
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from threading import Thread


class Server(ThreadingHTTPServer):
    """Answers every request with what the test has set, and keeps requests."""

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
        self.status = status  # 0 closes the connection without an answer.
        self.content = body if isinstance(body, bytes) else json.dumps(body).encode()


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def handle_any(self) -> None:
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

    do_GET = do_PUT = do_POST = handle_any  # noqa: N815

    def log_message(self, *arguments) -> None:
        pass
