"""`weldbend lab fleet --lines`: a fleet of real processes, controlled by commands on standard input."""

import json
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

from twisted.internet import stdio
from twisted.protocols.basic import LineOnlyReceiver
from twisted.python.failure import Failure

from weldbend.testbed.emulator.emulated_site import SiteSettings
from weldbend.testbed.faults.plan import InvalidPlanError
from weldbend.testbed.fleet.plan import parse_event
from weldbend.testbed.fleet.plan_player import Player
from weldbend.testbed.fleet.plan_runner import print_json
from weldbend.testbed.fleet.processes import FleetSite, FleetSiteSettings
from weldbend.testbed.reactor import ProcessReactor

DEFAULT_DURATION = "3600 s"  # duration of an event without `for`, unless another command ends it
REACTOR_STOP_DELAY = 0.1  # seconds between the kill of the fronts and the stop of the reactor


class LineCommands(LineOnlyReceiver):
    """Protocol of commands, one JSON object per line.

    A command is an event of a plan, or `heal`, `start`, `signal`, `tell` or `write`. An event without `for`
    lasts until `heal` or `start`. `on_end` is called at the end of the input.
    """

    delimiter = b"\n"

    def __init__(self, site: FleetSite, on_end: Callable[[], None]) -> None:
        self.site = site
        self.player = Player(site)
        self.on_end = on_end

    def lineReceived(self, line: bytes) -> None:
        """Execute the command of one line, and print the result or the error."""
        try:
            command = json.loads(line)
            self._perform(command)
        except (InvalidPlanError, ValueError, KeyError, TypeError) as error:
            print_json({"wrong": f"{type(error).__name__}: {error}"})
        else:
            print_json({"done": command})

    def _perform(self, command: dict[str, Any]) -> None:
        site = self.site
        match command.get("do"):
            case "heal":
                site.unblock(set(site.network.blocked))
            case "start":
                for number in self._numbers(command):
                    site.start(number, float(command.get("ahead", 0.0)))
            case "kill" if "for" not in command:
                for number in self._numbers(command):
                    site.kill(number)
            case "signal":
                for number in self._numbers(command):
                    site.signal(number, command["name"])
            case "tell":
                site.bus.publish(**command["event"])
            case "write":
                self._write_installations(command)
            case _:
                fronts = site.settings.site.fronts
                section = {"for": DEFAULT_DURATION} | command
                event = parse_event("told", section, fronts, "line:")
                event.check_cache(site.cache_uids(), "line:")
                self.player.begin(event)

    def _write_installations(self, command: dict[str, Any]) -> None:
        for number in self._numbers(command):
            self.site.installation_path(number).write_text(command["text"])

    def _numbers(self, command: dict[str, Any]) -> list[int]:
        """Return the numbers of the fronts that a command applies to."""
        names = str(command.get("who", "all")).split()
        return list(self.site.numbers) if names == ["all"] else [int(name[1:]) for name in names]

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Handle the end of the input."""
        self.on_end()


def run_line_commands(
    reactor: ProcessReactor, fronts: int, seed: int, zones: tuple[str, ...], folder: str | None
) -> None:
    """Execute commands from standard input; the first output line has the folder and all addresses."""
    place = Path(folder or tempfile.mkdtemp(prefix="weldbend-fleet-"))
    settings = FleetSiteSettings(SiteSettings(fronts=fronts), zones, folder=place)
    site = FleetSite(reactor, settings, seed, print_json)

    def on_end() -> None:
        site.end_all()
        reactor.callLater(REACTOR_STOP_DELAY, reactor.stop)

    print_json(
        {
            "folder": str(place),
            "fronts": {f"n{number}": site.addresses[number] for number in site.numbers},
            "controls": {f"n{number}": site.controls[number] for number in site.numbers},
        }
    )
    stdio.StandardIO(LineCommands(site, on_end))  # type: ignore[no-untyped-call]  # Twisted's
