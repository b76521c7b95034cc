"""The event bus: the parser of its server-sent events, the client that reads them, and their types."""
