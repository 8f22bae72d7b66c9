"""Knows the VMs of the fleet as callers and home VMs need them.

All VMs of a fleet serve callers on the same port, so the address of a member
is its IP number with this VM's own caller port.
"""

from primrosemill.decisions import addresses
from primrosemill.decisions import homes
from primrosemill.fleet import members
from primrosemill.proxy import addresses as address_point
from primrosemill.proxy import assignments
from primrosemill.proxy import peers

NOT_HOMES = (members.State.LEAVING, members.State.GONE)


class Directory:
    """Lists the VMs that may be homes, and answers callers' questions."""

    def __init__(
        self,
        own: addresses.Candidate,
        fleet: peers.Peers,
        assigned: assignments.Assignments,
        lifetime: float,
    ) -> None:
        self.own = own
        self._fleet = fleet
        self._assigned = assigned
        self._lifetime = lifetime
        self._caller_port = 0

    @property
    def leaving(self) -> bool:
        """Tell whether this VM was asked to stop."""
        return self.own.leaving

    def set_caller_port(self, port: int) -> None:
        """Take the port that callers reach, once it is bound."""
        self._caller_port = port
        ip = self.own.address.rpartition(":")[0]
        self.own = self.own._replace(address=f"{ip}:{port}")

    def set_leaving(self) -> None:
        """Name this VM in no answer any more."""
        self.own = self.own._replace(leaving=True)

    def vms(self) -> list[homes.Vm]:
        """Return the VMs that may be homes."""
        found = [] if self.leaving else [self.own.vm]
        for member in self._fleet.present():
            if member.state not in NOT_HOMES:
                entry = member.entry
                found.append(homes.Vm(entry.vm_id, entry.domain))
        return found

    def find(
        self, question: address_point.Question
    ) -> addresses.Answer | None:
        """Return whom a caller should use, or None for no such service."""
        if question.service not in self._fleet.document.services_by_name:
            return None
        return addresses.answer(
            question.caller,
            question.domain or None,
            self._assigned.homes(question.service),
            self._candidates(),
            self._lifetime,
        )

    def _candidates(self) -> list[addresses.Candidate]:
        found = [self.own]
        for member in self._fleet.present():
            entry = member.entry
            found.append(
                addresses.Candidate(
                    homes.Vm(entry.vm_id, entry.domain),
                    f"{entry.ip}:{self._caller_port}",
                    member.state is members.State.SUSPECT,
                    member.state in NOT_HOMES,
                )
            )
        return found
