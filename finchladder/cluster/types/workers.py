"""Records of the replicated tables: workers, and what the placer says of them."""

from enum import Enum

import msgspec


class SessionPhase(str, Enum):
    """State of a worker's session."""

    READY = "ready"
    DRAINING = "draining"
    LOST = "lost"  # its heartbeats stopped; a new one brings it back
    DEREGISTERED = "gone"  # it has left for good


class LoadedModel(msgspec.Struct, frozen=True, array_like=True):
    """A model in a worker's memory, with the adapters that lie beside it."""

    model: str
    adapters: tuple[str, ...] = ()


class Stamp(msgspec.Struct, frozen=True, array_like=True):
    """Which change of which control process a record is; the entries of a version vector."""

    origin: str
    counter: int


class WorkerRecord(msgspec.Struct, frozen=True, array_like=True):
    """One worker incarnation as its session's owner knows it."""

    instance: str
    service: str
    address: str
    zone: str
    slots: int
    phase: SessionPhase
    sequence: int  # of the worker's calls; higher is newer
    owner: str  # origin that hears its heartbeats
    loaded_models: tuple[LoadedModel, ...] = ()
    remaining_ms: int | None = None  # time left to a worker that is taken away at short notice

    def rank(self) -> tuple[bool, int, bool]:
        """Orders two records of one worker: what is final, then the newer call, then its silence."""
        return self.phase is SessionPhase.DEREGISTERED, self.sequence, self.phase is SessionPhase.LOST


class PendingLoad(msgspec.Struct, frozen=True, array_like=True):
    """A model or adapter that is being loaded, and how long that will still take."""

    model: str
    adapter: str
    remaining_ms: int


class PlacementRecord(msgspec.Struct, frozen=True, array_like=True):
    """What the placer lets be used at a worker. A higher (token, serial) replaces a lower one.

    `orders`: that the worker will have taken when the action under way has ended; `load_ages_ms`: of the
    loads from the store that this placer began there lately, so that a successor keeps within their rate.
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
