"""Releases a request that the fleet holds back."""

import urllib.parse

import click

from primrosemill.cli import exits
from primrosemill.cli import vm_client
from primrosemill.proxy import admin
from primrosemill.proxy import status


@click.command("release", epilog=exits.HELP)
@click.argument("address", type=vm_client.ADDRESS)
@click.argument("fingerprint")
def command(address: str, fingerprint: str) -> None:
    """Release the request with FINGERPRINT, as ``status`` shows it.

    The VM with the admin port at ADDRESS tells the others. The request may be
    sent again; if it crashes more instances, it is held again.
    """
    query = urllib.parse.urlencode({admin.FINGERPRINT: fingerprint})
    path = f"{admin.RELEASE_PATH}?{query}"
    response = vm_client.post(address, path)
    if response.status in (
        admin.STATUS_BAD_REQUEST,
        admin.STATUS_NOT_FOUND,
    ):
        fault = vm_client.decode(address, path, response, status.ReleaseFault)
        message = f"{address}: {fault['fault']}: value={fault['value']!r}"
        exits.fail(exits.Status.BAD_INPUT, [message])
    released = vm_client.decode_ok(address, path, response, str)
    click.echo(f"released {released}")
