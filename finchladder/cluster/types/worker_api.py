"""JSON messages between workers and control processes; unknown fields are ignored."""

from typing import Annotated

import msgspec

from finchladder.cluster.types.workers import LoadedModel

# Records and messages contain these numbers, and can encode only 64 bits.
Integer64 = Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]


class ModelReport(msgspec.Struct):
    """A model in a worker's memory, as the worker reports it."""

    name: str
    version: int = 0
    adapters: list[str] = msgspec.field(default_factory=list)


class Heartbeat(msgspec.Struct):
    """A worker's heartbeat; `sequence` increases with each heartbeat."""

    service: str
    address: str
    zone: str = ""
    slots: Integer64 = 1
    state: str = "ready"
    sequence: Integer64 = 0
    models: list[ModelReport] = msgspec.field(default_factory=list)
    remaining_ms: float | None = None


class WorkerReport(msgspec.Struct):
    """Status of a worker, up to a few hundred milliseconds old; `sequence` counts the accepted orders."""

    sequence: Integer64 = 0
    busy: bool = False
    models: list[ModelReport] = msgspec.field(default_factory=list)
    queued: int = 0
    active: int = 0
    kv_cache_used: int = 0
    kv_cache_total: int = 0


class OrderRequest(msgspec.Struct, omit_defaults=True):
    """An order of the placer to a worker, with the lease holder and its fencing token."""

    operation: str
    model: str
    holder: str
    fence_token: int
    adapter: str | None = None
    if_revision: int | None = None


def loaded_models(models: list[ModelReport]) -> tuple[LoadedModel, ...]:
    """Converts reported models to a sorted tuple, so that equal sets compare equal."""
    return tuple(
        sorted(
            (LoadedModel(m.name, tuple(sorted(m.adapters))) for m in models), key=lambda loaded: loaded.model
        )
    )


heartbeat_decoder = msgspec.json.Decoder(Heartbeat)
report_decoder = msgspec.json.Decoder(WorkerReport)
