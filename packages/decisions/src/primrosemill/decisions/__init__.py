"""Decides on routing, limits, detection, ejection and retries."""
