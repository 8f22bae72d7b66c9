"""Builds the configuration that operators publish."""
