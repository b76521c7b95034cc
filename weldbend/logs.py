"""The log on standard error: lines for people, or one JSON object a line for machines.

A line that cannot be written is lost: a full disk, a closed pipe or no standard error at all stops nobody.
"""

import json
import sys
from contextlib import suppress
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from loguru import Message

FORMS = ("text", "json")
FORMAT = "{time:HH:mm:ss.SSS} {level:<7} {message}"


def start(level: str, form: str) -> None:
    """Send what is logged from `level` on to standard error, in one of FORMS.

    Raises:
        ValueError: for an unknown level.
    """
    logger.remove()
    if form == "json":
        logger.add(write_json, level=level.upper(), format="{message}", backtrace=False, diagnose=False)
    else:
        logger.add(write, format=FORMAT, level=level.upper(), backtrace=False, diagnose=False)


def write(text: str) -> None:
    """Write text that ends in a newline, if that is possible.

    Guards the front against what is behind its log. Harm: lines are lost without a trace.
    """
    if sys.stderr is not None:  # closed before the start, it is None
        with suppress(OSError, ValueError):  # ValueError: closed since
            sys.stderr.write(text)
            sys.stderr.flush()


def write_json(message: "Message") -> None:
    """Write one line: time, level, message, and the fields that were bound, each under its name."""
    record = message.record
    line = {
        "time": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "message": record["message"],
    }
    bound = {name: value for name, value in record["extra"].items() if name not in line}
    write(json.dumps(line | bound, default=str) + "\n")
