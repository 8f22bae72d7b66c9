"""Check that imports name modules, not the objects inside them.

Usage: ``python -m tools.check_imports FOLDER ...``. Each offending import is
printed, and the exit status is 1 if there is any.
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
    """Return the imports of other objects than modules in one file.

    Relative imports are included.
    """
    violations = []
    for node in ast.walk(ast.parse(path.read_text(), str(path))):
        if not isinstance(node, ast.ImportFrom):
            continue
        for alias in node.names:
            full_name = f"{node.module}.{alias.name}"
            if node.level == 0 and is_module(full_name):
                continue
            violations.append(NameImport(path, node.lineno, full_name))
    return violations


def main(folders: list[str]) -> int:
    """Print all such imports in the files below the folders."""
    violations = []
    for folder in folders:
        for path in sorted(pathlib.Path(folder).rglob("*.py")):
            violations.extend(find_name_imports(path))
    for each in violations:
        print(f"{each.path}:{each.line}: {each.name} is not a module")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
