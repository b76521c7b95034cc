"""A front for caches of large objects behind thin links."""
