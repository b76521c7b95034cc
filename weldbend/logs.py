"""Log on standard error: lines of text for people, or one JSON object per line for programs.

A line that cannot be written is lost; a full disk, a closed pipe or a missing standard error stops nothing.
"""

import json
import sys
from contextlib import suppress
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from loguru import Message

FORMS = ("text", "json")  # values of the option --log-form
# Format of a line in the form "text", as a template of loguru.
FORMAT = "{time:HH:mm:ss.SSS} {level:<7} {message}"


def start(level: str, form: str) -> None:
    """Begin to write log messages of at least `level` to standard error.

    Args:
        level: Lowest level of the messages to write.
        form: Form of the lines, one of `FORMS`.

    Raises:
        ValueError: The level is unknown.
    """
    logger.remove()
    if form == "json":
        logger.add(write_json, level=level.upper(), format="{message}", backtrace=False, diagnose=False)
    else:
        logger.add(write, format=FORMAT, level=level.upper(), backtrace=False, diagnose=False)


def write(text: str) -> None:
    """Write text that ends in a newline to standard error; ignore errors.

    Guards the front against failures of the file or pipe that receives its log. Side effect: lines are lost
    without any report.
    """
    if sys.stderr is not None:  # None if it was closed when the process started
        with suppress(OSError, ValueError):  # ValueError: this process has closed it since then
            sys.stderr.write(text)
            sys.stderr.flush()


def write_json(message: "Message") -> None:
    """Write a message as a JSON object with time, level, message and the bound fields."""
    record = message.record
    line = {
        "time": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "message": record["message"],
    }
    bound = {name: value for name, value in record["extra"].items() if name not in line}
    write(json.dumps(line | bound, default=str) + "\n")
