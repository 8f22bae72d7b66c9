"""Builds the text of an entry VM's settings."""

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
first = {first}
"""


def text(first: str = "") -> str:
    return TEXT.format(first=first)
