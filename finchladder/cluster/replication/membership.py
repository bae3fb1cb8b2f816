"""Reconfiguration: computes the next view from the current view, its healthy members and joining processes.

A member may stay in the chain as a survivor if it was a survivor of the current view, or if it is known to
have stored the state in the current view. Survivors keep their order, so that each member has stored at least
what its successors have stored, and precede the members that join.

If no survivor replies, the state can still be recovered from several members together. If the current view
has acknowledged an operation, any member of its chain has the state. Otherwise the newest replica of one
member of each group of its state sources has it. Therefore one member of the chain and one of each group are
required. All of them become members of the next view, so that none takes part in an older view any more. The
head of the next view starts from the newest of their replicas, by view and sequence.
"""

from collections.abc import Collection, Mapping, Sequence
from types import MappingProxyType

from attrs import frozen

from finchladder.cluster.types.members import Member, View


@frozen
class MemberStatus:
    """Status of a member that replies to pings."""

    member: Member
    state_view: int  # number of the view in which the member last stored the state
    healthy: bool  # whether the member's disk completes writes
    shutting_down: bool = False


NO_STORED_VIEWS: Mapping[str, int] = MappingProxyType({})
# Maximum number of groups of state sources in a view. If there are more, the next view requires a survivor.
# A group is added for each view whose only survivor failed before another member of its chain had stored the
# state. 64 groups of five members add 40 KB to each message that contains the view.
MAX_STATE_SOURCES = 64


@frozen
class ReplicationLimits:
    """Chain length and number of voters for a number of disks that may be lost at the same time."""

    tolerated_losses: int

    @property
    def min_chain_length(self) -> int:
        """Minimum chain length; a shorter chain could lose acknowledged operations."""
        return self.tolerated_losses + 1

    @property
    def max_voters(self) -> int:
        """Maximum number of voters; a majority of so many remains after the tolerated losses."""
        return 2 * self.tolerated_losses + 1


def survivors(view: View, alive: Mapping[str, MemberStatus]) -> list[Member]:
    """Healthy members of the chain that each have all acknowledged state, in chain order."""
    surviving = []
    for position, member in enumerate(view.chain):
        status = alive.get(member.disk_id)
        if status is None or not _is_healthy(member, alive):
            continue
        if position < view.survivors or status.state_view == view.number:
            surviving.append(member)
    return surviving


def next_voters(
    view: View, alive: Mapping[str, MemberStatus], chain: Sequence[Member], limits: ReplicationLimits
) -> list[Member]:
    """Computes the voters of the next view by adding members of its chain to the current voters.

    A new voter replaces the voter with its name or address, which is its former incarnation. Without such a
    voter it is added if the maximum number is not reached, and otherwise replaces a voter that does not reply
    or is shutting down.
    """
    voters = list(view.voters)
    known = {voter.disk_id for voter in voters}
    for member in chain:
        if member.disk_id in known:
            continue
        former = [
            voter
            for voter in voters
            if voter.name == member.name or voter.peer_address == member.peer_address
        ]
        unavailable = [
            voter for voter in voters if voter.disk_id not in alive or alive[voter.disk_id].shutting_down
        ]
        if former:
            voters[voters.index(former[0])] = member
        elif len(voters) < limits.max_voters:
            voters.append(member)
        elif unavailable:
            voters[voters.index(unavailable[0])] = member
    return voters


def next_view(
    view: View,
    alive: Mapping[str, MemberStatus],
    joining: Collection[Member],
    limits: ReplicationLimits,
    stored: Mapping[str, int] = NO_STORED_VIEWS,
) -> View | None:
    """Computes the next view to propose; None if no change is needed or no safe view is possible.

    Args:
        view: Current view.
        alive: Status of the members that reply, by disk id.
        joining: Processes that request to join.
        limits: Minimum chain length and maximum number of voters.
        stored: Number of the view in which a member has stored the state, by disk id, as of its last reply;
            includes members that do not reply now.
    """
    surviving = survivors(view, alive)
    if not surviving:
        return _collecting_view(view, alive, limits)
    syncing = [member for member in view.chain if member not in surviving and _is_healthy(member, alive)]
    staying = [*surviving, *syncing]
    newcomers = _newcomers(staying, alive, joining)
    all_stored = all(alive[member.disk_id].state_view == view.number for member in staying)
    if not all_stored and len(staying) >= limits.min_chain_length:
        newcomers = []  # members join after the current chain has stored the state
    chain = (*surviving, *syncing, *newcomers)
    sources = (_state_holders(view, surviving, stored),)
    return _checked_view(view, alive, chain, len(surviving), sources, limits)


def _checked_view(
    view: View,
    alive: Mapping[str, MemberStatus],
    chain: tuple[Member, ...],
    survivor_count: int,
    sources: tuple[tuple[Member, ...], ...],
    limits: ReplicationLimits,
) -> View | None:
    """The next view with a given chain; None if it is unchanged, too short, or has no live majority."""
    voters = tuple(next_voters(view, alive, chain, limits))
    if len(chain) < limits.min_chain_length:
        return None
    if chain == view.chain and voters == view.voters:
        return None
    if sum(voter.disk_id in alive for voter in voters) <= len(voters) // 2:
        return None
    return View(view.number + 1, voters, chain, survivor_count, sources)


def _state_holders(view: View, surviving: Sequence[Member], stored: Mapping[str, int]) -> tuple[Member, ...]:
    """Members of the chain, reachable or not, that each have all acknowledged state."""
    return tuple(
        member
        for position, member in enumerate(view.chain)
        if member in surviving or position < view.survivors or stored.get(member.disk_id) == view.number
    )


def _collecting_view(view: View, alive: Mapping[str, MemberStatus], limits: ReplicationLimits) -> View | None:
    """A view without survivors whose members together have all acknowledged state.

    Returns None if no healthy member of some required group replies, if there are more than
    MAX_STATE_SOURCES groups, or if the view is not valid.
    """
    groups = _required_groups((view.chain, *view.source_groups))
    answering = [[member for member in group if _is_healthy(member, alive)] for group in groups]
    if not all(answering) or len(groups) > MAX_STATE_SOURCES:
        return None
    chain = tuple(dict.fromkeys(member for group in reversed(answering) for member in group))
    if set(chain) == set(view.chain):
        chain = view.chain
    return _checked_view(view, alive, chain, 0, groups, limits)


def _required_groups(groups: Sequence[tuple[Member, ...]]) -> tuple[tuple[Member, ...], ...]:
    """Removes groups that contain another group, since each member of the smaller one is in both."""
    required: list[tuple[Member, ...]] = []
    for group in groups:
        members = set(group)
        if any(set(other) <= members for other in required):
            continue
        required = [other for other in required if not members < set(other)]
        required.append(group)
    return tuple(required)


def _is_healthy(member: Member, alive: Mapping[str, MemberStatus]) -> bool:
    status = alive.get(member.disk_id)
    return status is not None and status.healthy and not status.shutting_down


def _newcomers(
    staying: Sequence[Member], alive: Mapping[str, MemberStatus], joining: Collection[Member]
) -> list[Member]:
    """Healthy processes to append to the chain, except those with the name of a staying member."""
    names = {member.name for member in staying}
    answering = {status.member for status in alive.values()}
    candidates = {
        member for member in {*answering, *joining} if member.name not in names and _is_healthy(member, alive)
    }
    return sorted(candidates, key=_by_name)


def first_view(members: Sequence[Member], limits: ReplicationLimits) -> View | None:
    """The first view of a new system, with all given members; None if they are too few for a chain."""
    if len(members) < limits.min_chain_length:
        return None
    chain = tuple(sorted(members, key=_by_name))
    return View(1, chain[: limits.max_voters], chain, len(chain))


def _by_name(member: Member) -> tuple[str, str]:
    return member.name, member.disk_id
