"""Which view should follow: from the present one, who is healthy, and who asks to be let in.

A member may stay in the chain as a survivor if it was a survivor of the present view, or if it is known to
have stored the state within the present view. Survivors keep their order, so each still holds at least what
the members after it hold, and stand before those that join.

Where no survivor answers, the state may still be had from several members together: from one that was in the
chain of the present view, and had it if that view acknowledged anything, and from one of each group of
sources of the present view, which have it if not. All of them are members of the next view, so none of them
takes part in an older one any more; its head begins with the newest of their replicas, by view and sequence.
"""

from collections.abc import Collection, Mapping, Sequence
from types import MappingProxyType

from attrs import frozen

from finchladder.cluster.types.members import Member, View


@frozen
class MemberStatus:
    """What is known of a member that answers."""

    member: Member
    state_view: int  # the view in which it last stored the state
    healthy: bool  # its disk answers
    shutting_down: bool = False  # its process is about to end


NO_STORED_VIEWS: Mapping[str, int] = MappingProxyType({})
MAX_STATE_SOURCES = 8  # groups of one view; beyond them it waits for a survivor


@frozen
class ReplicationLimits:
    """What the deployment must bear. `losses`: disks that may be lost at once."""

    tolerated_losses: int

    @property
    def min_chain_length(self) -> int:
        """Fewer members could lose what was acknowledged."""
        return self.tolerated_losses + 1

    @property
    def max_voters(self) -> int:
        """So many that a majority is left after `losses`."""
        return 2 * self.tolerated_losses + 1


def survivors(view: View, alive: Mapping[str, MemberStatus]) -> list[Member]:
    """Members of the chain that hold all that was acknowledged and that answer, in their order."""
    kept = []
    for place, member in enumerate(view.chain):
        status = alive.get(member.disk_id)
        if status is None or not _is_healthy(member, alive):
            continue
        if place < view.survivors or status.state_view == view.number:
            kept.append(member)
    return kept


def next_voters(
    view: View, alive: Mapping[str, MemberStatus], chain: Sequence[Member], limits: ReplicationLimits
) -> list[Member]:
    """The voters of the next view: members of its chain replace former incarnations, then the silent, then
    fill up.
    """
    voters = list(view.voters)
    known = {voter.disk_id for voter in voters}
    for member in chain:
        if member.disk_id in known:
            continue
        former = [v for v in voters if v.name == member.name or v.peer_address == member.peer_address]
        silent = [v for v in voters if v.disk_id not in alive or alive[v.disk_id].shutting_down]
        if former:
            voters[voters.index(former[0])] = member
        elif len(voters) < limits.max_voters:
            voters.append(member)
        elif silent:
            voters[voters.index(silent[0])] = member
    return voters


def next_view(
    view: View,
    alive: Mapping[str, MemberStatus],
    joining: Collection[Member],
    limits: ReplicationLimits,
    stored: Mapping[str, int] = NO_STORED_VIEWS,
) -> View | None:
    """The view to propose; None if the present one is good, or no safe one can be made.

    `alive`: by disk id, the members that answer. `joining`: members that ask to be let in. `stored`: by disk
    id, the view in which a member is known to have stored the state, also of those that are silent now.
    """
    kept = survivors(view, alive)
    if not kept:
        return _collecting_view(view, alive, limits)
    present = [m for m in view.chain if m not in kept and _is_healthy(m, alive)]
    newcomers = _newcomers([*kept, *present], alive, joining)
    settled = all(alive[m.disk_id].state_view == view.number for m in (*kept, *present))
    if not settled and len(kept) + len(present) >= limits.min_chain_length:
        newcomers = []
    chain = (*kept, *present, *newcomers)
    return _checked_view(view, alive, chain, len(kept), (_state_holders(view, kept, stored),), limits)


def _checked_view(
    view: View,
    alive: Mapping[str, MemberStatus],
    chain: tuple[Member, ...],
    kept: int,
    sources: tuple[tuple[Member, ...], ...],
    limits: ReplicationLimits,
) -> View | None:
    """The view with that chain, unless it is the present one, too short, or its voters do not answer."""
    voters = tuple(next_voters(view, alive, chain, limits))
    if len(chain) < limits.min_chain_length:
        return None
    if chain == view.chain and voters == view.voters:
        return None
    if sum(v.disk_id in alive for v in voters) <= len(voters) // 2:
        return None
    return View(view.number + 1, voters, chain, kept, sources)


def _state_holders(view: View, kept: Sequence[Member], stored: Mapping[str, int]) -> tuple[Member, ...]:
    """Members of the chain, silent ones too, of which each alone has all that was acknowledged."""
    return tuple(
        member
        for place, member in enumerate(view.chain)
        if member in kept or place < view.survivors or stored.get(member.disk_id) == view.number
    )


def _collecting_view(view: View, alive: Mapping[str, MemberStatus], limits: ReplicationLimits) -> View | None:
    """A view without survivors, whose members have the state together; None if too few of them answer."""
    groups = (view.chain, *(g for g in view.source_groups if set(g) != set(view.chain)))
    answering = [[m for m in group if _is_healthy(m, alive)] for group in groups]
    if not all(answering) or len(groups) > MAX_STATE_SOURCES:
        return None
    chain = tuple(dict.fromkeys(member for group in reversed(answering) for member in group))
    if set(chain) == set(view.chain):
        chain = view.chain
    return _checked_view(view, alive, chain, 0, groups, limits)


def _is_healthy(member: Member, alive: Mapping[str, MemberStatus]) -> bool:
    status = alive.get(member.disk_id)
    return status is not None and status.healthy and not status.shutting_down


def _newcomers(
    staying: Sequence[Member], alive: Mapping[str, MemberStatus], joining: Collection[Member]
) -> list[Member]:
    """Who may join behind those that stay; nobody that shares a name with one of them."""
    names = {member.name for member in staying}
    answering = {status.member for status in alive.values()}
    wanted = {m for m in {*answering, *joining} if m.name not in names and _is_healthy(m, alive)}
    return sorted(wanted, key=lambda m: (m.name, m.disk_id))


def first_view(members: Sequence[Member], limits: ReplicationLimits) -> View | None:
    """The first view of a new system, from those that were told to found it."""
    if len(members) < limits.min_chain_length:
        return None
    chain = tuple(sorted(members, key=lambda m: (m.name, m.disk_id)))
    return View(1, chain[: limits.max_voters], chain, len(chain))
