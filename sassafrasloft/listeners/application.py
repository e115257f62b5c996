"""Base class of WSGI applications with routes, JSON bodies and typed errors."""

import json
import logging
import re
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any, TypeVar
from urllib.parse import parse_qs, unquote

import attrs

from sassafrasloft.errors import MalformedInput, SassafrasloftError

_LOGGER = logging.getLogger(__name__)


@attrs.frozen
class JsonReply:
    """The reply to an HTTP request.

    Parameters
    ----------
    body : object
        Value to be sent as JSON. Ignored if `lines` or `text` is given.
    lines : iterable of bytes or None
        Items of a streamed body, each of which is sent as soon as it is produced.
    text : str or None
        Plain-text body, sent with the content type of the metrics page.
    """

    status: int = 200
    body: object = None
    headers: tuple[tuple[str, str], ...] = ()
    lines: Iterable[bytes] | None = None
    text: str | None = None


@attrs.frozen
class JsonRequest:
    """An HTTP request.

    Parameters
    ----------
    environ : dict
        The WSGI environment.
    parts : dict of str to str
        The path segments that match the named placeholders of the route.
    """

    environ: dict[str, Any]
    parts: dict[str, str]

    def header(self, name: str) -> str:
        """Return the value of a header, or an empty string if it is absent."""
        return self.environ.get("HTTP_" + name.upper().replace("-", "_"), "")

    @property
    def connection(self) -> str:
        """The client's address and port, which identify the connection."""
        return f"{self.environ['REMOTE_ADDR']}:{self.environ['REMOTE_PORT']}"

    @property
    def has_body(self) -> bool:
        """Whether the request carries a body."""
        return self.environ.get("CONTENT_LENGTH", "0") not in ("", "0")

    def client_disconnected(self) -> bool:
        """Return whether the client closed the connection."""
        check = self.environ.get("waitress.client_disconnected")
        return bool(check and check())

    def query_integer(self, name: str, default: int) -> int:
        """Return a non-negative integer of the query string.

        Parameters
        ----------
        name : str
            The query parameter; its last value counts.
        default : int
            Returned if the parameter is absent.

        Raises
        ------
        MalformedInput
            If the parameter is present but not a non-negative integer of at most 15
            digits.
        """
        values = parse_qs(self.environ.get("QUERY_STRING", "")).get(name)
        if not values:
            return default
        text = values[-1]
        if not (text.isascii() and text.isdecimal() and len(text) < 16):
            raise MalformedInput(name, f"{text!r:.40} is not a non-negative integer")
        return int(text)

    def json(self) -> Any:
        """Return the parsed JSON body.

        Raises
        ------
        MalformedInput
            If the body is not JSON in UTF-8.
        """
        body = self.environ["wsgi.input"].read()
        try:
            return json.loads(body)
        except (ValueError, RecursionError) as error:
            raise MalformedInput("body", f"not JSON: {error!s:.120}") from error


Handler = Callable[[Any, JsonRequest], JsonReply]
HandlerFunction = TypeVar("HandlerFunction", bound=Handler)


def route(method: str, path: str) -> Callable[[HandlerFunction], HandlerFunction]:
    """Return a decorator that marks a method of an application as a request handler.

    A placeholder ``<name>`` in the path matches one segment, and ``<name:rest>``
    matches the whole remaining path.
    """

    def register(handler: HandlerFunction) -> HandlerFunction:
        handler.route = (method, _path_pattern(path))
        return handler

    return register


def _path_pattern(path: str) -> re.Pattern[str]:
    pattern = re.sub(r"<(\w+):rest>", r"(?P<\1>.+)", path)
    return re.compile(re.sub(r"(?<!\?P)<(\w+)>", r"(?P<\1>[^/]+)", pattern))


def error_reply(
    status: int, error: SassafrasloftError, headers: tuple[tuple[str, str], ...] = ()
) -> JsonReply:
    """Return a reply that describes a typed error in JSON."""
    body = {
        "kind": error.kind,
        "subject": error.subject,
        "detail": error.found,
        "remedy": error.remedy,
    }
    return JsonReply(status, body, headers)


class JsonApplication:
    """Base class of WSGI applications whose handlers are methods marked by `route`."""

    def __init__(self) -> None:
        handlers = [getattr(self, name) for name in dir(type(self))]
        self._routes = [
            (*handler.route, handler)
            for handler in handlers
            if hasattr(handler, "route")
        ]

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Serve one request; exceptions become typed error replies."""
        try:
            reply = self._serve(environ)
        except MalformedInput as error:
            reply = error_reply(400, error)
        except ConnectionError:
            # The client has disconnected, so waitress discards this reply.
            internal_error = SassafrasloftError(
                "request", "the client closed the connection"
            )
            reply = error_reply(500, internal_error)
        except Exception:
            # A fault in one request must not affect other requests, so the process
            # keeps running.
            _LOGGER.exception(
                "unexpected exception while serving %s", environ.get("PATH_INFO")
            )
            internal_error = SassafrasloftError(
                "request", "internal error of the instance"
            )
            reply = error_reply(500, internal_error)
        return _send_reply(reply, start_response)

    def _serve(self, environ: dict[str, Any]) -> JsonReply:
        path = unquote(environ["PATH_INFO"])
        allowed_methods = []
        for method, pattern, handler in self._routes:
            match = pattern.fullmatch(path)
            if match is None:
                continue
            if method == environ["REQUEST_METHOD"]:
                return handler(JsonRequest(environ, match.groupdict()))
            allowed_methods.append(method)
        if allowed_methods:
            error = MalformedInput(
                "method", environ["REQUEST_METHOD"], "Use a method of the Allow header."
            )
            return error_reply(405, error, (("Allow", ", ".join(allowed_methods)),))
        return error_reply(
            404,
            MalformedInput(
                "path",
                f"{path!r:.80} does not exist",
                "See the documentation of the interface.",
            ),
        )


def _send_reply(
    reply: JsonReply, start_response: Callable[..., Any]
) -> Iterable[bytes]:
    status = f"{reply.status} {HTTPStatus(reply.status).phrase}"
    headers = list(reply.headers)
    if reply.lines is not None:
        start_response(status, [("Content-Type", "application/x-ndjson"), *headers])
        return reply.lines
    if reply.text is not None:
        body, kind = reply.text.encode(), "text/plain; version=0.0.4; charset=utf-8"
    else:
        body = json.dumps(reply.body, separators=(",", ":")).encode()
        kind = "application/json"
    headers += [("Content-Type", kind), ("Content-Length", str(len(body)))]
    start_response(status, headers)
    return [body]
