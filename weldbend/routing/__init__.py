"""All decisions: which cache answers a request, where a miss is filled from, where a copy stays."""
