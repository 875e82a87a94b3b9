"""The settings file of a process, read from TOML and checked.

``parse_settings`` never raises: it returns Settings, or a list of findings, one line each.
"""

import socket
import tomllib
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

from msgspec import Struct
from msgspec.structs import asdict

from mesh.replication.quorum import Tolerance

Address = tuple[str, int]

MAX_FILE_CHARACTERS = 1 << 20
"""Parsing time grows with the file's length."""
MAX_ENTRIES = 10_000
"""In one list or table."""
_MAX_NUMBER = 1e15
_MAX_SHOWN_CHARACTERS = 60
_MAX_LINE_CHARACTERS = 300

# Fields of the file that the mesh does not use; they are not reported as unknown.
_UNUSED = frozenset({"observer", "ingress", "mode", "grants"})


class InvalidSettings(Struct, frozen=True):
    """The file cannot be used. A finding is one line: the field, the mistake, the remedy."""

    findings: tuple[str, ...]


class Ports(Struct, frozen=True):
    """Addresses that the role serves; None for those that it does not serve."""

    inbound: Address | None
    outbound: Address | None
    readiness: Address | None
    control: Address | None


class MachineLimits(Struct, frozen=True):
    """The machine's limits: cpu_share of a core that runs ``cores`` times as fast, memory and disk in MB,
    file descriptors, and the link in Mbit/s."""

    cpu_share: float
    cores: float
    memory_mb: float
    file_handles: int
    link_mbps: float
    disk_mb: float


class Bounds(Struct, frozen=True):
    """Time bounds and retry limits, in the unit that ends the name; the defaults apply where the file has no
    value."""

    seed_delay_s: float = 3
    reuse_delay_s: float = 2
    contact_ms: float = 3000
    ack_ms: float = 4000
    convergence_s: float = 4
    drain_ms: float = 2000
    grace_s: float = 6
    loss_slack_ms: float = 200
    settle_ms: float = 2000
    revert_slack_ms: float = 250
    stretch_max_ms: float = 5000
    retry_ratio: float = 0.2
    retry_window_s: float = 10
    retry_slack: float = 62
    recovery_s: float = 15
    hold_max_ms: float = 10000
    thaw_slack_ms: float = 300


_DEFAULTS: dict[str, float] = asdict(Bounds())


class Settings(Struct, frozen=True):
    """The settings of a process. ``state_dir`` is "" if the machine has no disk; ``upstream`` is None if the
    machine has none; ``unknown`` names the fields of the file that this program does not know."""

    node: str
    role: str
    machine_class: str
    serves: tuple[str, ...]
    ip: str
    zone: str
    region: str
    port_range: tuple[int, int]
    seeds: tuple[Address, ...]
    cold_boot: bool
    counted: bool
    state_dir: str
    beat_period_ms: float
    upstream: Address | None
    plant: str
    zones: Mapping[str, str]
    ports: Ports
    limits: MachineLimits
    tolerance: Tolerance
    bounds: Bounds
    invariants: tuple[str, ...]
    unknown: tuple[str, ...]


def parse_settings(text: str) -> Settings | InvalidSettings:
    """Parses the text of the file. Defaults of missing fields: cold_boot and counted are false, state_dir and
    plant are "", serves and invariants are empty, beat_period_ms is 1,500, bounds have their own; any other
    missing field is a finding. Roles that serve "auxiliary" need upstream, outbound, inbound and readiness;
    those that serve "supervisor" need control."""
    if len(text) > MAX_FILE_CHARACTERS:
        return InvalidSettings(
            (f"file: {len(text)} characters, at most {MAX_FILE_CHARACTERS} are read; shorten the file",)
        )
    try:
        tables = tomllib.loads(text)
    except (ValueError, RecursionError) as error:  # a number with too many digits raises a plain ValueError
        return InvalidSettings((f"file: no TOML ({_single_line(str(error))}); write the file anew",))
    file = _Table(tables, "", [])
    settings = _read_settings(file)
    return InvalidSettings(tuple(file.findings)) if file.findings else settings


def _read_settings(file: "_Table") -> Settings:
    zones, ports, limits = (
        file.table("zones"),
        file.table("ports", required=False),
        file.table("input_limits"),
    )
    disturbance, envelope = file.table("disturbance"), file.table("envelope", required=False)
    settings = Settings(
        node=file.text("node"),
        role=file.text("role"),
        machine_class=file.text("machine_class"),
        serves=file.texts("serves"),
        ip=file.ip("ip"),
        zone=file.text("zone"),
        region=file.text("region"),
        port_range=file.port_range("port_range"),
        seeds=file.addresses("seeds"),
        cold_boot=file.boolean("cold_boot"),
        counted=file.boolean("counted"),
        state_dir=file.text("state_dir", ""),
        beat_period_ms=file.number("beat_period_ms", default=1500, above=0),
        upstream=file.address("upstream"),
        plant=file.text("plant", ""),
        zones=MappingProxyType({zone: zones.text(zone) for zone in zones.values}),
        ports=Ports(**{name: ports.address(name) for name in Ports.__struct_fields__}),
        limits=MachineLimits(
            cpu_share=limits.number("cpu_share", above=0),
            cores=limits.number("cores", above=0),
            memory_mb=limits.number("memory_mb", above=0),
            file_handles=limits.whole_number("file_handles"),
            link_mbps=limits.number("link_mbps", above=0),
            disk_mb=limits.number("disk_mb"),
        ),
        tolerance=Tolerance(**{name: disturbance.whole_number(name) for name in Tolerance.__struct_fields__}),
        bounds=Bounds(**{name: envelope.number(name, value) for name, value in _DEFAULTS.items()}),
        invariants=file.texts("invariants"),
        unknown=_unknown_names(file.values),
    )
    if not file.findings:
        _check_consistency(settings, file)
    return settings


def _check_consistency(settings: Settings, file: "_Table") -> None:
    """Checks fields against each other. Called once each is valid, so that a mistake is reported once."""
    region = settings.zones.get(settings.zone)
    if region != settings.region:
        file.add_finding(
            "zones",
            f"has {settings.zone!r} in {region!r}, region says {settings.region!r}",
            "make them agree",
        )
    required_ports = {
        "auxiliary": ("inbound", "outbound", "readiness"),
        "supervisor": ("control",),
    }
    for service in settings.serves:
        for port in required_ports.get(service, ()):
            if getattr(settings.ports, port) is None:
                file.add_finding(
                    f"ports.{port}", f"missing, and the role serves {service!r}", "give its ip:port"
                )
    if "auxiliary" in settings.serves and settings.upstream is None:
        file.add_finding("upstream", "missing, and the role serves 'auxiliary'", "give its ip:port")


def _unknown_names(values: Mapping[str, Any]) -> tuple[str, ...]:
    tables = {"ports": Ports, "input_limits": MachineLimits, "disturbance": Tolerance, "envelope": Bounds}
    known = set(Settings.__struct_fields__) - {"limits", "tolerance", "bounds", "unknown"}
    found = [name for name in values if name not in known and name not in tables and name not in _UNUSED]
    for table, part in tables.items():
        inner = values.get(table)
        if isinstance(inner, dict):
            found += [f"{table}.{name}" for name in inner if name not in part.__struct_fields__]
    return tuple(_single_line(name) for name in found)


class _Table:
    """A table of the file with the findings about it. Each getter returns a value of its type; where the file
    has no valid one, it adds a finding and returns a placeholder."""

    def __init__(self, values: Mapping[str, Any], name: str, findings: list[str]) -> None:
        self.values = values
        self.findings = findings
        self._name = name

    def add_finding(self, field: str, mistake: str, remedy: str) -> None:
        path = f"{self._name}.{field}" if self._name else field
        self.findings.append(_single_line(f"{path}: {mistake}; {remedy}"))

    def table(self, field: str, required: bool = True) -> "_Table":
        value = self.values.get(field)
        if value is None and not required:
            value = {}
        if not isinstance(value, dict):
            self.add_finding(
                field, "missing" if value is None else f"is {_format_value(value)}", f"write [{field}]"
            )
            # Its fields are missing too; one finding is enough.
            return _Table({}, field, [])
        if len(value) > MAX_ENTRIES:
            self.add_finding(field, f"{len(value)} entries", f"write at most {MAX_ENTRIES}")
        return _Table(value, field, self.findings)

    def text(self, field: str, default: str | None = None) -> str:
        value = self.values.get(field, default)
        if isinstance(value, str) and (value or default is not None):
            return value
        self._add_value_finding(field, value, "write a text that is not empty")
        return ""

    def texts(self, field: str) -> tuple[str, ...]:
        value = self.values.get(field, [])
        if (
            isinstance(value, list)
            and len(value) <= MAX_ENTRIES
            and all(isinstance(one, str) for one in value)
        ):
            return tuple(value)
        self._add_value_finding(field, value, f"write a list of at most {MAX_ENTRIES} texts")
        return ()

    def boolean(self, field: str) -> bool:
        value = self.values.get(field, False)
        if isinstance(value, bool):
            return value
        self._add_value_finding(field, value, "write true or false")
        return False

    def number(self, field: str, default: float | None = None, above: float | None = None) -> float:
        value = self.values.get(field, default)
        number = _number(value)
        if number is not None and (number >= 0 if above is None else number > above):
            return number
        self._add_value_finding(
            field, value, "write a number " + ("of 0 or more" if above is None else f"above {above}")
        )
        return 1.0

    def whole_number(self, field: str) -> int:
        value = self.values.get(field)
        number = _number(value)
        if number is not None and number >= 0 and number == int(number):
            return int(number)
        self._add_value_finding(field, value, "write a whole number of 0 or more")
        return 0

    def ip(self, field: str) -> str:
        value = self.values.get(field)
        if isinstance(value, str) and _is_ip(value):
            return value
        self._add_value_finding(field, value, "write an address like 10.1.0.35")
        return ""

    def address(self, field: str) -> Address | None:
        """The address, or None if the field is missing."""
        value = self.values.get(field)
        if value is None:
            return None
        found = parse_address(value)
        if found is None:
            self._add_value_finding(field, value, "write ip:port like 10.1.0.35:8146")
        return found

    def addresses(self, field: str) -> tuple[Address, ...]:
        value = self.values.get(field)
        if not isinstance(value, list) or len(value) > MAX_ENTRIES:
            self._add_value_finding(field, value, f"write a list of at most {MAX_ENTRIES} ip:port")
            return ()
        found = [(one, parse_address(one)) for one in value]
        for one, parsed in found:
            if parsed is None:
                self._add_value_finding(field, one, "write ip:port like 10.1.0.35:8146")
        return tuple(parsed for _, parsed in found if parsed is not None)

    def port_range(self, field: str) -> tuple[int, int]:
        value = self.values.get(field)
        if isinstance(value, list) and len(value) == 2:
            first, last = _number(value[0]), _number(value[1])
            if first is not None and last is not None and first == int(first) and last == int(last):
                if 1 <= first <= last <= 65535:
                    return int(first), int(last)
        self._add_value_finding(field, value, "write two ports from 1 to 65535, the lower one first")
        return 1, 1

    def _add_value_finding(self, field: str, value: object, remedy: str) -> None:
        self.add_finding(field, "missing" if value is None else f"is {_format_value(value)}", remedy)


def parse_address(value: object) -> Address | None:
    """Parses ``ip:port`` as (ip, port); None if the value is not of that form, or the port is not within
    1 to 65535."""
    if not isinstance(value, str):
        return None
    ip, _, port = value.rpartition(":")
    if not (
        _is_ip(ip) and port.isascii() and port.isdecimal() and len(port) <= 5 and 1 <= int(port) <= 65535
    ):
        return None
    return ip, int(port)


def _is_ip(text: str) -> bool:
    try:
        socket.inet_pton(socket.AF_INET, text)
    except (OSError, ValueError):  # ValueError: characters that cannot be in an address
        return False
    return True


def _number(value: object) -> float | None:
    """The value unchanged if it is an int or float, finite and below 1e15 in magnitude; else None, as for
    booleans."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    return value if abs(value) < _MAX_NUMBER else None  # false for NaN; exact for any int


def _format_value(value: object) -> str:
    """Formats a value of the file in few characters. Only strings and plain values are printed: a number may
    have too many digits to convert, and lists may be nested too deeply to walk."""
    if isinstance(value, str):
        return repr(value[:_MAX_SHOWN_CHARACTERS])
    if isinstance(value, bool | float):
        return str(value).lower()
    if isinstance(value, int) and abs(value) < _MAX_NUMBER:
        return str(value)
    return f"of type {type(value).__name__}"


def _single_line(text: str) -> str:
    return " ".join(text.split())[:_MAX_LINE_CHARACTERS]
