"""Shows what a running VM knows."""

import click
import msgspec

from primrosemill.cli import exits
from primrosemill.cli import tables
from primrosemill.cli import vms
from primrosemill.proxy import admin
from primrosemill.proxy import status

MEMBER_HEADS = ("VM", "IP", "DOMAIN", "STATE", "VERSION")
INSTANCE_HEADS = (
    "INSTANCE",
    "ADDRESS",
    "DOMAIN",
    "STATE",
    "SCORE",
    "SHARE",
    "WHY",
)
DIGEST_SHOWN = 8  # digits


@click.command("status", epilog=exits.HELP)
@click.argument("address", type=vms.ADDRESS)
@click.option("--service", "name", help="Show this service only.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def command(address: str, name: str | None, as_json: bool) -> None:
    """Show what the VM with the admin port at ADDRESS knows.

    That is the version in force, the other VMs, and for each service its
    home VMs and its instances with their state, score and the reason.
    ADDRESS is an IP number with a port.
    """
    found = vms.ask_for(address, admin.STATUS_PATH, status.Status)
    if name is not None:
        found["services"] = _only(found, name)
    if as_json:
        click.echo(msgspec.json.encode(found))
        return
    for line in describe(found):
        click.echo(line)


def _only(found: status.Status, name: str) -> list[status.ServiceStatus]:
    services = [each for each in found["services"] if each["name"] == name]
    if not services:
        exits.stop(exits.Status.BAD_INPUT, [f"UnknownService: name={name!r}"])
    return services


def describe(found: status.Status) -> list[str]:
    """Return the lines that people read."""
    configuration = found["configuration"]
    lines = [
        f"VM {found['vm_id']} of {found['fleet']} in {found['domain']}: "
        f"{found['state']}, {found['requests_in_flight']} requests in flight",
        f"configuration: version {configuration['version']}, "
        f"digest {configuration['digest'][:DIGEST_SHOWN] or 'none'}",
    ]
    if found["members"]:
        lines += ["", *_describe_members(found["members"])]
    for service in found["services"]:
        lines += ["", *_describe_service(service)]
    return lines


def _describe_members(members: list[status.MemberStatus]) -> list[str]:
    rows = [
        (
            member["id"],
            member["ip"],
            member["domain"],
            member["state"],
            str(member["version"]),
        )
        for member in members
    ]
    return tables.lay_out(MEMBER_HEADS, rows)


def _describe_service(service: status.ServiceStatus) -> list[str]:
    homes = ", ".join(service["homes"]) or "none"
    head = (
        f"service {service['name']} revision {service['revision']}: "
        f"floor {service['floor']}, {service['waiting']} waiting, "
        f"homes {homes}"
    )
    rows = [
        (
            instance["id"],
            instance["address"],
            instance["domain"],
            instance["state"],
            f"{instance['score']:.1f}",
            f"{instance['share']:.0%}",
            instance["reason"],
        )
        for instance in service["instances"]
    ]
    return [head, *tables.lay_out(INSTANCE_HEADS, rows)]
