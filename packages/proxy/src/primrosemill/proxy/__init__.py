"""Serves requests: HTTP in and out, and the daemon."""
