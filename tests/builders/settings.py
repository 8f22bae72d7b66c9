"""Builds settings files for tests, and reads the pages that list keys."""

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
    """Build a complete file; a section that changes to None is left out."""
    lines = []
    for section, keys in (COMPLETE | changes).items():
        if keys is None:
            continue
        lines.append(f"[{section}]")
        merged = COMPLETE.get(section, {}) | keys
        lines += [f"{key} = {value}" for key, value in merged.items()]
    return "\n".join(lines) + "\n"


def page_rows(page: str) -> list[tuple[str, ...]]:
    """Read the rows of a page's tables of keys."""
    return re.findall(
        r"^\| `(\w+)` \| `(\w+)` \| (.*) \| (.*) \| (.*) \|$",
        page,
        re.MULTILINE,
    )


def key_rows(keys: tuple[schema.Key, ...]) -> list[tuple[str, ...]]:
    """Return the rows that keys should have on their page."""
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
