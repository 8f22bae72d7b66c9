"""Builds settings files and reads the pages that document the keys."""

import re

from primrosemill.proxy import settings_schema as schema

COMPLETE = {
    "vm": {
        "fleet": "atlas",
        "id": "vm-0",
        "ip": "127.0.0.1",
        "domain": "ain-sebaa",
    },
    "platform": {"address": "127.0.0.1:8500"},
    "ports": {"caller": "0", "admin": "0", "peer": "0"},
}


def text(**changes: dict[str, str] | None) -> str:
    """Build a complete file with changes; a section set to None is omitted."""
    lines = []
    for section, keys in (COMPLETE | changes).items():
        if keys is None:
            continue
        lines.append(f"[{section}]")
        merged = COMPLETE.get(section, {}) | keys
        lines += [f"{key} = {value}" for key, value in merged.items()]
    return "\n".join(lines) + "\n"


def page_rows(page: str) -> list[tuple[str, ...]]:
    """Return the rows of the tables of keys on a page."""
    return re.findall(
        r"^\| `(\w+)` \| `(\w+)` \| (.*) \| (.*) \| (.*) \|$",
        page,
        re.MULTILINE,
    )


def key_rows(keys: tuple[schema.Key, ...]) -> list[tuple[str, ...]]:
    """Return the rows that the page of the given keys should contain."""
    return [
        (
            key.section,
            key.name,
            schema.describe(key.form),
            "required" if key.default is None else f"`{key.default}`",
            key.meaning,
        )
        for key in keys
    ]
