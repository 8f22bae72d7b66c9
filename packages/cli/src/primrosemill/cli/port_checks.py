"""Checks before a VM starts whether it can listen on its ports."""

import socket
import typing

from primrosemill.proxy import settings as proxy_settings


class CannotListen(typing.NamedTuple):
    """A port is in use, or this machine does not have the IP address."""

    key: str
    ip: str
    port: int
    detail: str


def check_ports(settings: proxy_settings.Settings) -> list[CannotListen]:
    """Return a fault for each port on which the VM cannot listen."""
    ports_by_key = {
        "caller": settings.caller_port,
        "admin": settings.admin_port,
        "peer": settings.peer_port,
    }
    port_faults = []
    for key, port in ports_by_key.items():
        detail = _find_bind_error(settings.ip, port)
        if detail:
            port_faults.append(CannotListen(key, settings.ip, port, detail))
    return port_faults


def _find_bind_error(ip: str, port: int) -> str:
    """Return the error of listening on an address, or an empty string."""
    family = socket.AF_INET6 if ":" in ip else socket.AF_INET
    with socket.socket(family) as listener:
        # Servers set this option too: without it, connections of a VM that
        # has just stopped would keep the port in use.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            listener.bind((ip, port))
            listener.listen()
        except OSError as error:
            return error.strerror or str(error)
    return ""
