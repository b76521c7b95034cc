"""Base class of the testbed's exceptions."""


class TestbedError(Exception):
    """An operation that the testbed cannot perform; its message is one line for the user."""

    __test__ = False  # keeps pytest from collecting this class as a test case because of its name
