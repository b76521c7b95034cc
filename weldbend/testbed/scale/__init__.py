"""Scale experiment: resources that a front needs as the same total capacity is divided among more caches."""
