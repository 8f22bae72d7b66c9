"""Holds the settings of one VM, as read from its INI file."""

import typing


class Settings(typing.NamedTuple):
    """What a VM must know before it reads any configuration."""

    fleet: str
    vm_id: str
    ip: str
    domain: str
    platform_address: str
    caller_port: int
    admin_port: int
    peer_port: int
    first_peers: tuple[str, ...] = ()
