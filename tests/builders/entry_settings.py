"""Builds settings files of entry VMs."""

TEXT = """\
[vm]
fleet = primrosemill
id = entry-1
domain = ain-sebaa

[feed]
address = 127.0.0.1:8142

[listen]
callers = 127.0.0.1:8144
ready = 127.0.0.1:8140
directory = 127.0.0.1:8143
peers = 127.0.0.1:8146
admin = 127.0.0.1:7660

[peers]
first = {first_peers}
"""


def text(first_peers: str = "") -> str:
    return TEXT.format(first_peers=first_peers)
