"""Commands of `weldbend lab`, grouped by module; `weldbend.testbed.cli` registers all of them."""
