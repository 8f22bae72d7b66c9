"""Decides which customer sends a request, and for how long a key holds."""
