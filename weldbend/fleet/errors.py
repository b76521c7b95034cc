"""The base of all exceptions of this package."""


class FleetError(Exception):
    """Something is wrong with the fleet's configuration or messages."""
