"""Developers' tools: the test verdict and checks that no linter has."""
