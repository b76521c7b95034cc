"""Connections that wait for nothing: parked as a descriptor and a few figures, woken in bounded batches."""
