"""Ends a command with a documented exit status and error messages."""

import enum
import typing

import click


class Status(enum.IntEnum):
    """Exit statuses of every command."""

    FINE = 0
    FAILURE = 1
    BAD_INPUT = 2


HELP = "Exit status: 0 fine, 1 failure, 2 bad input."


def fail(status: Status, lines: typing.Iterable[str]) -> typing.NoReturn:
    """Print lines on standard error and exit with a status."""
    for line in lines:
        click.echo(line, err=True)
    raise click.exceptions.Exit(status)
