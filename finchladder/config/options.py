"""Options of the operator's file: a feature is on if its section is present.

The sections are the same in INI (ini_file.py) and TOML (operator_file.py). The platform's settings are read
by settings.py only. The printed JSON schema takes the docstrings of section classes as descriptions, so
these classes are described by comments.
"""

import re
from collections.abc import Iterable
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Literal, TypeVar

import msgspec
from msgspec import Meta

from finchladder.config.addresses import Endpoint, parse_address, parse_url
from finchladder.core import api
from finchladder.core.dispatch.zone_spillover import SpilloverSettings
from finchladder.core.membership.aperture import Aperture, ApertureSettings
from finchladder.core.overload.controller import OverloadSettings

if TYPE_CHECKING:
    from finchladder.core.membership.decisions import MembershipSettings

ADDRESS_BYTES = 256  # memory of an address in an admission limit: 193 measured, more for long addresses
ENTRY_BYTES = 768  # maximum memory of a job's status, with an id of 128 characters
# bytes of memory for each byte of the capture ring: 1.4 measured for the ring, as much again during a dump
RING_MEMORY_FACTOR = 3
ETCD_PORT = 2379
MAX_PEERS = 2000
PEER_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,31}", re.ASCII)
# All optional features together may use 1/4 of `memory_mb`. What they use is not available to the buffers of
# request bodies.
MEMORY_DIVISOR = 4

Part = TypeVar("Part", bound=msgspec.Struct)
Rate = Annotated[float, Meta(gt=0, le=10_000)]
Count = Annotated[int, Meta(ge=1)]


# Section [door]: rate limits by client address.
class DoorOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    rate: Rate = 20.0
    burst: Annotated[float, Meta(ge=1, le=1_000_000)] = 40.0
    max_keys: Count = 4096

    def __post_init__(self) -> None:
        """Validates the combination of values."""
        if self.burst < self.rate:
            raise ValueError(f"burst {self.burst:g} is below rate {self.rate:g}")


# Section [status]: status of recent requests.
class StatusOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    retain_ms: Annotated[float, Meta(gt=0, le=86_400_000)] = 60_000.0
    max_entries: Count = 2000


# Section [drill]: fault injection.
class DrillOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    # a nonempty header field value of visible characters; without a key all orders are rejected
    key: Annotated[str, Meta(pattern=r"\A[!-~]([ -~]{0,254}[!-~])?\Z")] | None = None


# Section [capture]: recording of events and decisions.
class CaptureOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    ring_bytes: Annotated[int, Meta(ge=1024)] = 786_432
    folder: Annotated[str, Meta(min_length=1)] | None = None
    file_bytes: Annotated[int, Meta(ge=4096)] = 262_144
    files: Count = 8

    def memory_bytes(self) -> int:
        """Returns the memory that the recorder may use, in bytes."""
        waiting = 2 * self.file_bytes if self.folder is not None else 0  # data queued for writing
        return RING_MEMORY_FACTOR * self.ring_bytes + waiting


# Section [overload]: load shedding.
class OverloadOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    target_share: Annotated[float, Meta(ge=0.02, le=0.5)] = 0.2
    busy_from: Annotated[float, Meta(ge=0.5, le=1)] = 0.85
    wait_share: Annotated[float, Meta(ge=0, le=0.9)] = 0.2
    calm_s: Annotated[float, Meta(ge=0.1, le=1.5)] = 0.5

    def settings(self, retry_after_s: float) -> OverloadSettings:
        """Returns the controller's settings.

        Args:
            retry_after_s: The longest Retry-After in seconds that clients follow.
        """
        return OverloadSettings(**msgspec.structs.asdict(self), retry_after_s=min(retry_after_s, 60.0))


# Section [aperture]: the subset of workers that this dispatcher connects to.
class ApertureOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    server_connections: Annotated[int, Meta(ge=1, le=1_000_000)] = 256
    connections_each: Annotated[int, Meta(ge=1, le=24)] = 24
    least: Annotated[int, Meta(ge=2, le=1000)] = 4

    def __post_init__(self) -> None:
        """Validates the combination of values."""
        self.settings()

    def settings(self) -> ApertureSettings:
        """Returns the core's settings.

        Raises:
            ValueError: The values contradict each other.
        """
        return ApertureSettings(**msgspec.structs.asdict(self))


# Section [spill]: zone spillover.
class SpillOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    full_at: Annotated[float, Meta(ge=0, lt=1)] = 0.05
    back_at: Annotated[float, Meta(gt=0, le=1)] = 0.2
    refused_at: Annotated[float, Meta(gt=0, le=1)] = 0.1
    full_s: Annotated[float, Meta(ge=0.1, le=600)] = 0.5
    back_s: Annotated[float, Meta(ge=0.1, le=600)] = 5.0
    ramp_s: Annotated[float, Meta(ge=0.1, le=600)] = 5.0

    def __post_init__(self) -> None:
        """Validates the combination of values."""
        self.settings()

    def settings(self) -> SpilloverSettings:
        """Returns the core's settings.

        Raises:
            ValueError: The values contradict each other.
        """
        return SpilloverSettings(**msgspec.structs.asdict(self))


# Section [membership]: validation of changes to the endpoint list.
class MembershipOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    last_good: Annotated[str, Meta(min_length=1)] | None = None
    lead: Literal["discovery", "etcd"] = "discovery"
    max_vanish: Annotated[float, Meta(ge=0.05, le=1)] = 0.5
    vanish_window_s: Annotated[float, Meta(ge=1, le=300)] = 10.0
    hold_s: Annotated[float, Meta(ge=10, le=86_400)] = 900.0
    max_age_s: Annotated[float, Meta(ge=60, le=2_592_000)] = 3600.0
    flap_most: Annotated[int, Meta(ge=1, le=100)] = 3
    flap_hold_s: Annotated[float, Meta(ge=0.1, le=60)] = 1.5

    def settings(self) -> "MembershipSettings":
        """Returns the core's settings."""
        from finchladder.core.membership.decisions import MembershipSettings  # loaded only with the feature

        given = msgspec.structs.asdict(self)
        return MembershipSettings(**{k: v for k, v in given.items() if k not in ("last_good", "lead")})


Named = Annotated[str, Meta(min_length=1, max_length=4096)]


class EtcdOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Files are PEM; the password is the first line of its file."""

    endpoints: Annotated[list[Annotated[str, Meta(max_length=300)]], Meta(min_length=1, max_length=16)] = (
        msgspec.field(default_factory=lambda: ["http://127.0.0.1:2379"])
    )
    prefix: Annotated[str, Meta(pattern=r"\A(/[A-Za-z0-9._-]+){1,16}\Z", max_length=256)] = "/finchladder"
    user: Named | None = None
    password_file: Named | None = None
    ca_file: Named | None = None
    cert_file: Named | None = None
    key_file: Named | None = None

    def __post_init__(self) -> None:
        """Validates the combination of values."""
        found = self.addresses()
        if len(set(found)) < len(found):
            raise ValueError("endpoints has duplicates")
        if (self.user is None) != (self.password_file is None):
            raise ValueError("user and password_file must be set together")
        if (self.cert_file is None) != (self.key_file is None):
            raise ValueError("cert_file and key_file must be set together")
        if (self.ca_file or self.cert_file) and not all(e.tls for e in found):
            raise ValueError("ca_file and cert_file need endpoints that all begin with https://")

    def addresses(self) -> list[Endpoint]:
        """Returns the parsed endpoints.

        Raises:
            ValueError: An endpoint can't be parsed.
        """
        return [parse_url(url, ETCD_PORT) for url in self.endpoints]


class PeersOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The dispatchers that exchange data, in `members` or a `file`.

    Each of `members` is NAME=HOST:PORT; the file is a JSON object {NAME: "HOST:PORT"}.
    """

    fleet: Annotated[str, Meta(pattern=r"\A[A-Za-z0-9][A-Za-z0-9._-]{0,31}\Z")] = "finchladder"
    members: list[Annotated[str, Meta(max_length=100)]] = []
    file: Named | None = None
    counts: bool = False
    wave_s: Annotated[float, Meta(ge=0.02, le=5)] = 0.1
    period_s: Annotated[float, Meta(ge=0.1, le=10)] = 0.5

    def __post_init__(self) -> None:
        """Validates the combination of values."""
        if bool(self.members) == (self.file is not None):
            raise ValueError("exactly one of members and file must be set")
        if self.members:
            self.addresses()

    def addresses_including(self, own: str) -> dict[str, tuple[str, int]]:
        """Returns all addresses by name.

        Raises:
            ValueError: The list can't be used, or has no entry for `own`.
        """
        found = self.addresses()
        if own not in found:
            raise ValueError(f"[peers]: {own} is not among the {len(found)} listed dispatchers")
        return found

    def addresses(self) -> dict[str, tuple[str, int]]:
        """Returns all addresses by name.

        Raises:
            ValueError: The list can't be used; the message is one line.
        """
        if self.file is None:
            return parse_peers([tuple(one.partition("=")[::2]) for one in self.members])  # type: ignore[misc]
        try:
            found = msgspec.json.decode(Path(self.file).read_bytes(), type=dict[str, str])
        except OSError as e:
            raise ValueError(f"{self.file}: {e.strerror}") from None
        except msgspec.MsgspecError as e:
            raise ValueError(f"{self.file}: {e}") from None
        return parse_peers(found.items())


# Section [judgement]: outlier detection.
class JudgementOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    most_out: Annotated[float, Meta(ge=0.05, le=0.5)] = 0.3
    term_s: Annotated[float, Meta(ge=0.5, le=16)] = 2.0
    # the same pattern as in [drill]; without a key all overrides are rejected
    key: Annotated[str, Meta(pattern=r"\A[!-~]([ -~]{0,254}[!-~])?\Z")] | None = None


def parse_peers(pairs: Iterable[tuple[str, str]]) -> dict[str, tuple[str, int]]:
    """Parses pairs of dispatcher name and address.

    Raises:
        ValueError: A name or an address is invalid or duplicated, or there are too many.
    """
    found: dict[str, tuple[str, int]] = {}
    for name, address in pairs:
        if not PEER_NAME.fullmatch(name):
            raise ValueError(f"invalid dispatcher name {name[:40]!r}: up to 32 letters, digits, dots, dashes")
        if name in found:
            raise ValueError(f"dispatcher {name} is listed twice")
        found[name] = parse_address(address)
    if len(set(found.values())) < len(found):
        raise ValueError("two dispatchers have the same address")
    if len(found) > MAX_PEERS:
        raise ValueError(f"{len(found)} dispatchers are listed, at most {MAX_PEERS} are allowed")
    return found


class Options(msgspec.Struct, frozen=True):
    """Options of all features; a feature without an entry is off."""

    door: DoorOptions | None = None
    door_of: dict[str, DoorOptions] = {}  # by class, instead of `door`
    status: StatusOptions | None = None
    drill: DrillOptions | None = None
    capture: CaptureOptions | None = None
    overload: OverloadOptions | None = None
    aperture: ApertureOptions | None = None
    spill: SpillOptions | None = None
    membership: MembershipOptions | None = None
    etcd: EtcdOptions | None = None
    peers: PeersOptions | None = None
    judgement: JudgementOptions | None = None

    def spillover_settings(self) -> SpilloverSettings | None:
        """Returns the core's settings for zone spillover, or None if it is off."""
        return self.spill.settings() if self.spill is not None else None

    def memory_bytes(self) -> int:
        """Returns the memory that all features together may use, in bytes."""
        doors = [*self.door_of.values(), *([self.door] if self.door else [])]
        tracked = sum(d.max_keys for d in doors) * ADDRESS_BYTES
        entries = self.status.max_entries * ENTRY_BYTES if self.status is not None else 0
        return tracked + entries + (self.capture.memory_bytes() if self.capture is not None else 0)

    def check(self, classes: Iterable[str], memory_mb: int, settings: api.Settings | None = None) -> None:
        """Validates the options against the platform's configuration.

        Raises:
            ValueError: They can't be used together; the message is one line.
        """
        if self.aperture is not None and settings is not None:
            Aperture(settings.index, settings.dispatchers, self.aperture.settings())
        if self.peers is not None and self.capture is not None:
            raise ValueError(
                "[peers]: can't be combined with [capture], which doesn't record peers' messages"
            )
        if self.judgement is not None and self.capture is not None:
            raise ValueError(
                "[judgement]: can't be combined with [capture], which doesn't record outlier detection"
            )
        known = set(classes)
        for name in self.door_of:
            if name not in known:
                raise ValueError(f"[door.{name}]: no such class; there are {', '.join(sorted(known))}")
        if (most := memory_mb * 1024 * 1024 // MEMORY_DIVISOR) < self.memory_bytes():
            raise ValueError(
                f"the features may use {self.memory_bytes()} bytes of memory, at most {most} are allowed"
            )


OFF = Options()


def is_toml(path: str) -> bool:
    """Returns whether a file's name has the suffix of TOML; otherwise it is INI."""
    return path.lower().endswith(".toml")


SECTIONS: dict[str, type[msgspec.Struct]] = {
    "door": DoorOptions,
    "status": StatusOptions,
    "drill": DrillOptions,
    "capture": CaptureOptions,
    "overload": OverloadOptions,
    "aperture": ApertureOptions,
    "spill": SpillOptions,
    "membership": MembershipOptions,
    "etcd": EtcdOptions,
    "peers": PeersOptions,
    "judgement": JudgementOptions,
}
