"""The event bus: its stream, its reader, and its events as the decisions know them."""
