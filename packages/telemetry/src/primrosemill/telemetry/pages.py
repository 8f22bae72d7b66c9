"""Generates docs/events.md from the catalogue of events.

Run ``python -m primrosemill.telemetry.pages > docs/events.md``.
"""

from primrosemill.telemetry import events

PAGE_HEADER = """\
# Events

A VM logs one JSON object per line (eliot). `message_type` is the number,
`event` the name, and `level` how urgently the event needs attention. This
page is generated from the catalogue by
`python -m primrosemill.telemetry.pages`; a test compares the two.

| number | name | level | meaning | fields |
| --- | --- | --- | --- | --- |
"""


def events_page() -> str:
    """Return the text of docs/events.md."""
    lines = []
    for event in events.CATALOGUE:
        fields = ", ".join(f"`{field}`" for field in event.fields)
        cells = (
            event.number,
            f"`{event.name}`",
            event.level.value,
            event.meaning,
            fields,
        )
        lines.append(f"| {' | '.join(cells)} |\n")
    return PAGE_HEADER + "".join(lines)


if __name__ == "__main__":
    print(events_page(), end="")
