"""A comparison of the fleet states that several fronts report. No I/O."""

from typing import Any


def differences(statuses: dict[str, Any]) -> list[str]:
    """Return a line for each difference between the fronts' answers, and each front that is not in order.

    A front is not in order if it did not answer, if another process runs under its name, or if it has not
    caught up.

    Args:
        statuses: answer to `status` by the front's name, None for a front that did not answer.
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
