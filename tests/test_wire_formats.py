"""Wires and stores, byte for byte: recorded data is read, and the same bytes are written back.

The files in data/wire came from a run of the program and are never made anew here. They hold values in
order, without names of Python: which class a case is of stands in the tables below, by labels of the cases.
"""

import dataclasses
import json
from enum import Enum
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner
from twisted.internet.testing import StringTransport

from weldbend.buffers.ring import Ring
from weldbend.cache_protocol import answers as line_answers
from weldbend.cache_protocol import commands as line_commands
from weldbend.event_bus import events, sse
from weldbend.fleet import cli, messages
from weldbend.fleet import message_authentication as authentication
from weldbend.fleet.admin_server import AdminServer
from weldbend.fleet.replicated_items import ITEM_KINDS
from weldbend.fleet.replicated_store import ReplicatedStore
from weldbend.fleet.runtime import Runtime
from weldbend.fleet.service import Fleet
from weldbend.fleet.settings import FleetSettings, Peer
from weldbend.front.configuration import read_site
from weldbend.installation.reader import build, parse
from weldbend.testbed.emulator import cache_commands as commands
from weldbend.testbed.faults import plan as faults
from weldbend.testbed.fleet import plan as fleets
from weldbend.testbed.load import client_calls as calls
from weldbend.thrift import messages as thrift
from weldbend.thrift.framing import next_frame

ROOT = Path(__file__).parent.parent
DATA = ROOT / "tests" / "data" / "wire"

CALLS = {
    "process": thrift.Process,
    "giveUp": thrift.GiveUp,
    "probe": thrift.Probe,
    "wrong": thrift.InvalidCall,
}
BETWEEN_FRONTS = {
    "probe": messages.Probe,
    "ack": messages.Ack,
    "ask": messages.IndirectProbe,
    "nack": messages.Nack,
    "ahead": messages.StaleEpoch,
    "leaving": messages.Leaving,
    "borrow": messages.AcquireLease,
    "grant": messages.GrantLease,
    "back": messages.ReleaseLease,
    "hello": messages.Hello,
    "have": messages.Summary,
    "delta": messages.Delta,
    "want": messages.SnapshotRequest,
    "piece": messages.SnapshotChunk,
    "refusal": messages.SnapshotRefusal,
}
ON_LINKS = ("hello", "have", "delta", "want", "piece", "refusal")
ON_THE_BUS = {"list": events.EndpointListUpdate, "purge": events.Purge}


def recorded(file):
    return json.loads((DATA / file).read_text("utf-8"))


def cases(file):
    return [pytest.param(case, id=case["name"]) for case in recorded(file)]


def plain(value):
    """A value as JSON can hold it: fields in their order, without their names."""
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, msgspec.Struct):
        return plain(msgspec.structs.astuple(value))
    if dataclasses.is_dataclass(value):
        return plain(dataclasses.astuple(value))
    if isinstance(value, dict):
        return [[plain(key), plain(held)] for key, held in value.items()]
    if isinstance(value, list | tuple):
        return [plain(held) for held in value]
    return value


def ring(data):
    held = Ring(1 << 20)
    assert held.write(data) == len(data)
    return held


def call_bytes(case):
    first, *rest = case["values"]
    if case["as"] == "process":
        return calls.process(first, dict(rest[0]), bytes.fromhex(rest[1]))
    writers = {"giveUp": calls.give_up, "probe": calls.probe}  # what cannot be understood has no writer
    return writers[case["as"]](first) if case["as"] in writers else bytes.fromhex(case["hex"])


@pytest.mark.parametrize("case", cases("thrift_calls.json"))
def test_a_recorded_call_is_read_and_written_as_it_was(case):
    data = ring(bytes.fromhex(case["hex"]))
    held = thrift.read_call(next_frame(data, 1 << 20))
    assert not len(data)
    assert type(held) is CALLS[case["as"]]
    assert plain(held) == case["values"]
    assert call_bytes(case).hex() == case["hex"]


def answer_bytes(case):
    given = case["given"]
    match case["as"]:
        case "answer":
            name, seqid, body, fields, good = given
            return thrift.success_reply(name, seqid, bytes.fromhex(body), dict(fields), good)
        case "overloaded":
            return thrift.overloaded_reply(given[0], dict(given[1]))
        case "internal":
            return thrift.internal_error_reply(given[0])
    return thrift.application_exception(thrift.InvalidCall(*given))


@pytest.mark.parametrize("case", cases("thrift_answers.json"))
def test_an_answer_to_a_client_has_its_recorded_bytes_and_is_read_as_it_was(case):
    assert answer_bytes(case).hex() == case["hex"]
    (heard,) = calls.read_answers(ring(bytes.fromhex(case["hex"])))
    assert plain(heard) == case["values"]


def command_bytes(word, name, fields, body):
    if word == "do":
        return line_commands.do(name, dict(fields), bytes.fromhex(body))
    return {"undo": line_commands.undo, "ping": line_commands.ping, "top": line_commands.top}[word](name)


@pytest.mark.parametrize("case", cases("line_commands.json"))
def test_a_command_to_a_cache_has_its_recorded_bytes_and_is_read_as_it_was(case):
    assert command_bytes(*case["values"]).hex() == case["hex"]
    (held,) = commands.Parser(ring(bytes.fromhex(case["hex"]))).all()
    assert plain(held) == case["values"]


@pytest.mark.parametrize("case", cases("line_answers.json"))
def test_a_recorded_answer_of_a_cache_is_read_as_it_was(case):
    data = ring(bytes.fromhex(case["hex"]))
    held = line_answers.AnswerParser(data).next()
    assert not len(data)
    assert plain(held) == case["values"]


@pytest.mark.parametrize("case", cases("bus_events.json"))
def test_a_recorded_event_of_the_bus_is_read_as_it_was(case):
    held = events.read_event(case["text"])
    assert type(held.event) is ON_THE_BUS[case["as"]]
    assert plain(held) == case["values"]


@pytest.mark.parametrize("case", cases("bus_streams.json"))
def test_a_recorded_stream_of_the_bus_gives_its_messages_in_any_split(case):
    data = bytes.fromhex(case["hex"])
    for size in (1, 7, len(data)):
        parser, found = sse.Parser(), []
        for at in range(0, len(data), size):
            found += parser.feed(data[at : at + size])
        assert plain(found) == case["values"]


@pytest.mark.parametrize("case", cases("fleet_messages.json"))
def test_a_recorded_message_between_fronts_is_read_and_written_as_it_was(case):
    data = bytes.fromhex(case["hex"])
    read = messages.read_connection_message if case["as"] in ON_LINKS else messages.read_datagram
    held = read(data)
    assert type(held) is BETWEEN_FRONTS[case["as"]]
    assert plain(held) == case["values"]
    assert messages.encode(held).hex() == case["hex"]


KEYS = "00112233 " + "0f" * 32 + "\n# the second opens only\n44556677 " + "a5" * 32 + "\n"


@pytest.mark.parametrize("case", cases("sealed.json"))
def test_an_authenticated_message_has_its_recorded_bytes_and_is_verified_as_it_was(case):
    fleet, sender, to, epoch, number, link = case["header"]
    body, session = bytes.fromhex(case["body"]), bytes.fromhex(case["session"])
    authenticator = authentication.MessageAuthenticator(fleet, sender, epoch, authentication.read_keys(KEYS))
    authenticator.number = number - 1
    assert authenticator.authenticate(to, body, link, session).hex() == case["hex"]
    opened = authentication.MessageAuthenticator(fleet, to, 1, authentication.read_keys(KEYS)).verify(
        bytes.fromhex(case["hex"]), link, session
    )
    assert plain(opened.header) == case["header"]
    assert opened.body == body


@pytest.mark.parametrize("case", cases("items.json"))
def test_a_recorded_item_is_taken_and_passed_on_as_it_was(case):
    (op,) = messages.read_connection_message(bytes.fromhex(case["hex"])).operations
    assert plain(op) == case["values"]
    copies = ReplicatedStore("n9", 5)
    assert plain(copies.apply(op, 100.0)) == case["change"]
    assert messages.encode(messages.Delta(copies.changes_after({}, 100.0, 10))).hex() == case["hex"]
    ((ops, _, last),) = copies.snapshot_chunks("", 100.0, 10)
    assert last and messages.encode(messages.Delta(ops)).hex() == case["snapshot"]
    assert f"{copies.digest(100.0):012x}" == case["digest"]


def test_every_message_between_fronts_and_every_kind_of_item_is_recorded():
    assert {case["as"] for case in recorded("fleet_messages.json")} == set(BETWEEN_FRONTS)
    assert {case["change"][0] for case in recorded("items.json")} == set(ITEM_KINDS)


class Held:
    """Timers that stand still."""

    def now(self):
        return 100.0

    def after(self, delay, call):
        return None


def control(folder):
    """The control port of a front that has heard of its peers and of some items."""
    (folder / "keys").write_text(KEYS)
    peers = tuple(Peer(f"n{n}", f"127.0.0.{n}", 7400, "upper") for n in (2, 3, 4))
    terms = FleetSettings(
        listen="127.0.0.1:7400", fleet="north", zone="upper", key_file=str(folder / "keys"), peers=peers
    )
    fleet = Fleet(Runtime(None, Held(), bytes), "n1", terms, lambda change: None, 1_700_000_000_000)
    for case in recorded("sealed.json"):
        if not case["header"][5]:  # not of a link; one of them is meant for another, and dropped
            fleet.datagrams.datagramReceived(bytes.fromhex(case["hex"]), ("127.0.0.2", 7400))
    for case in recorded("items.json"):
        for op in messages.read_connection_message(bytes.fromhex(case["hex"])).operations:
            fleet.store.apply(op, 100.0)
    return AdminServer(fleet, {})


def test_questions_at_the_control_port_get_their_recorded_answers(tmp_path):
    asked = control(tmp_path).buildProtocol(None)
    wire = StringTransport()
    asked.makeConnection(wire)
    for case in recorded("control.json"):
        wire.clear()
        asked.dataReceived(case["asked"].encode() + b"\n")
        assert wire.value().decode() == case["answer"] + "\n", case["name"]


@pytest.mark.parametrize("case", cases("fleet_commands.json"))
def test_a_fleet_command_shows_a_recorded_answer_as_it_did(case, monkeypatch):
    (told,) = (held["answer"] for held in recorded("control.json") if held["name"] == case["told"])
    questions = []

    def answer(where, **question):
        questions.append([where, question])
        return json.loads(told)["ok"]

    monkeypatch.setattr(cli, cli.ask.__name__, answer)
    done = CliRunner().invoke(cli.fleet, case["arguments"])
    assert [done.exit_code, done.output, questions] == [case["exit"], case["output"], case["questions"]]


@pytest.mark.parametrize("case", cases("installations.json"))
def test_an_installation_file_gives_its_recorded_settings(case):
    held = build(parse(str(ROOT / case["file"])), "FILE")
    assert plain(held) == case["values"]


@pytest.mark.parametrize("case", cases("plans.json"))
def test_a_plan_gives_its_recorded_events(case):
    path = str(ROOT / case["file"])
    held = faults.read_plan(path, case["framing"]) if case["framing"] else fleets.read_plan(path)
    assert plain(held) == case["values"]


def test_the_example_configuration_gives_its_recorded_facts():
    case = recorded("configuration.json")
    held = read_site((ROOT / case["file"]).read_text("utf-8"))
    found = [held.name, held.host, held.port, held.seed]
    found += [held.bus_address, held.bus_offset, held.known_events, held.roles]
    assert plain([*found, held.cache_limits, held.settings]) == case["values"]
