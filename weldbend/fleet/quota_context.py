"""What all quotas of a front work with: its loop, its fleet, and the figures that fronts publish. No I/O."""

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
    """The front's time."""

    def now(self) -> float:
        """Seconds of the steady clock."""
        ...

    def unix(self) -> float:
        """Seconds of the Unix clock."""
        ...


class Scheduler(Protocol):
    """The front's timers."""

    def after(self, delay: float, call: Callable[[], object]) -> object:
        """Call once, `delay` seconds from now."""
        ...


class Site(Protocol):
    """The front's configuration."""

    @property
    def settings(self) -> SiteSettings:
        """The settings that the routing decisions use."""
        ...


class FrontLoop(Protocol):
    """The front's event loop round the routing decisions."""

    @property
    def clock(self) -> Clock:
        """The front's time."""
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
        """Numbers of caches by their names, and back."""
        ...

    def post(self, event: Event, first: bool = False) -> None:
        """Queue an event for the decisions; `first` puts it before all that waits."""
        ...


class QuotaContext:
    """The loop, the fleet and the figures published by fronts, for all that limits or ejects.

    Attributes:
        counts: counters of all quotas of this front.
    """

    def __init__(self, loop: FrontLoop, fleet: Fleet, random: RandomSource) -> None:
        self.loop = loop
        self.fleet = fleet
        self.random = random
        self.counts: Counter[str] = Counter()
        self._last_number = 0  # of the figures that this run has published

    @property
    def name(self) -> str:
        """This front's name."""
        return self.fleet.name

    @property
    def limits(self) -> LimitSettings:
        """The fleet's limits, as last loaded."""
        return self.fleet.settings.limits

    @property
    def settings(self) -> SiteSettings:
        """The routing settings, as last loaded."""
        return self.loop.site.settings

    def now(self) -> float:
        """Seconds of the steady clock."""
        return self.loop.clock.now()

    def front_names(self) -> list[str]:
        """All fronts that the installation file names, this one among them."""
        return sorted({peer.name for peer in self.fleet.settings.peers} | {self.name})

    def zones(self) -> dict[str, str]:
        """The zone of each front."""
        settings = self.fleet.settings
        return {peer.name: peer.zone for peer in settings.peers} | {self.name: settings.zone}

    def cache(self, uid: str) -> Cache | None:
        """A listed cache by its name; None where the list does not have it."""
        return self.loop.router.caches.get(self.loop.names.numbers.get(uid, -1))

    # Replicated items.

    def item(self, kind: str, key: str) -> Item | None:
        """A replicated item, whether it still counts or not; None where there is none."""
        return self.fleet.store.items.get((kind, key))

    def items(self, kind: str) -> Iterator[tuple[str, Item]]:
        """Keys and items of a kind, whether they still count or not."""
        return ((key, item) for (item_kind, key), item in self.fleet.store.items.items() if item_kind == kind)

    def live_figures(self, kind: str, now: float) -> Iterator[tuple[str, str, Item]]:
        """Subject, writer and item of each published figure of a kind that still counts."""
        for key, item in self.items(kind):
            if item.is_live(ITEM_KINDS[kind], now):
                subject, _, writer = key.rpartition("|")
                yield subject, writer, item

    def publish_figure(self, kind: str, subject: str, figure: float) -> None:
        """Publish this front's figure on a subject to all fronts, in place of its earlier one."""
        self._last_number += 1
        key = f"{subject}|{self.name}"
        self.fleet.publish(kind, key, self.fleet.store.epoch, self._last_number, figure)

    def publish_setting(self, name: str, text: str) -> None:
        """Publish an operator's setting for the whole fleet: the latest version holds."""
        current = self.item(SETTING, name)
        version = int(current.value[0]) + 1 if current else 1
        self.fleet.publish(SETTING, name, version, text)

    def peer_figures(self, kind: str, subject: str) -> dict[str, PeerFigure]:
        """What other fronts published on a subject, as far as it still counts, by front."""
        now = self.now()
        figures = {}
        for peer in self.fleet.settings.peers:
            item = self.item(kind, f"{subject}|{peer.name}")
            if item and peer.name != self.name and item.is_live(ITEM_KINDS[kind], now):
                figures[peer.name] = PeerFigure(now - item.written_at, float(item.value[2]))
        return figures
