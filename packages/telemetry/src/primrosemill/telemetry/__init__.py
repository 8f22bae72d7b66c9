"""Logs numbered events and counts refusals, retries and faults."""
