"""Replicated control state and the operations that change it."""

import msgspec


class Revision(msgspec.Struct, frozen=True, array_like=True):
    """An accepted change of the configuration; the digest identifies retries of the change."""

    version: int
    digest: bytes


class WorkerRetirement(msgspec.Struct, frozen=True, array_like=True):
    """A draining or deregistered worker incarnation, with the sequence number of its last heartbeat."""

    instance: str
    sequence: int
    deregistered: bool


class ControlState(msgspec.Struct, frozen=True, array_like=True):
    """The whole state that the chain replicates; `sequence` is the number of applied operations."""

    sequence: int = 0
    version: int = 0  # version of the configuration; 0 before the first one
    document: bytes = b""  # configuration as JSON
    accepted_revisions: tuple[Revision, ...] = ()  # at most MAX_REVISIONS, the newest last
    fence_token: int = 0  # latest granted fencing token
    placer: str = ""  # name of the member that was last granted the placer's lease
    retirements: tuple[WorkerRetirement, ...] = ()  # at most MAX_RETIREMENTS, the newest last


class SetConfiguration(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Replaces the configuration by the full configuration in `document`."""

    base: int
    version: int
    digest: bytes
    document: bytes


class ClaimPlacer(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Grants the placer's lease to `holder` with the fencing token `token` + 1; `token` is the last one."""

    holder: str
    token: int


class RecordRetirements(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Records draining or deregistered workers, and removes the records of `forgotten` instances."""

    retirements: tuple[WorkerRetirement, ...]
    forgotten: tuple[str, ...] = ()


Operation = SetConfiguration | ClaimPlacer | RecordRetirements
MAX_REVISIONS = 1024
# Retirements are removed by age. This limit takes effect only with more than 100 retirements per second.
MAX_RETIREMENTS = 16_384


def apply(state: ControlState, operation: Operation) -> ControlState:
    """Returns the state after an operation that the caller has validated."""
    if isinstance(operation, SetConfiguration):
        revision = Revision(operation.version, operation.digest)
        return msgspec.structs.replace(
            state,
            sequence=state.sequence + 1,
            version=operation.version,
            document=operation.document,
            accepted_revisions=(*state.accepted_revisions, revision)[-MAX_REVISIONS:],
        )
    if isinstance(operation, RecordRetirements):
        return msgspec.structs.replace(
            state,
            sequence=state.sequence + 1,
            retirements=_merge_retirements(
                state.retirements, operation.retirements, frozenset(operation.forgotten)
            ),
        )
    return msgspec.structs.replace(
        state,
        sequence=state.sequence + 1,
        fence_token=operation.token + 1,
        placer=operation.holder,
    )


def is_retired(state: ControlState, retirement: WorkerRetirement) -> bool:
    """Whether the state already contains the retirement, or a deregistration of the same worker."""
    return any(
        known.instance == retirement.instance and known.deregistered >= retirement.deregistered
        for known in state.retirements
    )


def _merge_retirements(
    known: tuple[WorkerRetirement, ...],
    retirements: tuple[WorkerRetirement, ...],
    forgotten: frozenset[str],
) -> tuple[WorkerRetirement, ...]:
    """Merges retirements without forgotten instances; a deregistration supersedes a drain of the instance."""
    by_instance = {
        retirement.instance: retirement for retirement in known if retirement.instance not in forgotten
    }
    for retirement in retirements:
        former = by_instance.pop(retirement.instance, retirement)
        by_instance[retirement.instance] = former if former.deregistered else retirement
    return tuple(by_instance.values())[-MAX_RETIREMENTS:]
