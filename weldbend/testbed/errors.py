"""The base of the testbed's exceptions."""


class TestbedError(Exception):
    """Something that the testbed cannot carry out; its text is one line for the user."""

    __test__ = False  # no test case, whatever pytest makes of the name
