"""The event bus: its stream of server-sent events, the client that reads it, and the events on it."""
