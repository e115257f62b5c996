"""Error kinds of the client library for callers."""

from sassafrasloft.clock import Milliseconds
from sassafrasloft.errors import SassafrasloftError, register_error


@register_error("service_unreachable")
class ServiceUnreachable(SassafrasloftError):
    """No entry instance returned a usable answer.

    A submitted job may be running or may have run. It is safe to resubmit it
    under the same submission id.
    """

    default_remedy = "Check the addresses, then try again with the same submission id."

    def __init__(
        self,
        subject: str,
        found: str,
        remedy: str = "",
        retry_after_ms: Milliseconds = 0,
    ) -> None:
        super().__init__(subject, found, remedy)
        self.retry_after_ms = retry_after_ms


@register_error("request_refused")
class RequestRefused(SassafrasloftError):
    """An entry instance refused a request; the request did not start any task."""

    default_remedy = "Correct the request as the error says and send it again."
