"""Common context of a front's quotas: its event loop, its fleet, and the figures of all fronts. No I/O.

A figure is a number that a front publishes about a subject, such as its demand for one limit. Each front
publishes its own figure on a subject, and a later figure replaces its earlier one.
"""

from collections import Counter
from collections.abc import Callable, Iterator
from typing import Protocol

from weldbend.event_bus.endpoint_registry import EndpointRegistry
from weldbend.fleet.demand_share import PeerFigure
from weldbend.fleet.replicated_items import ITEM_KINDS, SETTING
from weldbend.fleet.replicated_store import Item
from weldbend.fleet.service import Fleet
from weldbend.fleet.settings import LimitSettings
from weldbend.routing.cache_state import Cache
from weldbend.routing.events import Event
from weldbend.routing.random_source import RandomSource
from weldbend.routing.router import Router
from weldbend.routing.settings import SiteSettings


class Clock(Protocol):
    """Clock of the front."""

    def now(self) -> float:
        """Return the time of the steady clock in seconds."""
        ...

    def unix(self) -> float:
        """Return the Unix time in seconds."""
        ...


class Scheduler(Protocol):
    """Scheduler of the front's timers."""

    def after(self, delay: float, call: Callable[[], object]) -> object:
        """Schedule a single call `delay` seconds from now."""
        ...


class Site(Protocol):
    """Configuration of the front."""

    @property
    def settings(self) -> SiteSettings:
        """The settings of the routing decisions."""
        ...


class FrontLoop(Protocol):
    """Event loop of the front, which runs the routing decisions."""

    @property
    def clock(self) -> Clock:
        """The front's clock."""
        ...

    @property
    def timers(self) -> Scheduler:
        """The front's timers."""
        ...

    @property
    def site(self) -> Site:
        """The front's configuration, as last loaded."""
        ...

    @property
    def router(self) -> Router:
        """The routing decisions."""
        ...

    @property
    def names(self) -> EndpointRegistry:
        """The registry that maps cache names to numbers and numbers to names."""
        ...

    def post(self, event: Event, first: bool = False) -> None:
        """Queue an event for the routing decisions; `first` puts it at the head of the queue."""
        ...


class QuotaContext:
    """Context shared by the limits and ejections of a front.

    Attributes:
        loop: event loop of the front.
        fleet: the fleet as this front sees it.
        random: source of random numbers.
        counts: counters of all quotas of this front.
    """

    def __init__(self, loop: FrontLoop, fleet: Fleet, random: RandomSource) -> None:
        self.loop = loop
        self.fleet = fleet
        self.random = random
        self.counts: Counter[str] = Counter()
        self._last_number = 0  # number of the last figure that this process has published

    @property
    def name(self) -> str:
        """This front's name."""
        return self.fleet.name

    @property
    def limits(self) -> LimitSettings:
        """The limits of the fleet, as last loaded."""
        return self.fleet.settings.limits

    @property
    def settings(self) -> SiteSettings:
        """The routing settings, as last loaded."""
        return self.loop.site.settings

    def now(self) -> float:
        """Return the time of the steady clock in seconds."""
        return self.loop.clock.now()

    def front_names(self) -> list[str]:
        """Return the names of all fronts in the installation file, including this one, sorted."""
        return sorted({peer.name for peer in self.fleet.settings.peers} | {self.name})

    def zones(self) -> dict[str, str]:
        """Return the zone of each front."""
        settings = self.fleet.settings
        return {peer.name: peer.zone for peer in settings.peers} | {self.name: settings.zone}

    def cache(self, uid: str) -> Cache | None:
        """Return a cache by its name; None if the endpoint list does not contain it."""
        return self.loop.router.caches.get(self.loop.names.numbers.get(uid, -1))

    # Replicated items.

    def item(self, kind: str, key: str) -> Item | None:
        """Return a replicated item, expired or not; None if there is none."""
        return self.fleet.store.items.get((kind, key))

    def items(self, kind: str) -> Iterator[tuple[str, Item]]:
        """Return key and item of each replicated item of a kind, expired or not."""
        return ((key, item) for (item_kind, key), item in self.fleet.store.items.items() if item_kind == kind)

    def live_figures(self, kind: str, now: float) -> Iterator[tuple[str, str, Item]]:
        """Yield subject, writer and item of each published figure of a kind that has not expired."""
        for key, item in self.items(kind):
            if item.is_live(ITEM_KINDS[kind], now):
                subject, _, writer = key.rpartition("|")
                yield subject, writer, item

    def publish_figure(self, kind: str, subject: str, figure: float) -> None:
        """Publish this front's figure on a subject to all fronts, replacing its earlier one."""
        self._last_number += 1
        key = f"{subject}|{self.name}"
        self.fleet.publish(kind, key, self.fleet.store.epoch, self._last_number, figure)

    def publish_setting(self, name: str, text: str) -> None:
        """Publish an operator's setting for the whole fleet, with a version above the current one."""
        current = self.item(SETTING, name)
        version = int(current.value[0]) + 1 if current else 1
        self.fleet.publish(SETTING, name, version, text)

    def peer_figures(self, kind: str, subject: str) -> dict[str, PeerFigure]:
        """Return the figures of other fronts on a subject that have not expired, by front."""
        now = self.now()
        figures = {}
        for peer in self.fleet.settings.peers:
            item = self.item(kind, f"{subject}|{peer.name}")
            if item and peer.name != self.name and item.is_live(ITEM_KINDS[kind], now):
                figures[peer.name] = PeerFigure(now - item.written_at, float(item.value[2]))
        return figures
