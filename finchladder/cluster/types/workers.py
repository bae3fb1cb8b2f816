"""Records of the replicated tables: the sessions of workers, and the placement of models on them."""

from enum import Enum

import msgspec


class SessionPhase(str, Enum):
    """State of a worker's session."""

    READY = "ready"
    DRAINING = "draining"
    LOST = "lost"  # heartbeats timed out; a new heartbeat makes the worker ready again
    DEREGISTERED = "gone"  # final; the worker never becomes ready again


class LoadedModel(msgspec.Struct, frozen=True, array_like=True):
    """A model in a worker's memory with its loaded adapters."""

    model: str
    adapters: tuple[str, ...] = ()


class Stamp(msgspec.Struct, frozen=True, array_like=True):
    """Identifies a change by its origin, one incarnation of a control process, and that origin's counter."""

    origin: str
    counter: int


class WorkerRecord(msgspec.Struct, frozen=True, array_like=True):
    """State of one worker incarnation as recorded by the control process that receives its heartbeats."""

    instance: str
    service: str
    address: str
    zone: str
    slots: int
    phase: SessionPhase
    sequence: int  # sequence number of the last heartbeat; higher is newer
    owner: str  # origin (incarnation) of the control process that receives the heartbeats
    loaded_models: tuple[LoadedModel, ...] = ()
    remaining_ms: int | None = None  # announced time until the worker is preempted; None if not announced

    def rank(self) -> tuple[bool, int, bool]:
        """Sort key by which a record supersedes another one of the same worker.

        A deregistration supersedes all other records, then a higher heartbeat sequence, then a loss.
        """
        return self.phase is SessionPhase.DEREGISTERED, self.sequence, self.phase is SessionPhase.LOST


class PendingLoad(msgspec.Struct, frozen=True, array_like=True):
    """A model or adapter that is being loaded, with the expected remaining time."""

    model: str
    adapter: str
    remaining_ms: int


class PlacementRecord(msgspec.Struct, frozen=True, array_like=True):
    """Models that the placer allows dispatchers to use at a worker.

    A record with a higher fencing token, or with the same token and a higher serial number, supersedes this
    one. `orders_taken` is the number of orders that the worker will have accepted when its current action
    ends. `load_ages_ms` contains the time since the start of each recent load from the weight store that this
    placer ordered at the worker. A successor needs it to limit the rate of loads.
    """

    instance: str
    token: int
    serial: int
    usable_models: tuple[LoadedModel, ...]
    pending_load: PendingLoad | None = None
    orders_taken: int = 0
    load_ages_ms: tuple[int, ...] = ()


class StampedWorker(msgspec.Struct, frozen=True, array_like=True):
    """A worker record with its stamp."""

    stamp: Stamp
    record: WorkerRecord


class StampedPlacement(msgspec.Struct, frozen=True, array_like=True):
    """A placement record with its stamp."""

    stamp: Stamp
    record: PlacementRecord
