"""The metrics of an instance as text, rendered on request."""

import resource

from sassafrasloft.event_loop.http_messages import HttpRequest, HttpResponse
from sassafrasloft.event_loop.http_server import HttpServer
from sassafrasloft.event_loop.ingress_budget import IngressBudget
from sassafrasloft.event_loop.log_output import LogOutput
from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.workload import HttpLimits


class MetricsPage:
    """Serves the counters, gauges and histograms of one board over HTTP."""

    def __init__(
        self, board: InstanceBoard, log: LogOutput, ingress: IngressBudget
    ) -> None:
        self._board = board
        self._log = log
        self._ingress = ingress
        self._registry = None
        self.server = HttpServer(self, HttpLimits(), kept_headers=frozenset())

    def handle_request(self, request_id: int, request: HttpRequest) -> None:
        """Answer any request with the metrics."""
        response = HttpResponse(
            200, self.render().encode(), content_type="text/plain; version=0.0.4"
        )
        self.server.answer(request_id, response)

    def handle_disconnect(self, request_id: int, reset: bool) -> None:
        """Do nothing, since each request is answered immediately."""

    def render(self) -> str:
        """Return the text of all metrics."""
        # Imported on first use because the histograms take memory.
        from sassafrasloft.metrics import MetricsRegistry

        if self._registry is None:
            self._registry = MetricsRegistry()
        registry, board = self._registry, self._board
        samples, board.samples[:] = list(board.samples), []
        registry.record_all(samples)
        for name, value in board.counters.items():
            registry.set_counter(name, value)
        registry.set_counter("log_lines_dropped", self._log.dropped)
        for cause, value in self._ingress.refusals.items():
            registry.set_counter("clients_refused", value, (("cause", cause),))
        registry.set_gauge("request_bytes_held", self._ingress.held_bytes)
        registry.set_gauge("open_requests", board.requests.count)
        registry.set_gauge("open_jobs", len(board.jobs.open))
        registry.set_gauge("runners_known", len(board.pool.runners))
        registry.set_gauge("runs_live", len(board.pool.live_runs))
        pool = board.pool
        evacuated = pool.evacuated_zones
        registry.set_gauge("evacuated_zones", len(evacuated))
        registry.set_gauge("runs_in_evacuated_zones", pool.runs_in(evacuated))
        registry.set_gauge("scheduling", int(board.pool.active))
        registry.set_gauge("configuration_version", board.configuration.current.version)
        usage = resource.getrusage(resource.RUSAGE_SELF)
        registry.set_gauge("processor_seconds", usage.ru_utime + usage.ru_stime)
        registry.set_gauge("memory_peak_kb", usage.ru_maxrss)
        return registry.render()
