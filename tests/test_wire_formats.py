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

CALL_CLASSES = {
    "process": thrift.Process,
    "giveUp": thrift.GiveUp,
    "probe": thrift.Probe,
    "wrong": thrift.InvalidCall,
}
FLEET_MESSAGE_CLASSES = {
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
CONNECTION_MESSAGES = ("hello", "have", "delta", "want", "piece", "refusal")
BUS_EVENT_CLASSES = {"list": events.EndpointListUpdate, "purge": events.Purge}


def recorded(file):
    return json.loads((DATA / file).read_text("utf-8"))


def cases(file):
    return [pytest.param(case, id=case["name"]) for case in recorded(file)]


def to_json(value):
    """A value as JSON can hold it: fields in their order, without their names."""
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, msgspec.Struct):
        return to_json(msgspec.structs.astuple(value))
    if dataclasses.is_dataclass(value):
        return to_json(dataclasses.astuple(value))
    if isinstance(value, dict):
        return [[to_json(key), to_json(item)] for key, item in value.items()]
    if isinstance(value, list | tuple):
        return [to_json(item) for item in value]
    return value


def filled_ring(data):
    ring = Ring(1 << 20)
    assert ring.write(data) == len(data)
    return ring


def call_bytes(case):
    first, *rest = case["values"]
    if case["as"] == "process":
        return calls.process(first, dict(rest[0]), bytes.fromhex(rest[1]))
    writers = {"giveUp": calls.give_up, "probe": calls.probe}  # what cannot be understood has no writer
    return writers[case["as"]](first) if case["as"] in writers else bytes.fromhex(case["hex"])


@pytest.mark.parametrize("case", cases("thrift_calls.json"))
def test_a_recorded_call_is_read_and_written_unchanged(case):
    data = filled_ring(bytes.fromhex(case["hex"]))
    call = thrift.read_call(next_frame(data, 1 << 20))
    assert not len(data)
    assert type(call) is CALL_CLASSES[case["as"]]
    assert to_json(call) == case["values"]
    assert call_bytes(case).hex() == case["hex"]


def answer_bytes(case):
    values = case["given"]
    match case["as"]:
        case "answer":
            name, seqid, body, fields, good = values
            return thrift.answer(name, seqid, bytes.fromhex(body), dict(fields), good)
        case "overloaded":
            return thrift.overloaded(values[0], dict(values[1]))
        case "internal":
            return thrift.internal(values[0])
    return thrift.application_exception(thrift.InvalidCall(*values))


@pytest.mark.parametrize("case", cases("thrift_answers.json"))
def test_an_answer_to_a_client_has_its_recorded_bytes_and_values(case):
    assert answer_bytes(case).hex() == case["hex"]
    (answer,) = calls.read_answers(filled_ring(bytes.fromhex(case["hex"])))
    assert to_json(answer) == case["values"]


def command_bytes(command, name, fields, body):
    if command == "do":
        return line_commands.do(name, dict(fields), bytes.fromhex(body))
    return {"undo": line_commands.undo, "ping": line_commands.ping, "top": line_commands.top}[command](name)


@pytest.mark.parametrize("case", cases("line_commands.json"))
def test_a_command_to_a_cache_has_its_recorded_bytes_and_values(case):
    assert command_bytes(*case["values"]).hex() == case["hex"]
    (command,) = commands.Parser(filled_ring(bytes.fromhex(case["hex"]))).all()
    assert to_json(command) == case["values"]


@pytest.mark.parametrize("case", cases("line_answers.json"))
def test_a_recorded_answer_of_a_cache_gives_its_recorded_values(case):
    data = filled_ring(bytes.fromhex(case["hex"]))
    answer = line_answers.AnswerParser(data).next()
    assert not len(data)
    assert to_json(answer) == case["values"]


@pytest.mark.parametrize("case", cases("bus_events.json"))
def test_a_recorded_bus_event_gives_its_recorded_values(case):
    event = events.read_event(case["text"])
    assert type(event.event) is BUS_EVENT_CLASSES[case["as"]]
    assert to_json(event) == case["values"]


@pytest.mark.parametrize("case", cases("bus_streams.json"))
def test_a_recorded_bus_stream_gives_its_messages_in_any_split(case):
    data = bytes.fromhex(case["hex"])
    for size in (1, 7, len(data)):
        parser, received = sse.Parser(), []
        for start in range(0, len(data), size):
            received += parser.feed(data[start : start + size])
        assert to_json(received) == case["values"]


@pytest.mark.parametrize("case", cases("fleet_messages.json"))
def test_a_recorded_message_between_fronts_is_read_and_written_unchanged(case):
    data = bytes.fromhex(case["hex"])
    read = messages.read_connection_message if case["as"] in CONNECTION_MESSAGES else messages.read_datagram
    message = read(data)
    assert type(message) is FLEET_MESSAGE_CLASSES[case["as"]]
    assert to_json(message) == case["values"]
    assert messages.encode(message).hex() == case["hex"]


KEYS = "00112233 " + "0f" * 32 + "\n# the second opens only\n44556677 " + "a5" * 32 + "\n"


@pytest.mark.parametrize("case", cases("sealed.json"))
def test_an_authenticated_message_has_its_recorded_bytes_and_is_verified(case):
    fleet, sender, to, epoch, number, link = case["header"]
    body, session = bytes.fromhex(case["body"]), bytes.fromhex(case["session"])
    authenticator = authentication.MessageAuthenticator(fleet, sender, epoch, authentication.read_keys(KEYS))
    authenticator.number = number - 1
    assert authenticator.authenticate(to, body, link, session).hex() == case["hex"]
    verified = authentication.MessageAuthenticator(fleet, to, 1, authentication.read_keys(KEYS)).verify(
        bytes.fromhex(case["hex"]), link, session
    )
    assert to_json(verified.header) == case["header"]
    assert verified.body == body


@pytest.mark.parametrize("case", cases("items.json"))
def test_a_recorded_item_is_stored_and_passed_on_unchanged(case):
    (op,) = messages.read_connection_message(bytes.fromhex(case["hex"])).operations
    assert to_json(op) == case["values"]
    store = ReplicatedStore("n9", 5)
    assert to_json(store.apply(op, 100.0)) == case["change"]
    assert messages.encode(messages.Delta(store.changes_after({}, 100.0, 10))).hex() == case["hex"]
    ((ops, _, is_last),) = store.snapshot_chunks("", 100.0, 10)
    assert is_last and messages.encode(messages.Delta(ops)).hex() == case["snapshot"]
    assert f"{store.digest(100.0):012x}" == case["digest"]


def test_every_message_between_fronts_and_every_kind_of_item_is_recorded():
    assert {case["as"] for case in recorded("fleet_messages.json")} == set(FLEET_MESSAGE_CLASSES)
    assert {case["change"][0] for case in recorded("items.json")} == set(ITEM_KINDS)


class FrozenTimers:
    """Timers that stand still."""

    def now(self):
        return 100.0

    def after(self, delay, call):
        return None


def admin_server(folder):
    """The control port of a front that has heard of its peers and of some items."""
    (folder / "keys").write_text(KEYS)
    peers = tuple(Peer(f"n{n}", f"127.0.0.{n}", 7400, "upper") for n in (2, 3, 4))
    settings = FleetSettings(
        listen="127.0.0.1:7400", fleet="north", zone="upper", key_file=str(folder / "keys"), peers=peers
    )
    fleet = Fleet(
        Runtime(None, FrozenTimers(), bytes), "n1", settings, lambda change: None, 1_700_000_000_000
    )
    for case in recorded("sealed.json"):
        if not case["header"][5]:  # not of a link; one of them is meant for another, and dropped
            fleet.datagrams.datagramReceived(bytes.fromhex(case["hex"]), ("127.0.0.2", 7400))
    for case in recorded("items.json"):
        for op in messages.read_connection_message(bytes.fromhex(case["hex"])).operations:
            fleet.store.apply(op, 100.0)
    return AdminServer(fleet, {})


def test_queries_at_the_admin_port_get_their_recorded_answers(tmp_path):
    connection = admin_server(tmp_path).buildProtocol(None)
    transport = StringTransport()
    connection.makeConnection(transport)
    for case in recorded("control.json"):
        transport.clear()
        connection.dataReceived(case["asked"].encode() + b"\n")
        assert transport.value().decode() == case["answer"] + "\n", case["name"]


@pytest.mark.parametrize("case", cases("fleet_commands.json"))
def test_a_fleet_command_prints_its_recorded_output(case, monkeypatch):
    (recorded_answer,) = (
        exchange["answer"] for exchange in recorded("control.json") if exchange["name"] == case["told"]
    )
    queries = []

    def record_query(address, **query):
        queries.append([address, query])
        return json.loads(recorded_answer)["ok"]

    monkeypatch.setattr(cli, cli.ask.__name__, record_query)
    result = CliRunner().invoke(cli.fleet, case["arguments"])
    assert [result.exit_code, result.output, queries] == [case["exit"], case["output"], case["questions"]]


@pytest.mark.parametrize("case", cases("installations.json"))
def test_an_installation_file_gives_its_recorded_settings(case):
    installation = build(parse(str(ROOT / case["file"])), "FILE")
    assert to_json(installation) == case["values"]


@pytest.mark.parametrize("case", cases("plans.json"))
def test_a_plan_gives_its_recorded_events(case):
    path = str(ROOT / case["file"])
    plan = faults.read_plan(path, case["framing"]) if case["framing"] else fleets.read_plan(path)
    assert to_json(plan) == case["values"]


def test_the_example_configuration_gives_its_recorded_values():
    case = recorded("configuration.json")
    site = read_site((ROOT / case["file"]).read_text("utf-8"))
    values = [site.name, site.host, site.port, site.seed]
    values += [site.bus_address, site.bus_offset, site.known_events, site.roles]
    assert to_json([*values, site.cache_limits, site.settings]) == case["values"]
