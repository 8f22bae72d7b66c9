"""Lists the VMs of the fleet for callers and for the choice of home VMs.

The home VMs of a service are the VMs that callers should use for it.

All VMs of a fleet serve callers on the same port, so the address of a member
is its IP address with this VM's own caller port.
"""

from primrosemill.decisions import addresses
from primrosemill.decisions import home_vms
from primrosemill.fleet import members
from primrosemill.proxy import address_endpoint
from primrosemill.proxy import assignments
from primrosemill.proxy import peers

NON_HOME_STATES = (members.State.LEAVING, members.State.GONE)


class Directory:
    """Lists the possible home VMs and answers callers' queries."""

    def __init__(
        self,
        own_candidate: addresses.Candidate,
        fleet_peers: peers.Peers,
        assigned_homes: assignments.Assignments,
        lifetime: float,
    ) -> None:
        self.own_candidate = own_candidate
        self._peers = fleet_peers
        self._assignments = assigned_homes
        self._lifetime = lifetime
        self._caller_port = 0

    @property
    def leaving(self) -> bool:
        """Return whether this VM is leaving the fleet."""
        return self.own_candidate.leaving

    def set_caller_port(self, port: int) -> None:
        """Set the caller port, once it is bound."""
        self._caller_port = port
        ip = self.own_candidate.address.rpartition(":")[0]
        self.own_candidate = self.own_candidate._replace(
            address=f"{ip}:{port}"
        )

    def set_leaving(self) -> None:
        """Stop naming this VM in answers to callers."""
        self.own_candidate = self.own_candidate._replace(leaving=True)

    def home_candidates(self) -> list[home_vms.Vm]:
        """Return the VMs that may be home VMs."""
        vms = [] if self.leaving else [self.own_candidate.vm]
        for member in self._peers.present_members():
            if member.state not in NON_HOME_STATES:
                entry = member.entry
                vms.append(home_vms.Vm(entry.vm_id, entry.domain))
        return vms

    def find(
        self, question: address_endpoint.AddressQuery
    ) -> addresses.Answer | None:
        """Return the VMs for a caller, or None if the service is unknown."""
        if question.service not in self._peers.document.services_by_name:
            return None
        return addresses.answer(
            question.caller,
            question.domain or None,
            self._assignments.homes(question.service),
            self._candidates(),
            self._lifetime,
        )

    def _candidates(self) -> list[addresses.Candidate]:
        candidates = [self.own_candidate]
        for member in self._peers.present_members():
            entry = member.entry
            candidates.append(
                addresses.Candidate(
                    home_vms.Vm(entry.vm_id, entry.domain),
                    f"{entry.ip}:{self._caller_port}",
                    member.state is members.State.SUSPECT,
                    member.state in NON_HOME_STATES,
                )
            )
        return candidates
