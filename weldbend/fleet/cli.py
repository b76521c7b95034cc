"""`weldbend fleet`: commands for the admin ports of running fronts.

They query the fronts, ban and reinstate clients, and change fleet settings.

The names of the commands, their options and their output are an interface and must not change.
"""

import json
import socket
from typing import Any

import click

from weldbend.fleet.settings import split_address
from weldbend.fleet.view_comparison import differences

STATE_LABELS = {"ALIVE": "alive", "SUSPECT": "suspected", "DEAD": "dead", "LEFT": "left"}
TIMEOUT = 3.0  # seconds, for connecting and for each read
MAX_ANSWER_SIZE = 1 << 24  # bytes


def ask(control: str, **question: Any) -> Any:  # noqa: ANN401 - what JSON can hold
    """Send one request to an admin port, and return the answer.

    Raises:
        click.ClickException: there is no answer, or the answer is an error.
    """
    try:
        with (
            socket.create_connection(split_address(control), timeout=TIMEOUT) as connection,
            connection.makefile("rwb") as lines,
        ):
            lines.write(json.dumps(question).encode() + b"\n")
            lines.flush()
            answer = json.loads(lines.readline(MAX_ANSWER_SIZE))
    except (OSError, ValueError) as error:
        problem = f"no answer from {control}: {error}"
        raise click.ClickException(problem) from None
    if "wrong" in answer:
        raise click.ClickException(answer["wrong"])
    return answer["ok"]


CONTROL = click.option(
    "--control",
    required=True,
    envvar="WELDBEND_CONTROL",
    help="host:port of the front's admin port (`control` in section [fleet] of the installation file)",
)
CONTROLS = click.option(
    "--control",
    "controls",
    multiple=True,
    required=True,
    help="host:port of each front's admin port; may be repeated",
)
JSON = click.option("--json", "as_json", is_flag=True, help="print the answer as JSON")


@click.group()
def fleet() -> None:
    """Query running fronts for their members and replicated state, and change fleet settings."""


@fleet.command()
@CONTROL
@JSON
def status(control: str, as_json: bool) -> None:
    """Show one front: its reachability, its members and the amount of replicated state.

    `sight` is the front's reachability: clear, waking (not heard from enough members since its start or last
    pause), or alone (heard from no member). `health` is the factor, less one, by which its failure detection
    is slowed down: 0 if healthy, up to 8. `heard` is the age of a member's last message, and `linked` means
    that a connection to the member is open.
    """
    answer = ask(control, ask="status")
    if as_json:
        click.echo(json.dumps(answer))
        return
    click.echo(
        f"{answer['name']} of fleet {answer['fleet']}: sight {answer['sight'].lower()}, "
        f"health {answer['health']}, {'caught up' if answer['caught_up'] else 'not caught up'}, "
        f"{answer['items']} items, digest {answer['digest']}"
    )
    if answer["contested"]:
        click.echo("another process runs under this name: this one has fallen silent")
    for member in answer["members"]:
        click.echo(f"  {_member_line(member)}")
    for cause, count in sorted(answer["dropped"].items()):
        click.echo(f"  dropped {count}: {cause}")


def _member_line(member: dict[str, Any]) -> str:
    last_message = "never heard" if member["heard"] is None else f"heard {member['heard']:.1f} s ago"
    link = "linked" if member["linked"] else "no link"
    reporters = f", suspected by {', '.join(member['voices'])}" if member["voices"] else ""
    return f"{member['name']:<20} {STATE_LABELS[member['state']]:<10} {last_message}, {link}{reporters}"


@fleet.command()
@CONTROLS
@JSON
def members(controls: tuple[str, ...], as_json: bool) -> None:
    """Show the state of each member as each queried front sees it, as a matrix."""
    views = {}
    for control in controls:
        answer = ask(control, ask="status")
        states = {member["name"]: member["state"] for member in answer["members"]}
        views[answer["name"]] = states | {answer["name"]: "self"}
    if as_json:
        click.echo(json.dumps(views))
        return
    names = sorted({name for view in views.values() for name in view})
    click.echo(f"{'sees':<20} " + " ".join(f"{name:<10.10}" for name in names))
    for name, view in sorted(views.items()):
        row = " ".join(
            f"{STATE_LABELS.get(view.get(other, ''), view.get(other, '-')):<10}" for other in names
        )
        click.echo(f"{name:<20} {row}")


@fleet.command()
@CONTROL
@JSON
def state(control: str, as_json: bool) -> None:
    """Show the replicated state of one front, with ages."""
    items = ask(control, ask="state")
    if as_json:
        click.echo(json.dumps(items))
        return
    for item in items:
        click.echo(f"{item['kind']:<8} {item['key']:<40} {item['value']} {item['age']:.1f} s old")


@fleet.command()
@click.argument("cache")
@CONTROL
def explain(cache: str, control: str) -> None:
    """Show every replicated item about a cache, to explain its state."""
    items = ask(control, ask="explain", cache=cache)
    for item in items:
        click.echo(f"{item['kind']} {item['value']}, {item['age']:.1f} s old")
    if not items:
        click.echo(f"nothing about {cache}")


@fleet.command()
@CONTROL
@JSON
def limits(control: str, as_json: bool) -> None:
    """Show the quotas and leases of each limit.

    For a strict limit, amounts are in parts, of which the limit has 1200, except the need: the number of
    attempts that the front could use in one window (the period over which the limit is counted). `pulls of N`
    means that each attempt takes N of the 1200 parts. `keeps` is what the front owns and has not lent.
    `nothing of its own` is shown after a start: until leases that an earlier process of this front may have
    granted have ended, the front uses none of the parts that it owns. `others name other members` means that
    other fronts may divide the limit among other members, so this front owns no parts. For a soft limit, the
    part is the fraction that the front may use, and the need is its demand per second.
    """
    rows = ask(control, ask="limits")
    if as_json:
        click.echo(json.dumps(rows))
        return
    for row in rows:
        if row["kind"] == "soft":
            click.echo(f"{row['limit']} (soft): part {row['part']} for a need of {row['need']} a second")
            continue
        quiet = f", nothing of its own for {row['quiet']} s yet" if row["quiet"] else ""
        quiet += ", owns nothing: others name other members" if row["newcomer"] else ""
        click.echo(
            f"{row['limit']} (strict): owns {row['own']}, keeps {row['kept']}, has lent {row['lent']}, "
            f"borrowed {row['borrowed']}, needs {row['need']} pulls of {row['pull']}{quiet}"
        )
        for lease in row["loans"]:
            direction = "lent to" if lease["way"] == "out" else "from"
            click.echo(f"  {lease['parts']} {direction} {lease['with']}, ends in {lease['ends in']} s")


@fleet.command()
@CONTROL
@JSON
def verdicts(control: str, as_json: bool) -> None:
    """Show caches under ejection, with the fronts that reported them, and clients banned by the fleet.

    A cache is shut (ejected), in trial (half-open), in ramp (recovering) or open (recovered less than 60 s
    ago). `gets` is the fraction of its usual attempts that this front still sends to the cache (100 %:
    unrestricted). `fell` is the number of its ejections since the ejection record was created, counted up to
    8. Clients banned only with `cast` are not listed; those reinstated with `pardon` are, until the fleet's
    ban ends.
    """
    rows = ask(control, ask="verdicts")
    if as_json:
        click.echo(json.dumps(rows))
        return
    for row in rows:
        if "client" in row:
            click.echo(f"client {row['client']} is cast out, {row['ends in']} s yet")
            continue
        zone = f" in zone {row['zone']}" if row["zone"] else ""
        ends = f", {row['ends in']} s yet" if row["ends in"] is not None else ""
        click.echo(
            f"{row['cache']}{zone}: {row['stand'].lower()} for {row['for']} s{ends}, by "
            f"{', '.join(row['voices'])}; gets {row['part']:.0%} from here, fell {row['relapses']} times"
        )
    if not rows:
        click.echo("no verdicts")


@fleet.command()
@click.argument("client")
@click.option("--for", "minutes", type=click.FloatRange(0.1, 1440), default=10.0, show_default=True)
@CONTROL
def cast(client: str, minutes: float, control: str) -> None:
    """Ban a client address from the whole fleet, for a number of minutes."""
    ask(control, ask="cast", client=client, seconds=minutes * 60)
    click.echo(f"{client} is cast out for {minutes:g} minutes")


@fleet.command()
@click.argument("client")
@CONTROL
def pardon(client: str, control: str) -> None:
    """Lift the ban of a client.

    Bans that fronts reported earlier stay recorded, but no longer apply. A ban by the fleet applies again
    once a front reports one after this command.
    """
    ask(control, ask="pardon", client=client)
    click.echo(f"{client} is pardoned")


@fleet.command("set")
@click.argument("name")
@click.argument("version", type=click.IntRange(1))
@click.argument("value")
@CONTROL
def set_(name: str, version: int, value: str, control: str) -> None:
    """Write an operators' setting for the whole fleet; the highest version takes effect."""
    ask(control, ask="set", name=name, version=version, value=value)
    click.echo(f"{name} is {value} from version {version} on")


@fleet.command()
@CONTROLS
def check(controls: tuple[str, ...]) -> None:
    """Check that the queried fronts agree; print each difference and exit with 1 if there is any."""
    statuses = {}
    for control in controls:
        answer = ask(control, ask="status")
        statuses[answer["name"]] = answer
    lines = differences(statuses)
    for line in lines:
        click.echo(line)
    if lines:
        raise click.exceptions.Exit(1)
    click.echo(f"{len(statuses)} fronts agree")
