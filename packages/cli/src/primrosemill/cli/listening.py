"""Finds out before the start whether a VM can listen on its ports."""

import socket
import typing

from primrosemill.proxy import settings as proxy_settings


class CannotListen(typing.NamedTuple):
    """A port is taken, or the IP number is none of this machine."""

    key: str
    ip: str
    port: int
    detail: str


def check_ports(settings: proxy_settings.Settings) -> list[CannotListen]:
    """Return a fault for each port that can not be listened on."""
    ports_by_key = {
        "caller": settings.caller_port,
        "admin": settings.admin_port,
        "peer": settings.peer_port,
    }
    found = []
    for key, port in ports_by_key.items():
        detail = _try(settings.ip, port)
        if detail:
            found.append(CannotListen(key, settings.ip, port, detail))
    return found


def _try(ip: str, port: int) -> str:
    """Return why an address can not be listened on, or nothing."""
    family = socket.AF_INET6 if ":" in ip else socket.AF_INET
    with socket.socket(family) as probe:
        # As servers do: connections of a VM that has just ended don't count.
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, port))
            probe.listen()
        except OSError as error:
            return error.strerror or str(error)
    return ""
