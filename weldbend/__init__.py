"""A front for caches of large objects behind thin links."""

__version__ = "0.4.0"
