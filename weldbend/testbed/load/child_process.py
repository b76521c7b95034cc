"""Child processes of the testbed that are driven by lines, and answer each with one JSON line."""

import json
import subprocess
import sys
from typing import Any

END_TIMEOUT = 20  # seconds from the end of a child's input until it is killed


class ChildEndedError(RuntimeError):
    """A child process that has ended instead of answering; `command` is its command line."""

    def __init__(self, command: list[str]) -> None:
        self.command = command
        super().__init__(f"a child process of the testbed ended: {command}")


def testbed_command(*tokens: str) -> list[str]:
    """The command line of `weldbend lab` with some words."""
    return [sys.executable, "-m", "weldbend", "lab", *tokens]


class ChildProcess:
    """A `weldbend lab` command as a child process."""

    def __init__(self, *tokens: str) -> None:
        self.command = testbed_command(*tokens)
        self.process = subprocess.Popen(
            self.command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )

    def send(self, line: str) -> None:
        """Send one line."""
        assert self.process.stdin
        self.process.stdin.write(line + "\n")
        self.process.stdin.flush()

    def receive(self) -> dict[str, Any]:
        """Wait for one JSON line; raises ChildEndedError."""
        assert self.process.stdout
        line = self.process.stdout.readline()
        if not line:
            raise ChildEndedError(self.command)
        document: dict[str, Any] = json.loads(line)
        return document

    def end(self) -> None:
        """Close its input, and wait for its end; it is killed where that takes too long."""
        if self.process.stdin:
            self.process.stdin.close()
        try:
            self.process.wait(END_TIMEOUT)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
