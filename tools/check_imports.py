"""Check that modules are imported, not the names inside them.

Run it as ``python -m tools.check_imports FOLDER ...``; it prints each
offending line and exits with 1 where there is one.
"""

import ast
import importlib.util
import pathlib
import sys
import typing


class NameImport(typing.NamedTuple):
    """An import of something that is not a module."""

    path: pathlib.Path
    line: int
    name: str


def is_module(name: str) -> bool:
    """Tell whether a dotted name can be imported as a module."""
    try:
        return importlib.util.find_spec(name) is not None
    except (ImportError, AttributeError, ValueError):
        return False


def find_name_imports(path: pathlib.Path) -> list[NameImport]:
    """Return the imports of names in one file, relative ones included."""
    found = []
    for node in ast.walk(ast.parse(path.read_text(), str(path))):
        if not isinstance(node, ast.ImportFrom):
            continue
        for alias in node.names:
            full_name = f"{node.module}.{alias.name}"
            if node.level == 0 and is_module(full_name):
                continue
            found.append(NameImport(path, node.lineno, full_name))
    return found


def main(folders: list[str]) -> int:
    """Print every import of a name below the folders."""
    found = []
    for folder in folders:
        for path in sorted(pathlib.Path(folder).rglob("*.py")):
            found.extend(find_name_imports(path))
    for item in found:
        print(f"{item.path}:{item.line}: {item.name} is not a module")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
