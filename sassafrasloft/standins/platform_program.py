"""The program `sassafrasloft-platform-standin`: a stand-in of the platform."""

import logging
import signal
from collections.abc import Sequence

from absl import app, flags

from sassafrasloft.clock import SystemClock
from sassafrasloft.listeners import HttpListener, ListenerLimits
from sassafrasloft.standins.platform import PlatformLimits
from sassafrasloft.standins.platform_host import PlatformApplication

THREADS = 96
"""One for each waiting watch; above that calls wait in a queue."""

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

_LISTEN = flags.DEFINE_string("listen", "127.0.0.1:7100", "Address to listen to.")
_RATE = flags.DEFINE_float("calls_per_second", 2_000, "Rate limit of all calls.")
_LAG = flags.DEFINE_integer("list_lag_ms", 1_000, "Lag of the list of instances.")


class PlatformServer:
    """The stand-in platform on an address.

    Parameters
    ----------
    address : str
        ``host:port``; port 0 takes a free port.
    limits : PlatformLimits
        Rates and lags.
    """

    def __init__(self, address: str, limits: PlatformLimits) -> None:
        self.application = PlatformApplication(limits, SystemClock())
        self._listener = HttpListener(
            "platform", {address: self.application}, ListenerLimits(threads=THREADS)
        )
        self.address = self._listener.addresses[0]

    def start(self) -> None:
        """Serve."""
        self._listener.start()

    def stop(self) -> None:
        """Release waiting calls and close."""
        self.application.stop()
        self._listener.stop()


def _main(_: Sequence[str]) -> None:
    logging.basicConfig(level=logging.INFO)
    limits = PlatformLimits(
        calls_per_second=_RATE.value, burst=_RATE.value, list_lag_ms=_LAG.value
    )
    server = PlatformServer(_LISTEN.value, limits)
    # Before any thread starts, so that this one gets them.
    signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
    server.start()
    logging.info("serving %s", server.address)
    signal.sigwait(STOP_SIGNALS)
    server.stop()


def run() -> None:
    """Start the program."""
    app.run(_main)


if __name__ == "__main__":
    run()
