"""Exchange of the popularity of objects between the fronts of a zone."""

from typing import TYPE_CHECKING

from weldbend.fleet import popularity
from weldbend.fleet.popularity import PopularityCounts, PopularitySlots
from weldbend.fleet.replicated_items import ITEM_KINDS, POPULARITY
from weldbend.fleet.replicated_store import Change
from weldbend.fleet.service import Fleet

if TYPE_CHECKING:
    from weldbend.front.dispatcher import Dispatcher


class PopularityExchange:
    """Publishes the objects that clients request, and counts those published by the zone's other fronts."""

    def __init__(self, dispatcher: "Dispatcher", fleet: Fleet) -> None:
        self.dispatcher = dispatcher
        self.fleet = fleet
        self.slots = PopularitySlots()
        self.peer_counts = PopularityCounts()

    def count_request(self, class_name: str, key: str, part: int, is_retry: bool) -> int:
        """Count a client's request, and return the object's count at the other fronts of the zone.

        A retry is not counted again.
        """
        request_class = self.dispatcher.site.settings.classes[class_name]
        if request_class.origin_only or not self.fleet.settings.popularity:
            return 0
        hash_value = popularity.object_hash(key, part)
        if not is_retry:
            self.slots.add(hash_value)
        return self.peer_counts.count_of(hash_value)

    def apply(self, change: Change) -> None:
        """Count a slot of a front in this front's zone, as the fronts of a zone use the same edge caches.

        A slot under this front's own name was published by its previous process, and counts too.
        """
        settings = self.fleet.settings
        writer = change.key.rpartition("|")[2]
        zones = {peer.name: peer.zone for peer in settings.peers} | {self.fleet.name: settings.zone}
        if settings.popularity and zones.get(writer) == settings.zone:
            until = self.fleet.timers.now() + ITEM_KINDS[POPULARITY].lifetime - change.age
            self.peer_counts.replace(change.key, str(change.value[2]), until)

    def tick(self, now: float) -> None:
        """Remove expired slots from the counts, and publish the current slot if it is complete."""
        self.peer_counts.discard_expired(now)
        if self.fleet.settings.popularity and (slot := self.slots.tick(now)):
            number, packed = slot
            key = f"{number % popularity.KEPT_SLOTS}|{self.fleet.name}"
            self.peer_counts.remove(key)  # a slot that this front's previous process published under the key
            self.fleet.publish(POPULARITY, key, self.fleet.store.epoch, number, packed)
