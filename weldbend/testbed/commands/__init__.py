"""The commands of `weldbend lab`, a module a group of them; `weldbend.testbed.cli` registers them all."""
