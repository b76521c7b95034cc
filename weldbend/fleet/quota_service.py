"""Limits and ejections that this front shares with its fleet, as used by the front's adapter. No I/O.

Strict limits are shared by leases: the slow-start budgets of caches (`slow_start_quotas`) and the operators'
strict rates. Other limits are divided by demand (`demand_limits`). The service also runs the limits and bans
of clients (`client_limits`) and the ejections of caches (`ejection_service`).
"""

import math
import zlib
from collections.abc import Callable, Mapping
from typing import Any

from weldbend.fleet.client_limits import ClientBans, ClientRateLimit
from weldbend.fleet.demand_limits import DemandLimits
from weldbend.fleet.ejection_service import EjectionService
from weldbend.fleet.health_reports import HealthReport
from weldbend.fleet.lease_ledger import LeaseTimes
from weldbend.fleet.lease_service import LeasedRate, LeaseService
from weldbend.fleet.membership_view import Reachability
from weldbend.fleet.quota_context import FrontLoop, QuotaContext
from weldbend.fleet.replicated_items import MEMBERS
from weldbend.fleet.service import Fleet
from weldbend.fleet.slow_start_quotas import SlowStartQuotas
from weldbend.fleet.steady_unix import SteadyUnixTime
from weldbend.routing.random_source import RandomSource

WINDOW = 1.0  # seconds over which an operator's rate is enforced
MEMBERS_INTERVAL = 10.0  # seconds after which a front publishes an unchanged checksum of its members again

AdminHandler = Callable[[dict[str, Any]], object]


class QuotaService:
    """Limits and ejections that the front shares with its fleet; `tick` must be called once a second.

    Attributes:
        context: context shared by all limits and ejections.
        counts: counters of limits and ejections.
        slow_start: slow-start budgets of caches.
        demand: limits divided by demand.
        client_rate: limit on the request rate of a single client.
        bans: bans of clients.
        ejections: ejections of caches.
        leases: strict limits, whose messages the fleet's service sends and receives.
        rates: operators' strict rates, by request class.
    """

    def __init__(self, loop: FrontLoop, fleet: Fleet, random: RandomSource) -> None:
        self.context = QuotaContext(loop, fleet, random)
        self.counts = self.context.counts
        self.slow_start = SlowStartQuotas(self.context)
        self.demand = DemandLimits(self.context)
        self.client_rate = ClientRateLimit(self.context)
        self.bans = ClientBans(self.context)
        self.ejections = EjectionService(self.context)
        self.leases = fleet.lease_service = self._make_leases()
        self._members_checksum = 0
        self._members_published_at = -math.inf
        self.rates: dict[str, LeasedRate] = {}
        # Rates that a reloaded installation file no longer names stay open, because other fronts may hold
        # leases on them.
        self._opened_rates: dict[str, LeasedRate] = {}
        self._open_rates()

    def _make_leases(self) -> LeaseService:
        context = self.context
        longest_window = max(context.settings.edge_overload_window, WINDOW)
        leases = LeaseService(
            context.name,
            context.fleet.membership.epoch,
            context.random,
            context.now() + self._times(longest_window).recovery,
            self.slow_start.open_requested,
            SteadyUnixTime(context.loop.clock),
        )
        leases.is_newcomer = bool(context.fleet.membership.members)
        return leases

    def _open_rates(self) -> None:
        context = self.context
        times = self._times(WINDOW)
        for name, rate in context.limits.leased_rates:
            if name in self._opened_rates:
                self._opened_rates[name].limit = rate * WINDOW
                continue
            opened = self._opened_rates[name] = LeasedRate(rate * WINDOW, times)
            self.leases.open(
                f"type:{name}", context.front_names(), rate * WINDOW, times, opened, context.now()
            )
        self.rates = {name: self._opened_rates[name] for name, _ in context.limits.leased_rates}

    def _times(self, window: float) -> LeaseTimes:
        limits = self.context.limits
        return LeaseTimes(limits.lease_term, window, limits.clock_drift)

    # Admission.

    def exceeds_limit(self, request_class: str, client: str) -> bool:
        """Count a request; return whether it must be rejected because it exceeds a limit of the fleet."""
        now = self.context.now()
        if not self.context.settings.classes[request_class].origin_only:
            self.demand.parents.add()
        if self.client_rate.exceeds_limit(client):
            self.counts["requests over a client's limit"] += 1
            return True
        rate = self.rates.get(request_class) or self.demand.rates.get(request_class)
        if rate is not None and not rate.try_admit(now):
            self.counts[f"requests over the limit of {request_class}"] += 1
            return True
        return False

    def is_banned(self, client: str) -> bool:
        """Return whether the fleet or an operator has banned a client."""
        return self.bans.is_banned(client)

    def publish_ban(self, client: str) -> None:
        """Publish that this front has banned a client."""
        self.bans.publish(client)

    def cache_restarted(self, uid: str) -> None:
        """Handle a possible restart of a cache."""
        self.slow_start.cache_restarted(uid)

    # Time.

    def tick(self, now: float, reports: Mapping[str, list[HealthReport]]) -> None:
        """Publish this front's figures, and update all quotas and ejections.

        Args:
            now: time of the steady clock in seconds.
            reports: health reports of all fronts, including this one, by cache.
        """
        alive = self.context.fleet.live_members()
        self._confirm_members(now)
        self.slow_start.tick()
        self.demand.tick(now, alive)
        self.client_rate.tick()
        if self.context.limits.ejections:
            self.ejections.update_ejections(now, reports, alive)
            self.bans.tick(now)
            self.ejections.find_unlisted_starts(now)

    # Membership.

    def _confirm_members(self, now: float) -> None:
        """Let a newcomer own parts of limits once all other fronts' checksums that it has equal its own.

        A newcomer is a front with `LeaseService.is_newcomer`: one that has started, or whose installation
        file names fewer members than before.

        The published checksum covers the names of all members and the operators' strict rates. Guards against
        parts that fronts compute from different members or rates, and whose sum exceeds a limit. A newcomer
        that receives no messages owns its parts after its recovery. Side effect: after a start, a front waits
        up to `MEMBERS_INTERVAL` for the next checksums of the others.
        """
        context = self.context
        checksum = zlib.crc32(f"{context.front_names()} {context.limits.leased_rates}".encode())
        if checksum != self._members_checksum or now - self._members_published_at >= MEMBERS_INTERVAL:
            self._members_checksum = checksum
            self._members_published_at = now
            context.publish_figure(MEMBERS, "", float(checksum))
        if not self.leases.is_newcomer:
            return
        published = context.peer_figures(MEMBERS, "")
        agree = bool(published) and all(int(figure) == checksum for _, figure in published.values())
        members = context.fleet.membership
        is_alone = members.reachability(now) is Reachability.ALONE and now >= self.leases.recovering_until
        if agree or is_alone or not members.members:
            self.leases.set_members(self.slow_start.owners, False, now)

    def members_changed(self) -> None:
        """Apply the members and rates of a reloaded installation file.

        If the file no longer names a member that shares an open limit, open limits stay divided as they are,
        and this front owns no parts of limits opened afterwards, until the checksums of all fronts that it
        has agree (`_confirm_members`).
        """
        now = self.context.now()
        self._open_rates()
        self.demand.rates_changed()
        current = set(self.context.front_names())
        previous = {name for limit in self.leases.limits.values() for name in limit.members}
        if current >= previous:
            self.leases.set_members(self.slow_start.owners, self.leases.is_newcomer, now)
        else:
            self.leases.is_newcomer = True  # until the other fronts have reloaded their files as well
        self._members_published_at = -math.inf

    # Admin port.

    def admin_handlers(self) -> dict[str, AdminHandler]:
        """Return the handlers of admin-port questions; each is called with the whole question."""
        return {
            "limits": lambda question: self.limit_rows(),
            "verdicts": lambda question: self.ejection_rows(),
            "cast": lambda question: self.bans.override_until(
                str(question["client"]), float(question["seconds"])
            ),
            "pardon": lambda question: self.bans.reinstate(str(question["client"])),
        }

    def limit_rows(self) -> list[dict[str, object]]:
        """Return all limits for the admin port."""
        status = {"kind": "strict", "newcomer": self.leases.is_newcomer}
        rows: list[dict[str, object]] = [row | status for row in self.leases.status_rows(self.context.now())]
        return rows + self.demand.status_rows()

    def ejection_rows(self) -> list[dict[str, object]]:
        """Return the caches with an ejection record and the clients that the fleet has banned."""
        now = self.context.now()
        return self.ejections.status_rows(now) + self.bans.status_rows(now)
