"""Exchange of health reports on caches: publishes this front's reports, and combines those of its peers."""

from collections import defaultdict
from collections.abc import Set
from typing import TYPE_CHECKING

from weldbend.fleet import health_reports
from weldbend.fleet.health_reports import NO_OUTCOMES, HealthReport, HealthReporter, Outcomes
from weldbend.fleet.replicated_items import HEALTH_REPORT
from weldbend.fleet.service import Fleet
from weldbend.routing.events import PeerHealthReport
from weldbend.routing.reports import health_counts

if TYPE_CHECKING:
    from weldbend.front.dispatcher import Dispatcher


Reports = dict[str, list[HealthReport]]
"""Reports of fronts, by the name of the cache."""


class HealthExchange:
    """Publishes this front's health reports, and passes the combined ones of its peers to the decisions.

    Attributes:
        dispatcher: dispatcher of the routing decisions.
        fleet: the fleet as this front sees it.
        reporter: selects the reports to publish.
        number: number of the last report that this process has published.
        posted: last combined outcomes passed to the routing decisions for each cache with failures, by the
            cache's number.
    """

    def __init__(self, dispatcher: "Dispatcher", fleet: Fleet) -> None:
        self.dispatcher = dispatcher
        self.fleet = fleet
        self.reporter = HealthReporter()
        self.number = 0
        self.posted: dict[int, Outcomes] = {}

    def tick(self, now: float, recovering: Set[str]) -> Reports:
        """Publish and combine reports, and return the reports of all fronts including this one.

        Args:
            now: time of the steady clock in seconds.
            recovering: caches on which this front reports even if all its attempts succeed.
        """
        reports = self._peer_reports(now)
        self._publish(now, {*reports, *recovering})
        self._post(reports)
        return self._with_own(now, reports, recovering)

    def _peer_reports(self, now: float) -> Reports:
        """Return the current reports of other members, by cache."""
        records: dict[str, dict[str, tuple[float, Outcomes]]] = defaultdict(dict)
        for (kind, key), item in self.fleet.store.items.items():
            if kind == HEALTH_REPORT and now - item.written_at < health_reports.REPORT_SPAN:
                uid, _, writer = key.rpartition("|")
                records[uid][writer] = now - item.written_at, (float(item.value[2]), float(item.value[3]))
        settings = self.fleet.settings
        is_same_zone = {
            peer.name: peer.zone == settings.zone for peer in settings.peers if peer.name != self.fleet.name
        }
        totals_with_age = records.pop(health_reports.ALL_CACHES, {})
        totals = {writer: total for writer, (_, total) in totals_with_age.items()}
        return {
            uid: [
                HealthReport(writer, is_same_zone[writer], age, record, totals.get(writer, record))
                for writer, (age, record) in sorted(by_writer.items())
                if writer in is_same_zone
            ]
            for uid, by_writer in records.items()
        }

    def _publish(self, now: float, watched: Set[str]) -> None:
        """Publish this front's due reports; `watched` are caches to report on even without failures."""
        uids = self.dispatcher.names.uids
        records = {
            uids[number]: record
            for number, record in health_counts(self.dispatcher.router, now).items()
            if number in uids
        }
        for uid, record in self.reporter.due_reports(now, records, watched):
            self.number += 1
            key = f"{uid}|{self.fleet.name}"
            self.fleet.publish(HEALTH_REPORT, key, self.fleet.store.epoch, self.number, *record)

    def _post(self, reports: Reports) -> None:
        """Pass the combined peers' reports on each cache to the routing decisions if they have changed."""
        numbers = self.dispatcher.names.numbers
        combined = {
            numbers[uid]: health_reports.combine(by_front)
            for uid, by_front in reports.items()
            if uid in numbers
        }
        failing = {number: record for number, record in combined.items() if record[1]}
        for number in {*failing, *self.posted}:
            record = failing.get(number, NO_OUTCOMES)
            if record != self.posted.get(number, NO_OUTCOMES):
                self.dispatcher.post(PeerHealthReport(number, *record))
        self.posted = failing

    def _with_own(self, now: float, reports: Reports, recovering: Set[str]) -> Reports:
        """Return the peers' reports and this front's own, since ejections are based on both."""
        uids = self.dispatcher.names.uids
        records = health_counts(self.dispatcher.router, now)
        total = (
            sum(successes for successes, _ in records.values()),
            sum(failures for _, failures in records.values()),
        )
        all_reports = dict(reports)
        for number, record in records.items():
            uid = uids.get(number)
            if uid and (uid in reports or uid in recovering or record[1]):
                own = HealthReport(self.fleet.name, True, 0.0, record, total)
                all_reports[uid] = [*reports.get(uid, ()), own]
        return all_reports
