"""What several fronts say of their fleet, held against each other. No I/O."""

from typing import Any


def differences(held: dict[str, Any]) -> list[str]:
    """A line for each thing on which fronts differ, by their answers to `status`; none for no answer."""
    wrong = [f"{name}: no answer" for name, one in sorted(held.items()) if one is None]
    there = {name: one for name, one in sorted(held.items()) if one}
    for name, one in there.items():
        if one["contested"]:
            wrong.append(f"{name}: another process runs under its name")
        if not one["caught_up"]:
            wrong.append(f"{name}: not caught up")
        wrong += [
            f"{name} holds {other['name']} for {other['state'].lower()}"
            for other in one["members"]
            if other["name"] in there and other["state"] != "ALIVE"
        ]
    if len({one["digest"] for one in there.values()}) > 1:
        wrong.append("copies differ: " + ", ".join(f"{n} {o['digest']}" for n, o in there.items()))
    return wrong
