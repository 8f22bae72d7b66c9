"""Reads the configuration service and the VM list."""
