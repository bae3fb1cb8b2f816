"""Records of the replicated tables: workers, and the placements of models at them."""

from enum import Enum

import msgspec


class SessionPhase(str, Enum):
    """State of a worker's session."""

    READY = "ready"
    DRAINING = "draining"
    LOST = "lost"  # its heartbeats stopped; a new one makes it ready again
    DEREGISTERED = "gone"  # final


class LoadedModel(msgspec.Struct, frozen=True, array_like=True):
    """A model in a worker's memory, with its adapters that are loaded, too."""

    model: str
    adapters: tuple[str, ...] = ()


class Stamp(msgspec.Struct, frozen=True, array_like=True):
    """Identifies a change: the control process that made it and its counter; an entry of a version vector."""

    origin: str
    counter: int


class WorkerRecord(msgspec.Struct, frozen=True, array_like=True):
    """One worker incarnation, as the owner of its session knows it."""

    instance: str
    service: str
    address: str
    zone: str
    slots: int
    phase: SessionPhase
    sequence: int  # of the worker's heartbeats; higher is newer
    owner: str  # origin of the control process that receives its heartbeats
    loaded_models: tuple[LoadedModel, ...] = ()
    remaining_ms: int | None = None  # time left to a worker that will be preempted

    def rank(self) -> tuple[bool, int, bool]:
        """Orders two records of one worker: a final one, then the newer heartbeat, then its loss."""
        return self.phase is SessionPhase.DEREGISTERED, self.sequence, self.phase is SessionPhase.LOST


class PendingLoad(msgspec.Struct, frozen=True, array_like=True):
    """A model or adapter that is being loaded, and the time that this will still take."""

    model: str
    adapter: str
    remaining_ms: int


class PlacementRecord(msgspec.Struct, frozen=True, array_like=True):
    """The models that the placer allows dispatchers to use at a worker. A higher (token, serial) wins.

    `orders_taken`: how many the worker will have taken when the present one has ended; `load_ages_ms`: time
    since each recent load from the store that this placer began there, so that a successor keeps their rate.
    """

    instance: str
    token: int
    serial: int
    usable_models: tuple[LoadedModel, ...]
    pending_load: PendingLoad | None = None
    orders_taken: int = 0
    load_ages_ms: tuple[int, ...] = ()


class StampedWorker(msgspec.Struct, frozen=True, array_like=True):
    """A worker's record with its stamp."""

    stamp: Stamp
    record: WorkerRecord


class StampedPlacement(msgspec.Struct, frozen=True, array_like=True):
    """A placement record with its stamp."""

    stamp: Stamp
    record: PlacementRecord
