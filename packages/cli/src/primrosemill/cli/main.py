"""Defines the primrosemill command, one object for each subcommand."""

from importlib import metadata

import click


@click.group()
def main() -> None:
    """Run and inspect a primrosemill proxy fleet."""


@main.command()
def version() -> None:
    """Print the version of this program."""
    click.echo(metadata.version("primrosemill-cli"))
