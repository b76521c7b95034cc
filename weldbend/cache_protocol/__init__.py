"""The line protocol of caches: commands written, answers read; no I/O."""
