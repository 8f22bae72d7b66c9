"""A small deployment on loopback: machines, store, instances, requesters."""

import asyncio
import collections
import contextlib
import itertools
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

from common3 import http1
from common3 import stand_ins

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "front.example"
LIMIT = 110.0  # seconds that a case may take
START_TIMEOUT = 30.0  # seconds until a machine is ready
PORT_NAMES = ("front", "ready", "directory", "control", "internal")
BOUNDS = {
    "drain_ms": 2000,
    "grace_s": 6,
    "config_apply_ms": 2000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_budget_slack": 56,
    "floor_share": 0.7,
}
Outcome = collections.namedtuple("Outcome", "id vm sent ended status answer")


class CannotRunError(Exception):
    """The case can't be run here."""


def is_troubled():
    """Return whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what is sent, answered and run; times are in seconds."""

    def __init__(self, path):
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self):
        """Return the time since the start of the case."""
        return time.monotonic() - self._began

    def add(self, kind, **fields):
        """Write a line."""
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self._file.write(f"{self.now():8.3f} {kind} {text}\n")

    def say(self, text):
        """Write a line that is shown as well."""
        print(text)
        self.add("note", text=text)

    def close(self):
        """Close the file."""
        self._file.close()


def render(template, fields):
    """Fill in the settings' template as the platform does."""

    def look_up(name):
        value = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            else:
                value = value.get(part)
            if value is None:
                return None
        return value

    def expand(match):
        return match.group(2) if look_up(match.group(1)) else ""

    def show(match):
        value = look_up(match.group(1))
        if isinstance(value, list):
            return ",".join(map(str, value))
        return "" if value is None else str(value)

    section = re.compile(r"\{\{#([^}]*)\}\}\n?(.*?)\{\{/\1\}\}\n?", re.DOTALL)
    return re.sub(r"\{\{([^}]*)\}\}", show, section.sub(expand, template))


class Machine:
    """A machine of the system and its process."""

    def __init__(self, deployment, number, zone, folder):
        self._record = deployment.record
        self._settings = folder / f"{number}.ini"
        self._log = folder / f"{number}.log"
        self._process = None
        self.name = f"edge-{zone}-{number}"
        self.zone = zone
        self.ip = f"{deployment.network}.{number}"
        self._ports = deployment.ports

    @property
    def front(self):
        """Return the address for requesters."""
        return self.ip, self._ports["front"]

    @property
    def ready(self):
        """Return the address for readiness."""
        return self.ip, self._ports["ready"]

    @property
    def is_running(self):
        """Return whether its process runs."""
        return self._process is not None and self._process.poll() is None

    def write_settings(self, store, seeds, bounds):
        """Write the settings file from the role's template."""
        ports = self._ports
        fields = {
            "node_name": self.name,
            "zone": self.zone,
            "ip": self.ip,
            "limits": {
                "cpu_share": 0.86,
                "link_mbps": 1000,
                "memory_mb": 300,
                "max_fds": 4100,
            },
            "platform": {"address": store},
            "listen": {
                name: f"{self.ip}:{ports[name]}" for name in PORT_NAMES[:4]
            },
            "internal_port_range": [ports["internal"]],
            "seeds": seeds,
            "bounds": bounds,
        }
        template = (ROOT / "deploy/entry.ini").read_text()
        self._settings.write_text(render(template, fields))

    def start(self):
        """Start the role's program, as the deploy file says."""
        names = ("PATH", "HOME", "LANG")
        environment = {
            name: os.environ[name] for name in names if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PRIMROSEMILL_SETTINGS"] = str(self._settings)
        self._record.add("starts", vm=self.name)
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                ["python3", "-m", "primrosemill.cli", "entry"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def kill(self):
        """Kill its process, as a loss of power would."""
        if self.is_running:
            self._record.add("killed", vm=self.name)
            self._process.send_signal(signal.SIGKILL)
            self._process.wait()


class Deployment:
    """The machines of a small deployment and their stand-ins."""

    def __init__(self, record):
        self.record = record
        self._folder = pathlib.Path(tempfile.mkdtemp())
        self.network = (
            f"127.{random.randint(64, 250)}.{random.randint(1, 250)}"
        )
        self.ports = find_ports(f"{self.network}.1")
        self.store = stand_ins.Store(record)
        self.machines = []
        self.instances = []
        self._numbers = itertools.count(1)
        self._version = 0

    async def add_machines(self, count, zones, seed_count=3, **bounds):
        """Add machines; the first ones are the seeds of all."""
        control = self.ports["control"]
        seeds = [
            f"{self.network}.{n + 1}:{control}" for n in range(seed_count)
        ]
        for number in range(1, count + 1):
            zone = zones[(number - 1) % len(zones)]
            machine = Machine(self, number, zone, self._folder)
            store = await self.store.open(machine.name)
            machine.write_settings(store, seeds, {**BOUNDS, **bounds})
            self.machines.append(machine)

    async def add_instance(self, service, zone, slots=50, work=0.02):
        """Add an instance."""
        instance = stand_ins.Instance(
            self.store, self.record, service, zone, slots, work
        )
        self.instances.append(instance)
        await instance.start(f"{self.network}.{150 + len(self.instances)}")
        return instance

    def publish(self, routes, services, tenants=None):
        """Write a configuration; the return is the acknowledgement."""
        self._version += random.randint(1, 5)
        configuration = {
            "version": self._version,
            "routes": routes,
            "services": [
                {
                    "name": name,
                    "health_path": "/health",
                    "max_connections": 330,
                }
                for name in services
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 5000,
                "idle_timeout_ms": 15000,
            },
        }
        if tenants is not None:
            configuration["tenants"] = tenants
        self.store.put("op/config", configuration)
        return self.record.now()

    async def wait_until_ready(self, machines):
        """Wait until machines are ready and take requesters."""
        end = time.monotonic() + START_TIMEOUT
        for machine in machines:
            while not await self._is_ready(machine):
                if time.monotonic() > end or not machine.is_running:
                    raise CannotRunError(f"{machine.name} is not ready")
                await asyncio.sleep(0.05)

    async def _is_ready(self, machine):
        with contextlib.suppress(OSError, EOFError, ValueError):
            answer = await http1.call(machine.ready, "GET", "/-/readiness")
            if answer.status == 200:
                _, writer = await asyncio.open_connection(*machine.front)
                writer.close()
                return True
        return False

    async def request(
        self, machine, target, method="GET", limit=2.0, headers=(), body=b""
    ):
        """Send a request on a new connection and wait for its answer."""
        request_id = f"r{next(self._numbers):06d}"
        lines = [
            ("Host", HOST),
            ("Primrosemill-Request-Id", request_id),
            ("Primrosemill-Request-Deadline", int(limit * 1000)),
            *headers,
        ]
        sent = self.record.now()
        self.record.add("sent", id=request_id, vm=machine.name, target=target)
        answer = None
        try:
            answer = await asyncio.wait_for(
                http1.call(machine.front, method, target, lines, body), limit
            )
            status = answer.status
        except TimeoutError:
            status = "time-limit"
        except (OSError, EOFError, ValueError) as error:
            status = type(error).__name__
        ended = self.record.now()
        self.record.add("ended", id=request_id, status=status)
        return Outcome(request_id, machine.name, sent, ended, status, answer)

    def close(self):
        """End all processes, listeners and files."""
        for machine in self.machines:
            machine.kill()
        for instance in self.instances:
            instance.listener.cut()
        for listener in self.store.listeners:
            listener.cut()
        shutil.rmtree(self._folder, ignore_errors=True)


def route(name, prefix, service, kind="idempotent", timeout_ms=2000):
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "route_type": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": 600,
        "priority": 1,
        "max_attempts": 2,
        "service": service,
    }


def find_ports(ip):
    """Return ports that are free, the same ones for all machines."""
    while True:
        first = random.randint(20_000, 30_000)
        ports = range(first, first + len(PORT_NAMES))
        with contextlib.ExitStack() as stack:
            try:
                for port in ports:
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        sock = socket.socket(socket.AF_INET, kind)
                        stack.enter_context(sock)
                        sock.bind((ip, port))
            except OSError:
                continue
        return dict(zip(PORT_NAMES, ports, strict=True))


def run(play, folder):
    """Play a case; exit with 1 if its rule was broken, with 0 if it held."""
    record = Record(pathlib.Path(folder) / "record.txt")

    async def play_and_close():
        deployment = Deployment(record)
        try:
            return await asyncio.wait_for(play(deployment), LIMIT)
        finally:
            deployment.close()

    try:
        is_broken = asyncio.run(play_and_close())
    except (TimeoutError, CannotRunError, OSError) as error:
        record.say(f"the case could not run: {error!r}")
        sys.exit(2)
    finally:
        record.close()
    sys.exit(int(is_broken))
