"""Which objects the fronts of a zone are asked for, counted together."""

from typing import TYPE_CHECKING

from weldbend.fleet import popularity
from weldbend.fleet.popularity import PopularityCounts, PopularitySlots
from weldbend.fleet.replicated_items import ITEM_KINDS, POPULARITY
from weldbend.fleet.replicated_store import Change
from weldbend.fleet.service import Fleet

if TYPE_CHECKING:
    from weldbend.front.dispatcher import Dispatcher


class PopularityExchange:
    """Publishes what this front's clients request, and counts what others of its zone publish."""

    def __init__(self, dispatcher: "Dispatcher", fleet: Fleet) -> None:
        self.dispatcher = dispatcher
        self.fleet = fleet
        self.slots = PopularitySlots()
        self.peer_counts = PopularityCounts()

    def count_request(self, class_name: str, key: str, part: int, is_retry: bool) -> int:
        """Count a request of a client here; how often other fronts of the zone had that object lately."""
        request_class = self.dispatcher.site.settings.classes[class_name]
        if request_class.origin_only or not self.fleet.settings.popularity:
            return 0
        hash_value = popularity.object_hash(key, part)
        if not is_retry:
            self.slots.add(hash_value)
        return self.peer_counts.count_of(hash_value)

    def apply(self, change: Change) -> None:
        """Count a slot of a peer in the same zone: they request the same edge caches.

        A slot under this front's own name is one of its process before this one.
        """
        settings = self.fleet.settings
        writer = change.key.rpartition("|")[2]
        zones = {peer.name: peer.zone for peer in settings.peers} | {self.fleet.name: settings.zone}
        if settings.popularity and zones.get(writer) == settings.zone:
            until = self.fleet.timers.now() + ITEM_KINDS[POPULARITY].lifetime - change.age
            self.peer_counts.replace(change.key, str(change.value[2]), until)

    def tick(self, now: float) -> None:
        """Forget what has expired, and publish the slot that is complete."""
        self.peer_counts.discard_expired(now)
        if self.fleet.settings.popularity and (slot := self.slots.tick(now)):
            number, packed = slot
            key = f"{number % popularity.KEPT_SLOTS}|{self.fleet.name}"
            self.peer_counts.remove(key)  # of this front's process before this one
            self.fleet.publish(POPULARITY, key, self.fleet.store.epoch, number, packed)
