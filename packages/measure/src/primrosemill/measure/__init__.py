"""Measures decisions, latency, spread and capacity."""
