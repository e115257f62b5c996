"""The command `sassafrasloft-entry`, which runs one entry instance."""

import logging
import signal
import sys
import threading
from collections.abc import Sequence

from absl import app, flags
from returns.result import Failure

from sassafrasloft.clock import SystemClock
from sassafrasloft.entry.assembly import build_core
from sassafrasloft.entry.service import EntryService
from sassafrasloft.errors import SassafrasloftError
from sassafrasloft.logs import configure_logging
from sassafrasloft.settings import load_settings

EXIT_BAD_START = 1
"""Exit status if the settings are invalid or an address cannot be bound."""

THREAD_STACK_BYTES = 512 * 1024
"""Stack size of each thread; with the default of 8 MB, several hundred threads
would reserve gigabytes of address space."""

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def _drain_on_signal(service: EntryService) -> None:
    while True:
        signal.sigwait(STOP_SIGNALS)
        service.drain()


def _main(_: Sequence[str]) -> int:
    values = flags.FLAGS
    loaded = load_settings(values.settings, values.overlay or None)
    if isinstance(loaded, Failure):
        for error in loaded.failure():
            print(error, file=sys.stderr)
        return EXIT_BAD_START
    settings = loaded.unwrap()
    configure_logging(settings.telemetry.log_level)
    threading.stack_size(THREAD_STACK_BYTES)
    # Threads inherit the mask, so only the thread in sigwait receives the signals.
    signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
    try:
        core = build_core(settings, values.instance)
        service = EntryService(core, SystemClock())
    except (SassafrasloftError, OSError) as error:
        logging.error("cannot start: %s", error)
        return EXIT_BAD_START
    threading.Thread(
        target=_drain_on_signal, args=(service,), name="signals", daemon=True
    ).start()
    service.start()
    service.exited.wait()
    service.stop()
    logging.info("stopped as planned")
    return 0


def run() -> None:
    """Define the command-line flags and run the instance."""
    flags.DEFINE_string("settings", None, "Settings file of the service.")
    flags.DEFINE_string("overlay", "", "Settings file of the site.")
    flags.DEFINE_string("instance", None, "Name of this instance in the settings.")
    flags.mark_flags_as_required(["settings", "instance"])
    app.run(_main)
