"""What is replicated down the chain: the control state and the operations that change it."""

import msgspec


class Revision(msgspec.Struct, frozen=True, array_like=True):
    """A configuration that was taken: by its digest, so that the same order sent again is recognised."""

    version: int
    digest: bytes


class WorkerRetirement(msgspec.Struct, frozen=True, array_like=True):
    """A worker incarnation whose drain (`left` false) or end was told. `sequence`: of its last call."""

    instance: str
    sequence: int
    deregistered: bool


class ControlState(msgspec.Struct, frozen=True, array_like=True):
    """All replicated state. `sequence` counts the operations that made it."""

    sequence: int = 0
    version: int = 0  # of the configuration; 0: none yet
    document: bytes = b""  # the configuration, JSON
    accepted_revisions: tuple[Revision, ...] = ()  # the newest last, at most MAX_REVISIONS
    fence_token: int = 0  # last one given out
    placer: str = ""  # name of the member that holds the placer's role
    retirements: tuple[WorkerRetirement, ...] = ()  # the newest last, at most MAX_RETIREMENTS


class SetConfiguration(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Replaces the configuration. `document` is the whole resulting one."""

    base: int
    version: int
    digest: bytes
    document: bytes


class ClaimPlacer(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Gives the placer's role and the next fencing token to `holder`, if `token` is still the last one."""

    holder: str
    token: int


class RecordRetirements(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Keeps drains and ends of workers."""

    retirements: tuple[WorkerRetirement, ...]


Operation = SetConfiguration | ClaimPlacer | RecordRetirements
MAX_REVISIONS = 1024
MAX_RETIREMENTS = 1024  # by the time of so many later ones, a worker has long ended


def apply(state: ControlState, operation: Operation) -> ControlState:
    """The state after the operation; the caller has checked that it may be applied."""
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
            retirements=_merge_retirements(state.retirements, operation.retirements),
        )
    return msgspec.structs.replace(
        state,
        sequence=state.sequence + 1,
        fence_token=operation.token + 1,
        placer=operation.holder,
    )


def is_retired(state: ControlState, retirement: WorkerRetirement) -> bool:
    """Whether the state tells that drain or end already."""
    return any(
        known.instance == retirement.instance and known.deregistered >= retirement.deregistered
        for known in state.retirements
    )


def _merge_retirements(
    known: tuple[WorkerRetirement, ...], retirements: tuple[WorkerRetirement, ...]
) -> tuple[WorkerRetirement, ...]:
    """Each instance once, in its final form."""
    by_instance = {end.instance: end for end in known}
    for end in retirements:
        former = by_instance.pop(end.instance, end)
        by_instance[end.instance] = former if former.deregistered else end
    return tuple(by_instance.values())[-MAX_RETIREMENTS:]
