"""What is replicated down the chain: the control state and the operations that change it."""

import msgspec


class Revision(msgspec.Struct, frozen=True, array_like=True):
    """A configuration that was taken: by its digest, so that the same order sent again is recognised."""

    version: int
    digest: bytes


class ControlState(msgspec.Struct, frozen=True, array_like=True):
    """All replicated state. `sequence` counts the operations that made it."""

    sequence: int = 0
    version: int = 0  # of the configuration; 0: none yet
    document: bytes = b""  # the configuration, JSON
    taken: tuple[Revision, ...] = ()  # the newest last, at most REVISIONS_KEPT
    fence_token: int = 0  # last one given out
    placer: str = ""  # name of the member that holds the placer's role


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


Operation = SetConfiguration | ClaimPlacer
REVISIONS_KEPT = 1024


def apply(state: ControlState, operation: Operation) -> ControlState:
    """The state after the operation; the caller has checked that it may be applied."""
    if isinstance(operation, SetConfiguration):
        revision = Revision(operation.version, operation.digest)
        return msgspec.structs.replace(
            state,
            sequence=state.sequence + 1,
            version=operation.version,
            document=operation.document,
            taken=(*state.taken, revision)[-REVISIONS_KEPT:],
        )
    return msgspec.structs.replace(
        state,
        sequence=state.sequence + 1,
        fence_token=operation.token + 1,
        placer=operation.holder,
    )
