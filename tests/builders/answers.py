"""Reads responses to callers."""

import httpcore


def header(response: httpcore.Response, name: str) -> str | None:
    """Return the first value of a header, or None."""
    for each_name, value in response.headers:
        if each_name.lower() == name.encode():
            return value.decode()
    return None
