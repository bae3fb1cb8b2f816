"""The lease of the placer's role as a model for exhaustive search: the functions that run on both sides, over
each order and delay of messages, with heads that are replaced.

Time goes in ticks and is counted from the present moment, so that the states are finitely many however long
it lasts: what is so old that its age makes no difference counts as just that old. Messages may take any time
or get lost. A head grants and renews only while it is the present one, since it asks its chain first; one
that follows knows nothing of the lease but who has the role, and since when no other head can have renewed
it. Whoever holds a lease counts as acting at each tick.

With `fenced`, workers refuse orders of former holders: the view may leave the holder out and let it in again,
and no two members may hold a lease at the same moment.
"""

from collections.abc import Iterator
from enum import Enum

from attrs import evolve, frozen

from finchladder.cluster.replication.lease import GrantedLease, HeldLease

LEASE_TICKS = 2.0
TURN_TICKS = 3.0
NOW = 0
OVER = 0.0  # of the end of a lease: it is over
LONG_AGO = -TURN_TICKS  # of an act: it hinders nobody
USELESS = -LEASE_TICKS  # of the asking: what it brings is over
FREE = -(LEASE_TICKS + TURN_TICKS + 1)  # of the last renewal: the role may be granted


class Kind(Enum):
    """What a message asks for or grants."""

    RENEW = "renew"
    CLAIM = "claim"
    RESIGN = "resign"
    GRANT = "grant"


@frozen
class Message:
    """On its way between a member and the head. `sent_at`: of the request, also in its answer."""

    kind: Kind
    member: str
    token: int
    sent_at: float
    idle: float = 0.0


@frozen
class Candidate:
    """A member that may hold the role. `until`: the end of its lease by its own clock."""

    name: str
    token: int = 0
    until: float = 0.0
    acted_at: float = LONG_AGO
    requests_left: int = 2

    def holds(self) -> bool:
        """Whether it would give orders now."""
        return HeldLease(LEASE_TICKS, self.token, self.until).is_valid(NOW)


@frozen
class System:
    """A state. `renewed_at`: of the present head's lease, None until its chain has confirmed it; `holder` and
    `token`: what the chain has stored.
    """

    candidates: tuple[Candidate, ...]
    holder: str = ""
    token: int = 0
    renewed_at: float | None = 0.0
    messages: frozenset[Message] = frozenset()
    heads_left: int = 1
    replaced_at: float = FREE  # of the head that waits for its chain: when the one before ceased to renew
    fenced: bool = False
    holder_left: bool = False  # the view leaves the holder out
    views_left: int = 0  # changes of that

    def granted(self) -> GrantedLease:
        """The head's side."""
        return GrantedLease(LEASE_TICKS, TURN_TICKS, self.renewed_at, fenced=self.fenced)

    def with_candidate(self, changed: Candidate) -> "System":
        """The same with one member changed."""
        others = tuple(changed if c.name == changed.name else c for c in self.candidates)
        return evolve(self, candidates=others)


def start(requests: int, heads: int, *, fenced: bool = False, views: int = 0) -> System:
    """Two members, nobody has the role yet. `requests`: calls that each may make; `heads`: replacements;
    `views`: changes of whether the view leaves the holder out.
    """
    members = tuple(Candidate(name, requests_left=requests) for name in ("a", "b"))
    return System(members, heads_left=heads, fenced=fenced, views_left=views)


def steps(system: System) -> Iterator[tuple[str, System]]:
    """All that may happen next."""
    yield "a tick passes", _tick(system)
    if system.heads_left:
        replaced = evolve(system, renewed_at=None, replaced_at=NOW, heads_left=system.heads_left - 1)
        yield "the head is replaced", replaced
    if system.renewed_at is None:
        lease = system.granted()
        lease.confirm(system.replaced_at)
        confirmed = evolve(system, renewed_at=lease.renewed_at, replaced_at=FREE)
        yield "the chain confirms the head", confirmed
    if system.views_left:
        changed = evolve(system, holder_left=not system.holder_left, views_left=system.views_left - 1)
        yield "the view leaves the holder out, or lets it in", changed
    for candidate in system.candidates:
        if candidate.requests_left:
            yield from _requests(system, candidate)
    for message in system.messages:
        yield f"{message.kind.value} of {message.member} arrives", _delivered(system, message)


def _tick(system: System) -> System:
    """Time goes on; whoever holds the role has acted in the meantime."""
    members = []
    for candidate in system.candidates:
        until, acted_at = _older(candidate.until, OVER), _older(candidate.acted_at, LONG_AGO)
        later = evolve(candidate, until=until, acted_at=acted_at)
        members.append(evolve(later, acted_at=NOW) if later.holds() else later)
    renewed_at = None if system.renewed_at is None else _older(system.renewed_at, FREE)
    messages = frozenset(evolve(m, sent_at=_older(m.sent_at, USELESS)) for m in system.messages)
    replaced_at = _older(system.replaced_at, FREE)
    return evolve(
        system,
        candidates=tuple(members),
        renewed_at=renewed_at,
        messages=messages,
        replaced_at=replaced_at,
    )


def _older(moment: float, oldest: float) -> float:
    return max(oldest, moment - 1)


def _requests(system: System, candidate: Candidate) -> Iterator[tuple[str, System]]:
    sender = evolve(candidate, requests_left=candidate.requests_left - 1)
    name = candidate.name
    if candidate.token and candidate.token == system.token:
        yield f"{name} asks to renew", _sent(system, sender, Message(Kind.RENEW, name, sender.token, NOW))
    else:
        yield f"{name} claims", _sent(system, sender, Message(Kind.CLAIM, name, system.token, NOW))
    if candidate.holds():
        held = HeldLease(LEASE_TICKS, candidate.token, candidate.until)
        held.drop()
        resigned = evolve(sender, until=held.expires_at)
        message = Message(Kind.RESIGN, name, candidate.token, NOW, NOW - candidate.acted_at)
        yield f"{name} resigns", _sent(system, resigned, message)


def _sent(system: System, sender: Candidate, message: Message) -> System:
    return evolve(system.with_candidate(sender), messages=system.messages | {message})


def _delivered(system: System, message: Message) -> System:
    after = evolve(system, messages=system.messages - {message})
    match message.kind:
        case Kind.GRANT:
            return _extended(after, message)
        case Kind.RENEW:
            return _renewed(after, message)
        case Kind.CLAIM:
            return _claimed(after, message)
        case Kind.RESIGN:
            return _resigned(after, message)


def _extended(system: System, grant: Message) -> System:
    candidate = next(c for c in system.candidates if c.name == grant.member)
    held = HeldLease(LEASE_TICKS, candidate.token, candidate.until)
    held.extend(grant.sent_at, grant.token)
    return system.with_candidate(evolve(candidate, token=held.token, until=held.expires_at))


def _renewed(system: System, request: Message) -> System:
    if system.renewed_at is None or (system.holder, system.token) != (request.member, request.token):
        return system
    lease = system.granted()
    lease.renew(NOW)
    grant = evolve(request, kind=Kind.GRANT)
    return evolve(system, renewed_at=lease.renewed_at, messages=system.messages | {grant})


def _claimed(system: System, request: Message) -> System:
    lease = system.granted()
    wait = lease.wait_s(NOW, holder_left=system.holder_left)
    if wait is not None and system.holder in ("", request.member):
        wait = 0.0
    if wait is None or wait > 0 or request.token != system.token:
        return system
    lease.renew(NOW)
    grant = evolve(request, kind=Kind.GRANT, token=system.token + 1)
    return evolve(
        system,
        holder=request.member,
        token=system.token + 1,
        renewed_at=lease.renewed_at,
        messages=system.messages | {grant},
        holder_left=False,
    )


def _resigned(system: System, request: Message) -> System:
    if (system.holder, system.token) != (request.member, request.token):
        return system
    lease = system.granted()
    lease.release(NOW, request.idle)
    renewed_at = lease.renewed_at
    return evolve(system, renewed_at=None if renewed_at is None else max(FREE, renewed_at))


def no_two_act_within_a_turn(system: System) -> bool:
    """The rule: whoever acts now, nobody else has acted for a turn."""
    for one in system.candidates:
        others = [c.acted_at for c in system.candidates if c.name != one.name]
        if one.acted_at == NOW and any(NOW - at < TURN_TICKS for at in others):
            return False
    return True


def no_two_hold_at_once(system: System) -> bool:
    """The rule where workers refuse the orders of former holders."""
    return sum(candidate.holds() for candidate in system.candidates) <= 1
