"""Limits and bans of single clients, for the whole fleet. No I/O.

Fronts publish the clients that request the most; where one client's requests at all fronts are over its
limit, the excess is rejected by chance. A client that two fronts have banned is banned by all (see
`outlier_detection`), and an operator may ban or reinstate one.
"""

import math
import re
from collections import Counter, defaultdict

from loguru import logger

from weldbend.fleet.ban_spans import SPAN_PREFIX, format_span, is_ban_active
from weldbend.fleet.outlier_detection import ClientBan, banned_clients
from weldbend.fleet.quota_context import QuotaContext
from weldbend.fleet.replicated_items import CLIENT_BAN, CLIENT_RATE, SETTING
from weldbend.fleet.steady_unix import SteadyUnixTime

MAX_PUBLISHED_CLIENTS = 8  # clients that this front publishes in a second, those that request the most
SMOOTHING = 0.5  # weight of the last second in a client's mean rate
NEGLIGIBLE_RATE = 0.05  # requests a second below which a client is forgotten
CLIENT_ADDRESS = re.compile(r"[0-9a-fA-F.:]{2,45}")
SETTING_PREFIX = "cast/"  # of the names of operators' settings on clients
# Verbs of an operator's setting on a client.
REINSTATE = "pardon"
BAN_UNTIL = "until"


class InvalidClientAddressError(ValueError):
    """An operator named something that is no address of a client.

    Attributes:
        text: what was named.
    """

    def __init__(self, text: str) -> None:
        super().__init__(f"{text!r:.40} is no address of a client")
        self.text = text


class ClientRateLimit:
    """The limit on the requests of one client at all fronts together."""

    def __init__(self, context: QuotaContext) -> None:
        self.context = context
        self.requests: Counter[str] = Counter()  # by client, since the last tick
        self.rates: dict[str, float] = {}  # requests a second at this front, as a running mean

    def exceeds_limit(self, client: str) -> bool:
        """Count a request; return whether it is to be rejected as beyond its client's limit."""
        if not self.context.limits.client_rate:
            return False
        self.requests[client] += 1
        return self._is_excess(client)

    def _is_excess(self, client: str) -> bool:
        """By chance, as much as one client requests of all fronts beyond its limit."""
        limit = self.context.limits.client_rate
        rate_elsewhere = sum(rate for _, rate in self.context.peer_figures(CLIENT_RATE, client).values())
        total_rate = self.rates.get(client, 0.0) + rate_elsewhere
        return total_rate > limit and self.context.random.random() >= limit / total_rate

    def tick(self) -> None:
        """Update the mean rates and publish the highest ones."""
        limit = self.context.limits.client_rate
        if not limit:
            return
        for client in set(self.requests) | set(self.rates):
            rate = (1 - SMOOTHING) * self.rates.get(client, 0.0) + SMOOTHING * self.requests[client]
            if rate < NEGLIGIBLE_RATE:
                self.rates.pop(client, None)
            else:
                self.rates[client] = rate
        self.requests.clear()
        min_published_rate = limit / (2 * (len(self.context.fleet.settings.peers) + 1))
        # by name where rates are equal: a set has another order in each process
        busiest = sorted(self.rates, key=lambda client: (-self.rates[client], client))
        for client in busiest[:MAX_PUBLISHED_CLIENTS]:
            if self.rates[client] >= min_published_rate:
                self.context.publish_figure(CLIENT_RATE, client, round(self.rates[client], 1))


class ClientBans:
    """Which clients the fleet or an operator has banned.

    Attributes:
        banned: clients that the fleet has banned, and until when, in seconds of the steady clock.
    """

    def __init__(self, context: QuotaContext) -> None:
        self.context = context
        self.banned: dict[str, float] = {}
        self._unix = SteadyUnixTime(context.loop.clock)

    def publish(self, client: str) -> None:
        """Publish that this front has banned a client."""
        self.context.publish_figure(CLIENT_BAN, client, 0.0)

    def is_banned(self, client: str) -> bool:
        """Whether the fleet has banned a client, or an operator; counts the connections of those it has."""
        override = self._override(client)
        if override is not None:
            return override
        is_banned = self.context.now() < self.banned.get(client, -math.inf)
        if is_banned:
            self.context.counts["connections of banned clients"] += 1
        return is_banned

    def _override(self, client: str) -> bool | None:
        """What an operator decided on a client; None where that is nothing, or no longer holds."""
        item = self.context.item(SETTING, SETTING_PREFIX + client)
        if item is None or not isinstance(item.value[1], str):
            return None
        verb, _, until = item.value[1].partition(" ")
        if verb == REINSTATE and (
            client not in self.banned or item.written_at >= self._last_reported(client)
        ):
            return False
        if verb == BAN_UNTIL and until.isdigit():
            span = self.context.item(SETTING, SPAN_PREFIX + client)
            return True if is_ban_active(item, int(until), span, self.context.now(), self._unix()) else None
        return None

    def _last_reported(self, client: str) -> float:
        """When a front last published that it has banned a client."""
        reports = (
            item.written_at for key, item in self.context.items(CLIENT_BAN) if key.startswith(f"{client}|")
        )
        return max(reports, default=-math.inf)

    def tick(self, now: float) -> None:
        """Find anew which clients enough fronts have banned."""
        reports: dict[str, list[ClientBan]] = defaultdict(list)
        for client, writer, item in self.context.live_figures(CLIENT_BAN, now):
            reports[client].append(ClientBan(writer, item.written_at - float(item.value[2])))
        found = banned_clients(reports, self.context.limits.ban_duration, now)
        for client in set(found) - set(self.banned):
            reporters = ", ".join(sorted(ban.front for ban in reports[client]))
            logger.bind(client=client).warning("fleet: client {} is banned by {}", client, reporters)
        self.banned = found

    def set_override(self, client: str, text: str) -> str:
        """Publish an operator's decision on a client for the whole fleet, and return it.

        Args:
            client: its address.
            text: `pardon`, or `until` and a Unix second.

        Raises:
            InvalidClientAddressError: where `client` is no address.
        """
        if not CLIENT_ADDRESS.fullmatch(client):
            raise InvalidClientAddressError(client)
        self.context.publish_setting(SETTING_PREFIX + client, text)
        return text

    def override_until(self, client: str, seconds: float) -> str:
        """Ban a client for so many seconds; raises InvalidClientAddressError where it is no address."""
        until = int(self.context.loop.clock.unix() + seconds)
        text = self.set_override(client, f"{BAN_UNTIL} {until}")
        self.context.publish_setting(SPAN_PREFIX + client, format_span(until, seconds))
        return text

    def reinstate(self, client: str) -> str:
        """Lift the ban on a client; raises InvalidClientAddressError where it is no address."""
        return self.set_override(client, REINSTATE)

    def status_rows(self, now: float) -> list[dict[str, object]]:
        """Return what the admin question `verdicts` shows of clients."""
        return [
            {"client": client, "ends in": round(until - now, 1)}
            for client, until in sorted(self.banned.items())
        ]
