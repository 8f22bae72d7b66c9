"""Identifies the customers that send requests."""
