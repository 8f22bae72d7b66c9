"""Shows the status of a running VM and its view of the fleet."""

import click
import msgspec

from primrosemill.cli import exits
from primrosemill.cli import tables
from primrosemill.cli import vm_client
from primrosemill.proxy import admin
from primrosemill.proxy import status

MEMBER_HEADERS = ("VM", "IP", "DOMAIN", "STATE", "VERSION")
INSTANCE_HEADERS = (
    "INSTANCE",
    "ADDRESS",
    "DOMAIN",
    "STATE",
    "SCORE",
    "SHARE",
    "WHY",
)
CAP_HEADERS = ("CUSTOMER", "RATE", "BURST", "HOLDER", "GRANTED HERE")
SUSPECT_HEADERS = (
    "FINGERPRINT",
    "STATE",
    "CRASHES",
    "PROBABILITY",
    "LAST CRASH",
    "TARGET",
)
DIGEST_PREFIX_LENGTH = 8  # hexadecimal digits


@click.command("status", epilog=exits.HELP)
@click.argument("address", type=vm_client.ADDRESS)
@click.option("--service", "name", help="Show this service only.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def command(address: str, name: str | None, as_json: bool) -> None:
    """Show what the VM with the admin port at ADDRESS knows.

    That is the version in force, the other VMs, and for each service its
    home VMs and its instances with their state, score and the reason.
    ADDRESS is an IP number with a port.
    """
    vm_status = vm_client.fetch_decoded(
        address, admin.STATUS_PATH, status.Status
    )
    if name is not None:
        vm_status["services"] = _select_service(vm_status, name)
    if as_json:
        click.echo(msgspec.json.encode(vm_status))
        return
    for line in format_status(vm_status):
        click.echo(line)


def _select_service(
    vm_status: status.Status, name: str
) -> list[status.ServiceStatus]:
    services = [
        service for service in vm_status["services"] if service["name"] == name
    ]
    if not services:
        exits.fail(exits.Status.BAD_INPUT, [f"UnknownService: name={name!r}"])
    return services


def format_status(vm_status: status.Status) -> list[str]:
    """Return a status as lines of text for a terminal."""
    configuration = vm_status["configuration"]
    lines = [
        f"VM {vm_status['vm_id']} of {vm_status['fleet']} "
        f"in {vm_status['domain']}: {vm_status['state']}, "
        f"{vm_status['requests_in_flight']} requests in flight",
        f"configuration: version {configuration['version']}, "
        f"digest {configuration['digest'][:DIGEST_PREFIX_LENGTH] or 'none'}",
    ]
    if vm_status["members"]:
        lines += ["", *_format_members(vm_status["members"])]
    for service in vm_status["services"]:
        lines += ["", *_format_service(service)]
    if vm_status["suspects"]:
        lines += [
            "",
            "requests that may crash instances:",
            *_format_suspects(vm_status["suspects"]),
        ]
    # A VM of an older build tells nothing of caps.
    if vm_status.get("caps"):
        lines += [
            "",
            "caps of customers with recent requests:",
            *_format_caps(vm_status["caps"]),
        ]
    return lines


def _format_members(members: list[status.MemberStatus]) -> list[str]:
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
    return tables.format_table(MEMBER_HEADERS, rows)


def _format_caps(caps: list[status.CapStatus]) -> list[str]:
    rows = [
        (
            cap["customer"],
            f"{cap['rate']:g}",
            f"{cap['burst']:g}",
            cap["holder"],
            f"{cap['fraction']:.0%}",
        )
        for cap in caps
    ]
    return tables.format_table(CAP_HEADERS, rows)


def _format_suspects(suspects: list[status.SuspectStatus]) -> list[str]:
    rows = [
        (
            suspect["fingerprint"],
            suspect["state"],
            str(suspect["crashes"]),
            f"{suspect['probability']:.1%}",
            f"{suspect['last_crash_age']:.0f} s ago",
            suspect["target"],
        )
        for suspect in suspects
    ]
    return tables.format_table(SUSPECT_HEADERS, rows)


def _format_service(service: status.ServiceStatus) -> list[str]:
    home_ids = ", ".join(service["homes"]) or "none"
    summary = (
        f"service {service['name']} revision {service['revision']}: "
        f"floor {service['floor']}, {service['waiting']} waiting, "
        f"homes {home_ids}"
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
    return [summary, *tables.format_table(INSTANCE_HEADERS, rows)]
