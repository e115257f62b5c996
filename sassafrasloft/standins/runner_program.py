"""The program `sassafrasloft-runner-standin`: stand-in runners on loopback."""

import logging
import signal
from collections.abc import Sequence

from absl import app, flags

from sassafrasloft.clock import SystemClock
from sassafrasloft.errors import MalformedInput
from sassafrasloft.listeners import HttpListener, ListenerLimits
from sassafrasloft.standins.runner import RunnerLimits
from sassafrasloft.standins.runner_host import RunnerApplication, RunnerHost

SPARE_THREADS = 16
"""Threads for settle, fence, probe and control besides one for each slot."""

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

_RUNNERS = flags.DEFINE_multi_string(
    "runner", [], "A runner as name=host:port; repeat it for several runners."
)
_SLOTS = flags.DEFINE_integer("slots", 8, "Slots of each runner.", lower_bound=1)
_FAIL_ALL = flags.DEFINE_bool("fail_all", False, "Fail every task.")
_SLOW_FACTOR = flags.DEFINE_float("slow_factor", 1.0, "Multiplies all run times.")
_LEAVING = flags.DEFINE_bool("leaving", False, "Refuse tasks as leaving.")


class RunnerFleet:
    """Several stand-in runners in one process.

    Parameters
    ----------
    addresses : dict of str to str
        ``host:port`` by the runner's name, all different; port 0 takes a free
        port.
    limits : RunnerLimits
        Of each runner.
    """

    def __init__(self, addresses: dict[str, str], limits: RunnerLimits) -> None:
        self.hosts = {
            name: RunnerHost(name, limits, SystemClock()) for name in addresses
        }
        threads = limits.slots * len(addresses) + SPARE_THREADS
        self._listener = HttpListener(
            "runners",
            {
                address: RunnerApplication(self.hosts[name])
                for name, address in addresses.items()
            },
            ListenerLimits(threads=threads),
        )
        self.addresses = dict(zip(addresses, self._listener.addresses, strict=True))

    def start(self) -> None:
        """Serve."""
        for host in self.hosts.values():
            host.start()
        self._listener.start()

    def stop(self) -> None:
        """End all tasks and streams."""
        for host in self.hosts.values():
            host.stop()
        self._listener.stop()


def parse_runners(values: Sequence[str]) -> dict[str, str]:
    """Return the addresses by name from flags of the form name=host:port.

    Raises
    ------
    MalformedInput
        If a value has another form or a name is given twice.
    """
    addresses: dict[str, str] = {}
    for value in values:
        name, separator, address = value.partition("=")
        port = address.rpartition(":")[2]
        if not (separator and name and port.isdecimal()) or name in addresses:
            raise MalformedInput("--runner", repr(value), "Give name=host:port once.")
        addresses[name] = address
    if not addresses:
        raise MalformedInput("--runner", "missing", "Give at least one name=host:port.")
    return addresses


def _main(_: Sequence[str]) -> None:
    logging.basicConfig(level=logging.INFO)
    limits = RunnerLimits(slots=_SLOTS.value)
    fleet = RunnerFleet(parse_runners(_RUNNERS.value), limits)
    for host in fleet.hosts.values():
        host.logic.faults.fail_all = _FAIL_ALL.value
        host.logic.faults.slow_factor = _SLOW_FACTOR.value
        host.logic.faults.leaving = _LEAVING.value
    # Before any thread starts, so that this one gets them.
    signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
    fleet.start()
    logging.info("serving %s", fleet.addresses)
    signal.sigwait(STOP_SIGNALS)
    fleet.stop()


def run() -> None:
    """Start the program."""
    app.run(_main)


if __name__ == "__main__":
    run()
