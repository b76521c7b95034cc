"""The emulated site: caches, parents, origin and event bus on loopback, and what they hold."""
