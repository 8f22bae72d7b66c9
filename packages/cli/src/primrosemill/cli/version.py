"""Prints the version of the program."""

from importlib import metadata

import click

from primrosemill.cli import exits


@click.command("version", epilog=exits.HELP)
def command() -> None:
    """Print the version of this program."""
    click.echo(metadata.version("primrosemill-cli"))
