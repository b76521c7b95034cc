"""What a front needs at one size of a site, and with more and smaller caches of the same total capacity."""
