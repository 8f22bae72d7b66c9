"""Shows the addresses that a VM tells a caller to use for a service."""

import urllib.parse

import click

from primrosemill.cli import exits
from primrosemill.cli import vm_client
from primrosemill.proxy import address_endpoint


@click.command("addresses", epilog=exits.HELP)
@click.argument("address", type=vm_client.ADDRESS)
@click.argument("service")
@click.option("--caller", default="", help="The caller's id.")
@click.option("--domain", default="", help="The caller's failure domain.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def command(
    address: str, service: str, caller: str, domain: str, as_json: bool
) -> None:
    """Show what a caller of SERVICE is told by the VM at ADDRESS.

    ADDRESS is the VM's port for callers, an IP number with a port. The
    addresses are printed in the order in which to try them.
    """
    question = address_endpoint.AddressQuery(service, caller, domain)
    path = (
        f"{address_endpoint.PATH}?{urllib.parse.urlencode(question._asdict())}"
    )
    response = vm_client.fetch(address, path)
    if response.status in (
        address_endpoint.STATUS_BAD_REQUEST,
        address_endpoint.STATUS_NOT_FOUND,
    ):
        fault = vm_client.decode(
            address, path, response, address_endpoint.AddressFault
        )
        message = f"{address}: {fault['fault']}: service={fault['service']!r}"
        exits.fail(exits.Status.BAD_INPUT, [message])
    answer = vm_client.decode_ok(
        address, path, response, address_endpoint.AddressAnswer
    )
    if as_json:
        click.echo(response.content)
        return
    for vm_address in answer["addresses"]:
        click.echo(vm_address)
    click.echo(f"to be kept for {answer['lifetime']:g} s", err=True)
