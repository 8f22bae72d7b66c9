"""Compares formats of a single-file program by size and start time.

Each format packs the folder that ``make binary`` fills. The program is started
once without and once with the files that the first start unpacks. Plain files
are the baseline.
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

SITE_FOLDER = pathlib.Path("build/site")
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


class Package(typing.NamedTuple):
    """The program in one format, and the command that starts it."""

    name: str
    command: tuple[str, ...]
    path: pathlib.Path


class Figures(typing.NamedTuple):
    """Costs of a format; times in seconds, sizes in bytes."""

    packed_size: int
    unpacked_size: int
    first_start: float
    later_start: float


def build_packages(site: pathlib.Path, folder: pathlib.Path) -> list[Package]:
    """Pack the program in every format."""
    packages = [_plain_files(site)]
    for flag in ("--compressed", "--uncompressed"):
        packages.append(_shiv(site, folder, flag))
    for flags in ((), ("--venv",)):
        packages.append(_pex(site, folder, flags))
    packages.append(_launcher(site, folder))
    return packages


def _plain_files(site: pathlib.Path) -> Package:
    program = (
        f"import sys; sys.path.insert(0, {str(site)!r}); "
        "from primrosemill.cli import main; main.main()"
    )
    return Package("plain files", (sys.executable, "-c", program), site)


def _shiv(site: pathlib.Path, folder: pathlib.Path, flag: str) -> Package:
    path = folder / f"shiv{flag}"
    subprocess.run(
        [sys.executable, "-m", "shiv", "--site-packages", site, flag]
        + ["--entry-point", ENTRY_POINT, "--output-file", path]
        + ["--python", sys.executable],
        check=True,
    )
    return Package(f"shiv {flag}", (str(path),), path)


def _pex(
    site: pathlib.Path, folder: pathlib.Path, flags: tuple[str, ...]
) -> Package:
    path = folder / f"pex{''.join(flags)}"
    subprocess.run(
        [sys.executable, "-m", "pex", "--sources-directory", site, *flags]
        + ["--entry-point", ENTRY_POINT, "--output-file", path]
        + ["--python-shebang", sys.executable],
        check=True,
        env=os.environ | {"PEX_ROOT": str(folder / "pex-build")},
    )
    return Package(" ".join(("pex", *flags)), (str(path),), path)


def _launcher(site: pathlib.Path, folder: pathlib.Path) -> Package:
    copy = folder / "launcher-files"
    shutil.copytree(site, copy)
    compileall.compile_dir(
        copy,
        quiet=1,
        invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
    )
    (copy / "__main__.py").write_text(LAUNCHER)
    path = folder / "launcher"
    zipapp.create_archive(
        copy, path, interpreter=sys.executable, compressed=True
    )
    return Package("launcher with bytecode", (str(path),), path)


def measure(package: Package, root: pathlib.Path, rounds: int) -> Figures:
    """Start a package in an empty folder and once more, for some rounds.

    ``root`` is the folder to which the program unpacks itself.
    """
    environment = os.environ | dict.fromkeys(ROOT_VARIABLES, str(root))
    # Later starts are faster only if the first may write bytecode.
    environment.pop("PYTHONDONTWRITEBYTECODE", None)
    first_starts = []
    later_starts = []
    for _ in range(rounds):
        shutil.rmtree(root, ignore_errors=True)
        root.mkdir()
        first_starts.append(_time_start(package, environment))
        later_starts.append(_time_start(package, environment))
    unpacked_size = _size(root)
    shutil.rmtree(root)
    return Figures(
        _size(package.path),
        unpacked_size,
        statistics.median(first_starts),
        statistics.median(later_starts),
    )


def _time_start(package: Package, environment: dict[str, str]) -> float:
    started = time.perf_counter()
    subprocess.run(
        [*package.command, "version"],
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
    """Compare formats of a single-file program; run 'make binary' first."""
    if not SITE_FOLDER.is_dir():
        raise click.UsageError(
            f"{SITE_FOLDER} does not exist; run 'make binary'"
        )
    with tempfile.TemporaryDirectory(dir=folder) as name:
        work_folder = pathlib.Path(name)
        site = work_folder / "site"
        shutil.copytree(SITE_FOLDER, site)
        click.echo(f"{'way':24}  packed  unpacked  first start  later start")
        for package in build_packages(site, work_folder):
            figures = measure(package, work_folder / "root", rounds)
            click.echo(
                f"{package.name:24} "
                f"{figures.packed_size / MEGABYTE:4.1f} MB "
                f"{figures.unpacked_size / MEGABYTE:6.1f} MB "
                f"{figures.first_start:10.2f} s "
                f"{figures.later_start:10.2f} s"
            )
