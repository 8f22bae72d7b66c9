"""Measures ways to ship one binary: size, and time until it has started.

Each way packs the folder that ``make binary`` fills. The program is started
from nothing unpacked and again; plain files are the baseline.
"""

import compileall
import os
import pathlib
import py_compile
import shutil
import statistics
import subprocess
import sys
import tempfile
import time
import typing
import zipapp

import click

SITE = pathlib.Path("build/site")
ENTRY_POINT = "primrosemill.cli.main:main"
ROOT_VARIABLES = ("SHIV_ROOT", "PEX_ROOT", "LAUNCHER_ROOT")
MEGABYTE = 1_000_000
LAUNCHER = """\
import os
import sys
import zipfile

folder = os.path.join(os.environ["LAUNCHER_ROOT"], "unpacked")
if not os.path.isdir(folder):
    zipfile.ZipFile(sys.argv[0]).extractall(folder + ".new")
    os.rename(folder + ".new", folder)
sys.path.insert(0, folder)
from primrosemill.cli import main
main.main()
"""


class Way(typing.NamedTuple):
    """One way to ship the program: what starts it, and what it packs."""

    name: str
    command: tuple[str, ...]
    packed: pathlib.Path


class Figures(typing.NamedTuple):
    """What a way costs; times in seconds, sizes in bytes."""

    packed_size: int
    unpacked_size: int
    first_start: float
    later_start: float


def build_ways(site: pathlib.Path, folder: pathlib.Path) -> list[Way]:
    """Pack the program in every way."""
    ways = [_plain_files(site)]
    for flag in ("--compressed", "--uncompressed"):
        ways.append(_shiv(site, folder, flag))
    for flags in ((), ("--venv",)):
        ways.append(_pex(site, folder, flags))
    ways.append(_launcher(site, folder))
    return ways


def _plain_files(site: pathlib.Path) -> Way:
    program = (
        f"import sys; sys.path.insert(0, {str(site)!r}); "
        "from primrosemill.cli import main; main.main()"
    )
    return Way("plain files", (sys.executable, "-c", program), site)


def _shiv(site: pathlib.Path, folder: pathlib.Path, flag: str) -> Way:
    packed = folder / f"shiv{flag}"
    subprocess.run(
        [sys.executable, "-m", "shiv", "--site-packages", site, flag]
        + ["--entry-point", ENTRY_POINT, "--output-file", packed]
        + ["--python", sys.executable],
        check=True,
    )
    return Way(f"shiv {flag}", (str(packed),), packed)


def _pex(
    site: pathlib.Path, folder: pathlib.Path, flags: tuple[str, ...]
) -> Way:
    packed = folder / f"pex{''.join(flags)}"
    subprocess.run(
        [sys.executable, "-m", "pex", "--sources-directory", site, *flags]
        + ["--entry-point", ENTRY_POINT, "--output-file", packed]
        + ["--python-shebang", sys.executable],
        check=True,
        env=os.environ | {"PEX_ROOT": str(folder / "pex-build")},
    )
    return Way(" ".join(("pex", *flags)), (str(packed),), packed)


def _launcher(site: pathlib.Path, folder: pathlib.Path) -> Way:
    copy = folder / "launcher-files"
    shutil.copytree(site, copy)
    compileall.compile_dir(
        copy,
        quiet=1,
        invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
    )
    (copy / "__main__.py").write_text(LAUNCHER)
    packed = folder / "launcher"
    zipapp.create_archive(
        copy, packed, interpreter=sys.executable, compressed=True
    )
    return Way("launcher with bytecode", (str(packed),), packed)


def measure(way: Way, root: pathlib.Path, rounds: int) -> Figures:
    """Start a way from nothing and again, several times."""
    environment = os.environ | dict.fromkeys(ROOT_VARIABLES, str(root))
    # Where bytecode may not be written, nothing would be gained later on.
    environment.pop("PYTHONDONTWRITEBYTECODE", None)
    first_starts = []
    later_starts = []
    for _ in range(rounds):
        shutil.rmtree(root, ignore_errors=True)
        root.mkdir()
        first_starts.append(_time_start(way, environment))
        later_starts.append(_time_start(way, environment))
    unpacked_size = _size(root)
    shutil.rmtree(root)
    return Figures(
        _size(way.packed),
        unpacked_size,
        statistics.median(first_starts),
        statistics.median(later_starts),
    )


def _time_start(way: Way, environment: dict[str, str]) -> float:
    started = time.perf_counter()
    subprocess.run(
        [*way.command, "version"],
        check=True,
        env=environment,
        stdout=subprocess.DEVNULL,
    )
    return time.perf_counter() - started


def _size(path: pathlib.Path) -> int:
    if path.is_file():
        return path.stat().st_size
    return sum(
        file.stat().st_size for file in path.rglob("*") if file.is_file()
    )


@click.command()
@click.option("--rounds", default=5, show_default=True)
@click.option(
    "--folder",
    type=click.Path(exists=True, file_okay=False),
    help="Where to pack and run; the system's temporary folder by default. "
    "A folder in memory leaves the disk out of the figures.",
)
def main(rounds: int, folder: str | None) -> None:
    """Measure ways to ship one binary; run 'make binary' first."""
    if not SITE.is_dir():
        raise click.UsageError(f"{SITE} is not there; run 'make binary'")
    with tempfile.TemporaryDirectory(dir=folder) as name:
        work = pathlib.Path(name)
        site = work / "site"
        shutil.copytree(SITE, site)
        click.echo(f"{'way':24}  packed  unpacked  first start  later start")
        for way in build_ways(site, work):
            figures = measure(way, work / "root", rounds)
            click.echo(
                f"{way.name:24} "
                f"{figures.packed_size / MEGABYTE:4.1f} MB "
                f"{figures.unpacked_size / MEGABYTE:6.1f} MB "
                f"{figures.first_start:10.2f} s "
                f"{figures.later_start:10.2f} s"
            )
