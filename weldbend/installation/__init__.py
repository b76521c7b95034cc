"""The installation file: settings of the operators, validated as a whole before anything starts."""
