"""Reads the settings of one VM from an INI file and reports every fault."""

import ast
import configparser
import pathlib
import typing

import expression

from primrosemill.proxy import settings_faults as faults
from primrosemill.proxy import settings_schema as schema

DEFAULT_WAITING_REQUESTS = 1_000
DEFAULT_STOP_SECONDS = 60.0
COMMENT_PREFIXES = "#;"
# The parser copies the keys of its default section to all others. This name
# can't occur in a file, so that no section is the default one.
NO_DEFAULT_SECTION = "\n"
ANY_PORT = "0"
HIDDEN_VALUE = "(not shown)"
FAULT_TYPES_BY_PROBLEM = {
    schema.InvalidForm: faults.WrongType,
    schema.NotInRange: faults.OutOfRange,
}


class Settings(typing.NamedTuple):
    """Settings that a VM needs before it can read any configuration."""

    fleet: str
    vm_id: str
    ip: str
    domain: str
    platform_address: str
    caller_port: int
    admin_port: int
    peer_port: int
    first_peers: tuple[str, ...] = ()
    peer_key: bytes = b""
    waiting_requests: int = DEFAULT_WAITING_REQUESTS
    stop_seconds: float = DEFAULT_STOP_SECONDS
    capacity_rps: int = 0


class Entry(typing.NamedTuple):
    """A key with its value and place in the file."""

    line: int
    section: str
    key: str
    value: str


class _SettingsFile:
    """The entries of a settings file, and the faults found in it."""

    def __init__(self, name: str, keys: tuple[schema.Key, ...]) -> None:
        self.name = name
        self.keys = keys
        self.faults: list[faults.Fault] = []
        self.lines_by_section: dict[str, int] = {}
        self.entries_by_name: dict[tuple[str, str], Entry] = {}

    def read(self, text: str) -> None:
        """Parse the sections and keys of a text."""
        parser = configparser.RawConfigParser(
            strict=False, default_section=NO_DEFAULT_SECTION
        )
        text = self._blank_lines_before_sections(text)
        try:
            parser.read_string(text)
        except configparser.ParsingError as error:
            for line, content in error.errors:
                self._add_malformed(line, ast.literal_eval(content))
        self._find_lines(text, parser)

    def _blank_lines_before_sections(self, text: str) -> str:
        """Blank invalid lines before the first section.

        The parser would stop at them and miss the faults that follow.
        """
        lines = text.splitlines()
        for number, line in enumerate(lines, 1):
            if configparser.RawConfigParser.SECTCRE.match(line):
                break
            if line.strip() and line.strip()[0] not in COMMENT_PREFIXES:
                self._add_malformed(number, line)
                lines[number - 1] = ""
        return "\n".join(lines)

    def _add_malformed(self, line: int, content: str) -> None:
        self.faults.append(
            faults.MalformedLine(self.name, line, content.strip())
        )

    def _find_lines(
        self, text: str, parser: configparser.RawConfigParser
    ) -> None:
        """Record the line of each section and key, which the parser omits.

        Indented lines continue the value of the key above them.
        """
        section = ""
        for number, line in enumerate(text.splitlines(), 1):
            if not line or line[0].isspace() or line[0] in COMMENT_PREFIXES:
                continue
            header = parser.SECTCRE.match(line)
            if header is not None:
                section = header.group("header")
                self.lines_by_section.setdefault(section, number)
                continue
            option = parser.OPTCRE.match(line)
            if option is None or not parser.has_section(section):
                continue
            key = parser.optionxform(option.group("option").rstrip())
            value = parser.get(section, key, fallback=option.group("value"))
            self._add_entry(Entry(number, section, key, value))

    def _add_entry(self, entry: Entry) -> None:
        name = (entry.section, entry.key)
        first = self.entries_by_name.setdefault(name, entry)
        if first is not entry:
            self.faults.append(
                faults.DuplicateKey(self.name, *entry, first.line)
            )


def _check_sections(file: _SettingsFile) -> None:
    known = dict.fromkeys(key.section for key in file.keys)
    required = dict.fromkeys(
        key.section for key in file.keys if key.default is None
    )
    for section, line in file.lines_by_section.items():
        if section in known:
            continue
        file.faults.append(
            faults.UnknownSection(file.name, line, section, ", ".join(known))
        )
    for section in required:
        if section in file.lines_by_section:
            continue
        names = ", ".join(
            key.name for key in file.keys if key.section == section
        )
        file.faults.append(faults.MissingSection(file.name, section, names))


def _check_unknown_keys(file: _SettingsFile) -> None:
    names_by_section: dict[str, list[str]] = {}
    for key in file.keys:
        names_by_section.setdefault(key.section, []).append(key.name)
    for entry in file.entries_by_name.values():
        names = names_by_section.get(entry.section)
        # The fault of an unknown section covers its keys.
        if names is None or entry.key in names:
            continue
        file.faults.append(
            faults.UnknownKey(file.name, *entry, ", ".join(names))
        )


def _parse_key(file: _SettingsFile, key: schema.Key) -> typing.Any:
    """Return the value of a key, or None if the file has a fault there."""
    entry = file.entries_by_name.get((key.section, key.name))
    text = key.default if entry is None else entry.value
    allowed = schema.describe(key.form)
    if text is None:
        line = file.lines_by_section.get(key.section)
        if line is not None:
            file.faults.append(
                faults.MissingKey(
                    file.name, line, key.section, key.name, allowed
                )
            )
        return None
    result = schema.parse(key.form, text)
    if result.is_ok():
        return result.ok
    fault_type = FAULT_TYPES_BY_PROBLEM[type(result.error)]
    if entry is not None:
        if isinstance(key.form, schema.SecretKey):
            entry = entry._replace(value=HIDDEN_VALUE)
        file.faults.append(fault_type(file.name, *entry, allowed))
    return None


def _check_ports(file: _SettingsFile) -> None:
    names_by_port: dict[str, str] = {}
    for entry in file.entries_by_name.values():
        if entry.section != "ports" or entry.value == ANY_PORT:
            continue
        other = names_by_port.setdefault(entry.value, entry.key)
        if other != entry.key:
            file.faults.append(faults.SharedPort(file.name, *entry, other))


def parse(
    text: str, file_name: str
) -> expression.Result[Settings, tuple[faults.Fault, ...]]:
    """Return the settings in a text, or all of its faults."""
    return parse_keys(text, file_name, schema.KEYS).map(
        lambda values_by_field: Settings(**values_by_field)
    )


def parse_keys(
    text: str, file_name: str, keys: tuple[schema.Key, ...]
) -> expression.Result[dict[str, typing.Any], tuple[faults.Fault, ...]]:
    """Return the values of the declared keys by field, or all faults."""
    file = _SettingsFile(file_name, keys)
    file.read(text)
    _check_sections(file)
    _check_unknown_keys(file)
    values_by_field = {key.field: _parse_key(file, key) for key in keys}
    _check_ports(file)
    if file.faults:
        return expression.Error(tuple(file.faults))
    return expression.Ok(values_by_field)


def read(
    path: pathlib.Path,
) -> expression.Result[Settings, tuple[faults.Fault, ...]]:
    """Return the settings in a file, or all of its faults."""
    return read_text(path).bind(lambda text: parse(text, str(path)))


def read_text(
    path: pathlib.Path,
) -> expression.Result[str, tuple[faults.Fault, ...]]:
    """Return the text of a settings file."""
    try:
        return expression.Ok(path.read_text("utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        fault = faults.UnreadableFile(str(path), str(error))
        return expression.Error((fault,))
