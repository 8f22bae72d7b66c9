"""Coordinates the VMs of a fleet: membership, evidence, configuration."""
