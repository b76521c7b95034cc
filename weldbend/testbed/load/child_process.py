"""Child processes of the testbed, which read commands line by line and answer with one JSON line each."""

import json
import subprocess
import sys
from typing import Any

END_TIMEOUT = 20  # seconds that a child may run after its input is closed; then it is killed


class ChildEndedError(RuntimeError):
    """A child process ended without an answer.

    Attributes:
        command: Command line of the process.
    """

    def __init__(self, command: list[str]) -> None:
        self.command = command
        super().__init__(f"child process of the testbed ended without an answer: {command}")


def testbed_command(*tokens: str) -> list[str]:
    """Return the command line of `weldbend lab` with these arguments."""
    return [sys.executable, "-m", "weldbend", "lab", *tokens]


class ChildProcess:
    """A `weldbend lab` command that runs as a child process."""

    def __init__(self, *tokens: str) -> None:
        self.command = testbed_command(*tokens)
        self.process = subprocess.Popen(
            self.command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )

    def send(self, line: str) -> None:
        """Write one line to the child's standard input."""
        assert self.process.stdin
        self.process.stdin.write(line + "\n")
        self.process.stdin.flush()

    def receive(self) -> dict[str, Any]:
        """Wait for one JSON line, and return its object.

        Raises:
            ChildEndedError: The child ended without an answer.
        """
        assert self.process.stdout
        line = self.process.stdout.readline()
        if not line:
            raise ChildEndedError(self.command)
        document: dict[str, Any] = json.loads(line)
        return document

    def end(self) -> None:
        """Close the child's input, and wait for its end; kill the child after END_TIMEOUT."""
        if self.process.stdin:
            self.process.stdin.close()
        try:
            self.process.wait(END_TIMEOUT)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
