"""The laboratory: emulated servers, clients and experiments on loopback. Never imported by a front."""
