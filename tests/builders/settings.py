"""Builds settings files for tests."""

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
