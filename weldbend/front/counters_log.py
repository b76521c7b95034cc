"""The counters line of the log: counts of work, violated invariants and used resources."""

import resource
from typing import Any

from loguru import logger

from weldbend import invariants
from weldbend.event_bus.reader import BusReader
from weldbend.front.client_gateway import ClientGateway
from weldbend.front.context import FrontContext
from weldbend.front.dispatcher import Dispatcher

MILLISECONDS = 1e3  # per second
# "at most" marks the highest value so far. The number of cache connections is sampled only when the line is
# written, so its highest value leaves out what happened between two lines.
LINE_FORMAT = (
    "counters {counts}; cpu {cpu_ms} ms, {cpu_ms_per_request} per request; "
    "memory {max_memory_mb} MB at most; "
    "client connections {client_connections} ({max_client_connections} at most), "
    "idle {idle_connections} ({max_idle_connections} at most), "
    "{idle_wakeups} wakeups, {max_wakeup_delay_ms} ms late at most; "
    "cache connections {cache_connections} ({max_cache_connections} at most); "
    "requests {max_request_kb} kB at most; "
    "unsent answers {max_unsent_kb} kB at most; timers {max_timer_delay_ms} ms late at most, "
    "event-loop iterations {max_iteration_ms} ms at most; bus disconnects {bus_disconnects}, "
    "responses {max_bus_response_ms} ms at most; "
    "anomalies {anomalies}; violations {violations}"
)


class CountersLog:
    """Writer of the counters line; a log in JSON has each figure in a field of its own."""

    def __init__(
        self, context: FrontContext, dispatcher: Dispatcher, gateway: ClientGateway, bus: BusReader
    ) -> None:
        self.context = context
        self.dispatcher = dispatcher
        self.gateway = gateway
        self.bus = bus
        self._max_cache_connections = 0

    def write(self) -> None:
        """Write the counters line, and let further internal errors be logged again."""
        fields = self._process_fields() | self._connection_fields()
        fields |= {
            "max_request_kb": self.context.memory.max_used // 1000,
            "max_unsent_kb": self.gateway.max_unsent_bytes // 1000,
            "max_timer_delay_ms": round(self.context.timers.max_delay * MILLISECONDS, 1),
            "max_iteration_ms": round(self.dispatcher.queue.max_iteration * MILLISECONDS, 1),
            "bus_disconnects": self.bus.loss_count,
            "max_bus_response_ms": round(self.bus.max_response_time * MILLISECONDS, 1),
            "anomalies": dict(+invariants.anomalies),
            "violations": dict(invariants.violations),
        }
        logger.bind(**fields).info(LINE_FORMAT.format(**fields))
        self.context.counters.reset_error_limit()

    def _process_fields(self) -> dict[str, Any]:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        counts = self.context.counters.counts
        cpu_ms = (usage.ru_utime + usage.ru_stime) * MILLISECONDS
        return {
            "counts": dict(counts),
            "cpu_ms": round(cpu_ms),
            "cpu_ms_per_request": round(cpu_ms / max(counts["requests"], 1), 2),
            "max_memory_mb": round(usage.ru_maxrss / 1024),
        }

    def _connection_fields(self) -> dict[str, Any]:
        listener = self.gateway.listener
        idle_pool = self.gateway.listener.idle_pool
        cache_connections = sum(1 for _ in self.dispatcher.pool.all_connections())
        # The highest number seen when a line was written.
        self._max_cache_connections = max(self._max_cache_connections, cache_connections)
        return {
            "client_connections": listener.connection_count(),
            "max_client_connections": self.gateway.max_connections,
            "idle_connections": listener.idle_count(),
            "max_idle_connections": idle_pool.peak_size if idle_pool else 0,
            "idle_wakeups": idle_pool.wake_count if idle_pool else 0,
            "max_wakeup_delay_ms": round(idle_pool.max_wake_delay * MILLISECONDS, 1) if idle_pool else 0.0,
            "cache_connections": cache_connections,
            "max_cache_connections": self._max_cache_connections,
        }
