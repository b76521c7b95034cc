"""Error answers of the admin port to invalid questions: one line of JSON, without exception class names."""

import builtins
import json

import pytest
from twisted.internet.testing import StringTransport

from weldbend.fleet.admin_server import AdminServer

EXCEPTIONS = [
    name
    for name, value in vars(builtins).items()
    if isinstance(value, type) and issubclass(value, BaseException)
]


def answer_to(line):
    """Return the answer of an admin server without a fleet, whose only handler is `cast` (ban a client)."""
    handlers = {"cast": lambda question: [question["client"], int(float(question["seconds"]))]}
    connection = AdminServer(None, handlers).buildProtocol(None)
    transport = StringTransport()
    connection.makeConnection(transport)
    connection.dataReceived(line.encode() + b"\n")
    return json.loads(transport.value())


@pytest.mark.parametrize(
    ("line", "message"),
    [
        ("what", "a question is one JSON object on one line"),
        ("[1]", "a question is one JSON object on one line"),
        ('"ask"', "a question is one JSON object on one line"),
        # nested too deeply for the JSON parser
        ("[" * 4000, "a question is one JSON object on one line"),
        ("{}", "the question lacks 'ask'"),
        ('{"ask": ["status"]}', "unknown question"),
        ('{"ask": "cast"}', "the question lacks 'client'"),
        ('{"ask": "cast", "client": "10.0.0.1"}', "the question lacks 'seconds'"),
        ('{"ask": "cast", "client": "10.0.0.1", "seconds": "long"}', "'seconds' is \"long\", not a number"),
        ('{"ask": "cast", "client": "10.0.0.1", "seconds": null}', "'seconds' is null, not a number"),
        ('{"ask": "cast", "client": "10.0.0.1", "seconds": NaN}', "'seconds' is NaN, not a number"),
        ('{"ask": "set", "name": "a", "version": 1e999}', "'version' is Infinity, not a number"),
        ('{"ask": "set", "name": "a", "version": 1}', "the question lacks 'value'"),
    ],
)
def test_an_invalid_question_is_answered_with_a_message_that_names_its_error(line, message):
    error = answer_to(line)["wrong"]
    assert message in error and not any(name in error for name in EXCEPTIONS)


def test_a_number_in_a_question_may_be_a_json_string():
    assert answer_to('{"ask": "cast", "client": "10.0.0.1", "seconds": "60"}') == {"ok": ["10.0.0.1", 60]}
