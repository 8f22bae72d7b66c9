"""Creates the command with which an operator's script prints a plan."""

import functools
import pathlib
import sys
import typing

import click

from primrosemill.configuration import assembly
from primrosemill.configuration import faults as document_faults
from primrosemill.configuration import files
from primrosemill.publish import publication

BAD_INPUT_STATUS = 2


def run(plan: publication.Plan) -> None:
    """Run the command of a plan; call this at the end of a script."""
    command(plan).main()


def command(plan: publication.Plan) -> click.Command:
    """Return a command that prints the document of a plan."""
    return click.Command(
        "publish",
        callback=functools.partial(_print_document, plan),
        params=[
            click.Option(
                ["--published"],
                type=click.Path(
                    path_type=pathlib.Path, exists=True, dir_okay=False
                ),
                help="File of the version in the store; its parts are kept.",
            ),
            click.Option(
                ["--changes"],
                is_flag=True,
                help="Print only the values that the store does not have.",
            ),
        ],
        help=(
            "Print the next version, one key, tab and JSON value a line. "
            "Publish the lines in their order; the index comes last."
        ),
    )


def _print_document(
    plan: publication.Plan, published: pathlib.Path | None, changes: bool
) -> None:
    assembled = None if published is None else _read_published(published)
    result = publication.prepare(plan, assembled)
    if result.is_error():
        _stop(result.error)
    values_by_key = result.ok.values_by_key
    if changes:
        values_by_key = result.ok.changed_by_key
    stream = click.get_binary_stream("stdout")
    stream.write(files.encode(values_by_key))
    count = len(result.ok.changed_by_key)
    click.echo(
        f"version {result.ok.version}: {count} values to publish", err=True
    )


def _read_published(path: pathlib.Path) -> assembly.AssembledVersion:
    content = files.decode(path.read_bytes())
    if content.is_error():
        _stop(content.error)
    result = publication.read_published(content.ok.values_by_key)
    if result.is_error():
        _stop(result.error)
    return result.ok


def _stop(faults: typing.Iterable[typing.Any]) -> typing.NoReturn:
    for fault in faults:
        click.echo(document_faults.describe(fault), err=True)
    sys.exit(BAD_INPUT_STATUS)
