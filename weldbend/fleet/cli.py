"""`weldbend fleet`: what a running front believes of its fleet, asked over its control port."""

import json
import socket
from typing import Any

import click

from weldbend.fleet.settings import split
from weldbend.fleet.view_comparison import differences

STATES = {"ALIVE": "alive", "SUSPECT": "suspected", "DEAD": "dead", "LEFT": "left"}


def asked(control: str, **question: Any) -> Any:
    """One question and its answer; ends with one clear line where there is none."""
    try:
        with socket.create_connection(split(control), timeout=3.0) as held, held.makefile("rwb") as lines:
            lines.write(json.dumps(question).encode() + b"\n")
            lines.flush()
            answer = json.loads(lines.readline(1 << 24))
    except (OSError, ValueError) as wrong:
        raise click.ClickException(f"no answer from {control}: {wrong}") from None
    if "wrong" in answer:
        raise click.ClickException(answer["wrong"])
    return answer["ok"]


CONTROL = click.option(
    "--control", required=True, envvar="WELDBEND_CONTROL", help="host:port of [fleet] control"
)
JSON = click.option("--json", "as_json", is_flag=True, help="as it came")


@click.group()
def fleet() -> None:
    """What running fronts believe of each other, and what they hold together."""


@fleet.command()
@CONTROL
@JSON
def status(control: str, as_json: bool) -> None:
    """One front in a few lines: its sight, its members, how much it holds."""
    held = asked(control, ask="status")
    if as_json:
        click.echo(json.dumps(held))
        return
    click.echo(
        f"{held['name']} of fleet {held['fleet']}: sight {held['sight'].lower()}, health {held['health']}, "
        f"{'caught up' if held['caught_up'] else 'not caught up'}, {held['items']} items, "
        f"digest {held['digest']}"
    )
    if held["contested"]:
        click.echo("another process runs under this name: this one has fallen silent")
    for one in held["members"]:
        heard = "never heard" if one["heard"] is None else f"heard {one['heard']:.1f} s ago"
        by = f", suspected by {', '.join(one['voices'])}" if one["voices"] else ""
        link = "linked" if one["linked"] else "no link"
        click.echo(f"  {one['name']:<20} {STATES[one['state']]:<10} {heard}, {link}{by}")
    for cause, count in sorted(held["dropped"].items()):
        click.echo(f"  dropped {count}: {cause}")


@fleet.command()
@click.option("--control", "controls", multiple=True, required=True, help="of each front, again and again")
@JSON
def members(controls: tuple[str, ...], as_json: bool) -> None:
    """Who sees whom, as a matrix over the fronts that are asked."""
    views = {}
    for control in controls:
        held = asked(control, ask="status")
        views[held["name"]] = {one["name"]: one["state"] for one in held["members"]} | {held["name"]: "self"}
    if as_json:
        click.echo(json.dumps(views))
        return
    names = sorted({name for view in views.values() for name in view})
    click.echo(f"{'sees':<20} " + " ".join(f"{name:<10.10}" for name in names))
    for name, view in sorted(views.items()):
        row = " ".join(f"{STATES.get(view.get(other, ''), view.get(other, '-')):<10}" for other in names)
        click.echo(f"{name:<20} {row}")


@fleet.command()
@CONTROL
@JSON
def state(control: str, as_json: bool) -> None:
    """All that a front holds together with others, with ages."""
    held = asked(control, ask="state")
    if as_json:
        click.echo(json.dumps(held))
        return
    for one in held:
        click.echo(f"{one['kind']:<8} {one['key']:<40} {one['value']} {one['age']:.1f} s old")


@fleet.command()
@click.argument("cache")
@CONTROL
def explain(cache: str, control: str) -> None:
    """Why a cache is held as it is: every item about it."""
    for one in asked(control, ask="explain", cache=cache) or [None]:
        click.echo(
            f"{one['kind']} {one['value']}, {one['age']:.1f} s old" if one else f"nothing about {cache}"
        )


@fleet.command()
@CONTROL
@JSON
def limits(control: str, as_json: bool) -> None:
    """Who holds what of which limit, until when, and what is lent; amounts in 1200ths of a limit."""
    held = asked(control, ask="limits")
    if as_json:
        click.echo(json.dumps(held))
        return
    for one in held:
        if one["kind"] == "soft":
            click.echo(f"{one['limit']} (soft): part {one['part']} for a need of {one['need']} a second")
            continue
        quiet = f", nothing of its own for {one['quiet']} s yet" if one["quiet"] else ""
        quiet += ", owns nothing: others name other members" if one["newcomer"] else ""
        click.echo(
            f"{one['limit']} (strict): owns {one['own']}, keeps {one['kept']}, has lent {one['lent']}, "
            f"borrowed {one['borrowed']}, needs {one['need']} pulls of {one['pull']}{quiet}"
        )
        for loan in one["loans"]:
            way = "lent to" if loan["way"] == "out" else "from"
            click.echo(f"  {loan['parts']} {way} {loan['with']}, ends in {loan['ends in']} s")


@fleet.command()
@CONTROL
@JSON
def verdicts(control: str, as_json: bool) -> None:
    """Caches that the fleet holds for bad, who says so and until when; clients that are cast out."""
    held = asked(control, ask="verdicts")
    if as_json:
        click.echo(json.dumps(held))
        return
    for one in held:
        if "client" in one:
            click.echo(f"client {one['client']} is cast out, {one['ends in']} s yet")
            continue
        where = f" in zone {one['zone']}" if one["zone"] else ""
        ends = f", {one['ends in']} s yet" if one["ends in"] is not None else ""
        click.echo(
            f"{one['cache']}{where}: {one['stand'].lower()} for {one['for']} s{ends}, by "
            f"{', '.join(one['voices'])}; gets {one['part']:.0%} from here, fell {one['relapses']} times"
        )
    if not held:
        click.echo("no verdicts")


@fleet.command()
@click.argument("client")
@click.option("--for", "minutes", type=click.FloatRange(0.1, 1440), default=10.0, show_default=True)
@CONTROL
def cast(client: str, minutes: float, control: str) -> None:
    """Cast a client (its address) out of the whole fleet, for so many minutes."""
    asked(control, ask="cast", client=client, seconds=minutes * 60)
    click.echo(f"{client} is cast out for {minutes:g} minutes")


@fleet.command()
@click.argument("client")
@CONTROL
def pardon(client: str, control: str) -> None:
    """Take a client back in: what was said of it until now counts no more."""
    asked(control, ask="pardon", client=client)
    click.echo(f"{client} is pardoned")


@fleet.command("set")
@click.argument("name")
@click.argument("version", type=click.IntRange(1))
@click.argument("value")
@CONTROL
def set_(name: str, version: int, value: str, control: str) -> None:
    """An operators' setting for the whole fleet; the highest version holds."""
    asked(control, ask="set", name=name, version=version, value=value)
    click.echo(f"{name} is {value} from version {version} on")


@fleet.command()
@click.option("--control", "controls", multiple=True, required=True, help="of each front, again and again")
def check(controls: tuple[str, ...]) -> None:
    """Whether the fronts that are asked agree; exit 1 and a line for each thing on which they do not."""
    held = {}
    for control in controls:
        one = asked(control, ask="status")
        held[one["name"]] = one
    wrong = differences(held)
    for line in wrong:
        click.echo(line)
    if wrong:
        raise click.exceptions.Exit(1)
    click.echo(f"{len(held)} fronts agree")
