"""The caches' line protocol: commands out, answers in; no I/O."""
