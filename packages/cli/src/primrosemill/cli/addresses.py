"""Shows which addresses a caller is told to use."""

import urllib.parse

import click

from primrosemill.cli import exits
from primrosemill.cli import vms
from primrosemill.proxy import address_endpoint


@click.command("addresses", epilog=exits.HELP)
@click.argument("address", type=vms.ADDRESS)
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
    question = address_endpoint.Question(service, caller, domain)
    path = (
        f"{address_endpoint.PATH}?{urllib.parse.urlencode(question._asdict())}"
    )
    answer = vms.ask(address, path)
    if answer.status in (
        address_endpoint.STATUS_BAD_REQUEST,
        address_endpoint.STATUS_NOT_FOUND,
    ):
        fault = vms.decode(
            address, path, answer, address_endpoint.AddressFault
        )
        line = f"{address}: {fault['fault']}: service={fault['service']!r}"
        exits.stop(exits.Status.BAD_INPUT, [line])
    found = vms.expect(address, path, answer, address_endpoint.AddressAnswer)
    if as_json:
        click.echo(answer.content)
        return
    for each in found["addresses"]:
        click.echo(each)
    click.echo(f"to be kept for {found['lifetime']:g} s", err=True)
