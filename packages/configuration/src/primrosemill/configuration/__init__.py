"""Checks and versions the configuration documents of a fleet."""
