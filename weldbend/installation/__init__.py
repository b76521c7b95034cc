"""The installation file: settings of an operator, all of which are validated before the front starts."""
