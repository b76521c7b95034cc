"""Limits and bans of single clients for the whole fleet. No I/O.

Fronts publish their clients with the highest request rates. If a client's total rate at all fronts exceeds
its limit, each front rejects a random fraction of the client's requests to remove the excess. A client that
two fronts have banned is banned by all fronts (see `outlier_detection`), and an operator can ban or reinstate
a client.
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

MAX_PUBLISHED_CLIENTS = 8  # clients whose rates are published each second, the highest rates first
SMOOTHING = 0.5  # weight of the last second in a client's mean rate
NEGLIGIBLE_RATE = 0.05  # requests a second below which a client's rate is discarded
CLIENT_ADDRESS = re.compile(r"[0-9a-fA-F.:]{2,45}")
SETTING_PREFIX = "cast/"  # of the names of operators' settings for clients
# Verbs in the value of an operator's setting for a client.
REINSTATE = "pardon"
BAN_UNTIL = "until"


class InvalidClientAddressError(ValueError):
    """An operator gave a text that is not a valid client address.

    Attributes:
        text: the invalid text.
    """

    def __init__(self, text: str) -> None:
        super().__init__(f"{text!r:.40} is not a valid client address")
        self.text = text


class ClientRateLimit:
    """Limit on the total request rate of a client at all fronts."""

    def __init__(self, context: QuotaContext) -> None:
        self.context = context
        self.requests: Counter[str] = Counter()  # by client, since the last tick
        self.rates: dict[str, float] = {}  # requests a second at this front, as a running mean

    def exceeds_limit(self, client: str) -> bool:
        """Count a request; return whether it must be rejected because its client exceeds the limit."""
        if not self.context.limits.client_rate:
            return False
        self.requests[client] += 1
        return self._is_excess(client)

    def _is_excess(self, client: str) -> bool:
        """Return whether to reject a request: at random, for the fraction of the rate above the limit."""
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
        # At some front, a client over its limit has at least the limit divided by the number of fronts. Half
        # of that is the threshold, or less if `peers`, which names all fronts, includes this front already.
        min_published_rate = limit / (2 * (len(self.context.fleet.settings.peers) + 1))
        # Equal rates are ordered by name, because the order of a set differs between processes.
        busiest = sorted(self.rates, key=lambda client: (-self.rates[client], client))
        for client in busiest[:MAX_PUBLISHED_CLIENTS]:
            if self.rates[client] >= min_published_rate:
                self.context.publish_figure(CLIENT_RATE, client, round(self.rates[client], 1))


class ClientBans:
    """Clients that the fleet or an operator has banned.

    Attributes:
        banned: end of the ban of each client that the fleet has banned, in seconds of the steady clock.
    """

    def __init__(self, context: QuotaContext) -> None:
        self.context = context
        self.banned: dict[str, float] = {}
        self._unix = SteadyUnixTime(context.loop.clock)

    def publish(self, client: str) -> None:
        """Publish that this front has banned a client."""
        self.context.publish_figure(CLIENT_BAN, client, 0.0)

    def is_banned(self, client: str) -> bool:
        """Return whether the fleet or an operator has banned a client.

        Connections of clients that the fleet has banned are counted.
        """
        override = self._override(client)
        if override is not None:
            return override
        is_banned = self.context.now() < self.banned.get(client, -math.inf)
        if is_banned:
            self.context.counts["connections of banned clients"] += 1
        return is_banned

    def _override(self, client: str) -> bool | None:
        """Return whether an operator has banned a client; None without an operator's decision in force.

        A ban is in force until its end. A reinstatement is in force unless the fleet has banned the client
        and a front has published its ban after the reinstatement.
        """
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
        """Return when any front last published that it has banned a client; minus infinity for never."""
        reports = (
            item.written_at for key, item in self.context.items(CLIENT_BAN) if key.startswith(f"{client}|")
        )
        return max(reports, default=-math.inf)

    def tick(self, now: float) -> None:
        """Update the clients that enough fronts have banned."""
        reports: dict[str, list[ClientBan]] = defaultdict(list)
        for client, writer, item in self.context.live_figures(CLIENT_BAN, now):
            reports[client].append(ClientBan(writer, item.written_at - float(item.value[2])))
        found = banned_clients(reports, self.context.limits.ban_duration, now)
        for client in set(found) - set(self.banned):
            reporters = ", ".join(sorted(ban.front for ban in reports[client]))
            logger.bind(client=client).warning("fleet: client {} is banned by {}", client, reporters)
        self.banned = found

    def set_override(self, client: str, text: str) -> str:
        """Publish an operator's decision on a client for the whole fleet, and return its text.

        Args:
            client: address of the client.
            text: `pardon`, or `until` and a Unix time in seconds.

        Raises:
            InvalidClientAddressError: if `client` is not a valid address.
        """
        if not CLIENT_ADDRESS.fullmatch(client):
            raise InvalidClientAddressError(client)
        self.context.publish_setting(SETTING_PREFIX + client, text)
        return text

    def override_until(self, client: str, seconds: float) -> str:
        """Ban a client for a number of seconds; raises InvalidClientAddressError for an invalid address."""
        until = int(self.context.loop.clock.unix() + seconds)
        text = self.set_override(client, f"{BAN_UNTIL} {until}")
        self.context.publish_setting(SPAN_PREFIX + client, format_span(until, seconds))
        return text

    def reinstate(self, client: str) -> str:
        """Lift the ban on a client; raises InvalidClientAddressError for an invalid address."""
        return self.set_override(client, REINSTATE)

    def status_rows(self, now: float) -> list[dict[str, object]]:
        """Return the clients banned by the fleet for the admin question `verdicts`.

        They include clients that an operator has reinstated since, until the fleet's ban ends.
        """
        return [
            {"client": client, "ends in": round(until - now, 1)}
            for client, until in sorted(self.banned.items())
        ]
