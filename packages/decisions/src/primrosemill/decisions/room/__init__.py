"""Decisions on the free capacity of other failure domains."""

from primrosemill.decisions.room import open_domains
from primrosemill.decisions.room import service_room

__all__ = ["open_domains", "service_room"]
