"""Compares what several fronts answer about their fleet. No I/O."""

from typing import Any


def differences(statuses: dict[str, Any]) -> list[str]:
    """A line for each thing on which fronts differ.

    Args:
        statuses: each front's answer to `status`, by its name; None where there was no answer.
    """
    lines = [f"{name}: no answer" for name, status in sorted(statuses.items()) if status is None]
    answered = {name: status for name, status in sorted(statuses.items()) if status}
    for name, status in answered.items():
        if status["contested"]:
            lines.append(f"{name}: another process runs under its name")
        if not status["caught_up"]:
            lines.append(f"{name}: not caught up")
        lines += [
            f"{name} holds {member['name']} for {member['state'].lower()}"
            for member in status["members"]
            if member["name"] in answered and member["state"] != "ALIVE"
        ]
    if len({status["digest"] for status in answered.values()}) > 1:
        digests = ", ".join(f"{name} {status['digest']}" for name, status in answered.items())
        lines.append(f"copies differ: {digests}")
    return lines
