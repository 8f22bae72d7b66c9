"""Reads the settings of an entry VM that discovers its instances."""

import pathlib
import typing

import expression

from primrosemill.configuration import checks
from primrosemill.decisions import vm_capacity
from primrosemill.proxy import settings as proxy_settings
from primrosemill.proxy import settings_faults as faults
from primrosemill.proxy import settings_schema as schema


class EntrySettings(typing.NamedTuple):
    """Settings that an entry VM needs before it can read the feed.

    Times are in seconds. ``processor`` is the share of a core that the
    process gets, ``link`` the bandwidth in megabits a second, ``memory`` the
    megabytes and ``descriptors`` the file descriptors that it may use; each
    is 0 if unknown. ``withdrawal_ms`` is the time in milliseconds after which
    no request with a withdrawn key may run; 0 sets no bound. In any
    ``cap_window`` seconds, a customer may run ``cap_overshoot`` more than its
    cap allows, as a share of it, and ``cap_slack`` requests besides.
    """

    fleet: str
    vm_id: str
    domain: str
    feed_address: str
    caller_address: str
    ready_address: str
    directory_address: str
    peer_address: str
    admin_address: str
    first_peers: tuple[str, ...] = ()
    peer_key: bytes = b""
    answer_lifetime: float = 1.0
    stop_seconds: float = 6.0
    floor_share: float = 0.7
    crossing_cost: float = 0.15
    cross_domain: int = 1
    retry_share: float = 0.2
    retry_slack: float = 0.0
    retry_window: float = 0.0
    processor: float = 0.0
    link: float = 0.0
    memory: float = 0.0
    descriptors: int = 0
    withdrawal_ms: float = 0.0
    cap_window: float = 5.0
    cap_overshoot: float = 0.25
    cap_slack: float = 20.0

    @property
    def capacity_rps(self) -> int:
        """Return the requests per second that the VM can serve."""
        return vm_capacity.requests_per_second(self.processor, self.link)

    def vm_settings(self) -> proxy_settings.Settings:
        """Return the settings as used by :mod:`primrosemill.proxy.peers`."""
        ip, caller_port = checks.split_address(self.caller_address)
        return proxy_settings.Settings(
            self.fleet,
            self.vm_id,
            ip,
            self.domain,
            self.feed_address,
            caller_port,
            checks.split_address(self.admin_address)[1],
            checks.split_address(self.peer_address)[1],
            self.first_peers,
            self.peer_key,
            stop_seconds=self.stop_seconds,
            capacity_rps=self.capacity_rps,
        )


Result = expression.Result[EntrySettings, tuple[faults.Fault, ...]]


def _address_key(name: str, field: str, meaning: str) -> schema.Key:
    return schema.Key("listen", name, field, schema.Address(), None, meaning)


KEYS = (
    *(key for key in schema.KEYS if key.field in ("fleet", "vm_id", "domain")),
    schema.Key(
        "vm",
        "processor",
        "processor",
        schema.Number(0.0, 1_000.0),
        "0",
        "The share of one processor core that the process gets; 0: unknown.",
    ),
    schema.Key(
        "vm",
        "link",
        "link",
        schema.Number(0.0, 1_000_000.0),
        "0",
        "What the VM's network link carries, in megabits a second; 0: "
        "unknown.",
    ),
    schema.Key(
        "vm",
        "memory",
        "memory",
        schema.Number(0.0, 1_000_000.0),
        "0",
        "The megabytes of memory that the process may use; 0: unknown.",
    ),
    schema.Key(
        "vm",
        "descriptors",
        "descriptors",
        schema.WholeNumber(0, 10_000_000),
        "0",
        "The file descriptors that the process may use; 0: unknown.",
    ),
    schema.Key(
        "feed",
        "address",
        "feed_address",
        schema.Address(),
        None,
        "Where instances and routes are published.",
    ),
    _address_key("callers", "caller_address", "Where callers send requests."),
    _address_key("ready", "ready_address", "Where readiness is told."),
    _address_key(
        "directory",
        "directory_address",
        "Where callers ask which VMs to use.",
    ),
    _address_key(
        "peers", "peer_address", "Where other VMs of the fleet send."
    ),
    _address_key("admin", "admin_address", "Health, metrics and status."),
    *(key for key in schema.KEYS if key.section == "peers"),
    schema.Key(
        "limits",
        "answer_seconds",
        "answer_lifetime",
        schema.Seconds(0.1, 60.0),
        "1",
        "How long callers may keep an answer of the directory.",
    ),
    schema.Key(
        "limits",
        "stop_seconds",
        "stop_seconds",
        schema.Seconds(1.0, 3_600.0),
        "6",
        "How long after SIGTERM the process may still run.",
    ),
    schema.Key(
        "limits",
        "floor_share",
        "floor_share",
        schema.Number(0.0, 1.0),
        "0.7",
        "The share of a service's instances that stays in use.",
    ),
    schema.Key(
        "choice",
        "crossing_cost",
        "crossing_cost",
        schema.Number(0.0, 1.0),
        "0.15",
        "What a request that crosses failure domains costs, in lost requests: "
        "it stays at home while the chance there is no more than this lower.",
    ),
    schema.Key(
        "choice",
        "cross_domain",
        "cross_domain",
        schema.WholeNumber(0, 1),
        "1",
        "1: VMs tell each other which failure domains have room while one is "
        "short, and cross to those only; 0: each decides by what it sees.",
    ),
    schema.Key(
        "retries",
        "share",
        "retry_share",
        schema.Number(0.0, 10.0),
        "0.2",
        "Attempts beyond the first, as a share of requests over the fleet.",
    ),
    schema.Key(
        "retries",
        "slack",
        "retry_slack",
        schema.Number(0.0, 1_000_000.0),
        "0",
        "Attempts beside the share in any window, over the fleet.",
    ),
    schema.Key(
        "retries",
        "window",
        "retry_window",
        schema.Number(0.0, 3_600.0),
        "0",
        "The seconds in which attempts and requests are counted; 0: all time.",
    ),
    schema.Key(
        "customers",
        "withdrawal_ms",
        "withdrawal_ms",
        schema.Number(0.0, 3_600_000.0),
        "0",
        "Milliseconds after which no request with a withdrawn key may run on "
        "any VM; 0: as soon as the VM learns of it.",
    ),
    schema.Key(
        "customers",
        "cap_window",
        "cap_window",
        schema.Seconds(0.1, 3_600.0),
        "5",
        "The time in which a customer's requests are counted for its cap.",
    ),
    schema.Key(
        "customers",
        "cap_overshoot",
        "cap_overshoot",
        schema.Number(0.0, 100.0),
        "0.25",
        "What may run in that time beyond a cap, as a share of it.",
    ),
    schema.Key(
        "customers",
        "cap_slack",
        "cap_slack",
        schema.Number(0.0, 1_000_000.0),
        "20",
        "Requests that may run in that time beyond a cap besides the share.",
    ),
)


def parse(text: str, file_name: str) -> Result:
    """Return the settings in a text, or all of its faults."""
    return proxy_settings.parse_keys(text, file_name, KEYS).map(
        lambda values_by_field: EntrySettings(**values_by_field)
    )


def read(path: pathlib.Path) -> Result:
    """Return the settings in a file, or all of its faults."""
    return proxy_settings.read_text(path).bind(
        lambda text: parse(text, str(path))
    )
