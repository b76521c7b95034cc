"""Taps the connections of a simulated run, and hands what crosses them to the log and the auditor."""

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

    Between fronts and caches an injector's faults are at work, on what caches answer.
    """

    def __init__(self, context: RunContext, site: SimulatedSite, injector: Injector) -> None:
        self.context = context
        self.site = site
        self.injector = injector
        self.link_count = 0

    def on_connection(self, near: Transport, far: Transport) -> None:
        """A connection that comes up; `near` dialled `far`."""
        self.link_count += 1
        link = self.link_count
        front_names = {machine.host: machine.name for machine, _ in self.site.fronts.values()}
        near_host = near.machine.host
        far_host = far.machine.host
        if near_host == CLIENT_HOST:
            front = front_names[far_host]
            peer = "clients"
            front_end = far
            near_traffic = Traffic.CLIENT_CALLS
            far_traffic = Traffic.CLIENT_ANSWERS
        elif near_host in front_names and far_host in self.site.uid_at:
            front = front_names[near_host]
            peer = self.site.uid_at[far_host]
            front_end = near
            near_traffic = Traffic.CACHE_COMMANDS
            far_traffic = Traffic.CACHE_ANSWERS
            now = self.context.network.events.now
            far.fault_stream = self.injector.stream(link, Direction.BACK, now)
        else:
            return

        def observe(message: Message) -> None:
            now = self.context.network.events.now
            self._add(ObservedMessage(now, link, front, peer, message))

        near.tap = Tap(near_traffic, observe)
        far.tap = Tap(far_traffic, observe)
        front_end.on_close = lambda: observe(ConnectionEvent.CLOSED)
        if near_host == CLIENT_HOST:
            self._observe_client(near, far, observe)

    @staticmethod
    def _observe_client(near: Transport, far: Transport, observe: Callable[[Message], None]) -> None:
        """Observe which side ends a client's connection, and what the front's process has read of it."""

        def on_read(message: Message) -> None:
            if isinstance(message, Process):
                observe(RequestRead(message.seqid))

        near.on_end = lambda: observe(ConnectionEvent.CLIENT_ENDED)
        far.on_end = lambda: observe(ConnectionEvent.FRONT_ENDED)
        far.read_tap = Tap(Traffic.CLIENT_CALLS, on_read)

    def _add(self, observed: ObservedMessage) -> None:
        self.context.log.add(f"{observed.link} {observed.front} {observed.peer} {observed.message!r:.300}")
        self.context.auditor.on_message(observed)
