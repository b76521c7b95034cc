"""The base class of this package's exceptions."""


class FleetError(Exception):
    """An error in the fleet's configuration or in a message."""
