"""Taps the connections of a simulated run, and passes their messages to the log and the auditor."""

from collections.abc import Callable

from weldbend.testbed.faults.engine import Injector
from weldbend.testbed.faults.plan import Direction
from weldbend.testbed.simulation.observer import (
    ConnectionEvent,
    Message,
    ObservedMessage,
    RequestRead,
    Tap,
    Traffic,
)
from weldbend.testbed.simulation.settings import CLIENT_HOST
from weldbend.testbed.simulation.site import RunContext, SimulatedSite
from weldbend.testbed.simulation.transports import Transport
from weldbend.thrift.messages import Process


class Observation:
    """Numbers and taps each connection between clients and fronts, and between fronts and caches.

    An injector applies faults to the answers of caches to fronts.
    """

    def __init__(self, context: RunContext, site: SimulatedSite, injector: Injector) -> None:
        self.context = context
        self.site = site
        self.injector = injector
        self.link_count = 0

    def on_connection(self, connecting_end: Transport, accepting_end: Transport) -> None:
        """Assign a number to a new connection, and tap it if the auditor observes it."""
        self.link_count += 1
        link = self.link_count
        front_names = {machine.host: machine.name for machine, _ in self.site.fronts.values()}
        connecting_host = connecting_end.machine.host
        accepting_host = accepting_end.machine.host
        if connecting_host == CLIENT_HOST:
            front = front_names[accepting_host]
            peer = "clients"
            front_transport = accepting_end
            connecting_traffic = Traffic.CLIENT_CALLS
            accepting_traffic = Traffic.CLIENT_ANSWERS
        elif connecting_host in front_names and accepting_host in self.site.uid_by_host:
            front = front_names[connecting_host]
            peer = self.site.uid_by_host[accepting_host]
            front_transport = connecting_end
            connecting_traffic = Traffic.CACHE_COMMANDS
            accepting_traffic = Traffic.CACHE_ANSWERS
            now = self.context.network.events.now
            accepting_end.fault_stream = self.injector.stream(link, Direction.TO_CLIENT, now)
        else:
            return

        def observe(message: Message) -> None:
            now = self.context.network.events.now
            self._add(ObservedMessage(now, link, front, peer, message))

        connecting_end.tap = Tap(connecting_traffic, observe)
        accepting_end.tap = Tap(accepting_traffic, observe)
        front_transport.on_close = lambda: observe(ConnectionEvent.CLOSED)
        if connecting_host == CLIENT_HOST:
            self._observe_client(connecting_end, accepting_end, observe)

    @staticmethod
    def _observe_client(
        connecting_end: Transport, accepting_end: Transport, observe: Callable[[Message], None]
    ) -> None:
        """Observe which side ends a client's connection, and which requests its front has read."""

        def on_read(message: Message) -> None:
            if isinstance(message, Process):
                observe(RequestRead(message.seqid))

        connecting_end.on_end = lambda: observe(ConnectionEvent.CLIENT_ENDED)
        accepting_end.on_end = lambda: observe(ConnectionEvent.FRONT_ENDED)
        accepting_end.read_tap = Tap(Traffic.CLIENT_CALLS, on_read)

    def _add(self, observed: ObservedMessage) -> None:
        self.context.log.add(f"{observed.link} {observed.front} {observed.peer} {observed.message!r:.300}")
        self.context.auditor.on_message(observed)
