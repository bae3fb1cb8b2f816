"""The chain and its views as a model for exhaustive search: the functions that run in a process, over each
order of writes, hops, new views, members that learn of them late or never, and lost disks.

A view is agreed on in one step here, by voters that know the one before it; `agreement_model` looks at how.
A write counts as acknowledged from the moment at which the tail has stored it.
"""

from collections.abc import Iterator
from itertools import combinations

from attrs import evolve, frozen

from finchladder.cluster.replication import chain, membership
from finchladder.cluster.replication.chain import AlreadyStored, Replica, RequestFullState, StoreReplica
from finchladder.cluster.replication.membership import MemberStatus, ReplicationLimits
from finchladder.cluster.types.members import Member, View
from finchladder.cluster.types.messages import Replicate
from finchladder.cluster.types.operations import ControlState, SetConfiguration

UNKNOWN = -1  # place of the newest view that a member with an empty disk knows


@frozen
class Node:
    """One machine: its present disk, the place of the newest view that it knows, what it stores."""

    member: Member
    view: int
    replica: Replica


@frozen
class System:
    """A state. `views`: those decided, in order; `acknowledged`: versions, each with its view's number."""

    nodes: tuple[Node, ...]
    views: tuple[View, ...]
    acknowledged: frozenset[tuple[int, int]]
    writes_left: int
    views_left: int
    wipes_left: int
    limits: ReplicationLimits
    lost: int = 0  # disks, since all machines had stored the state of one view

    def view_of(self, node: Node) -> View | None:
        """The newest view that it knows."""
        return None if node.view == UNKNOWN else self.views[node.view]

    def node(self, member: Member) -> Node | None:
        """The machine with that disk, if the disk is not lost."""
        return next((n for n in self.nodes if n.member == member), None)

    def with_node(self, changed: Node, former: Node) -> "System":
        """The same with one machine changed."""
        return evolve(self, nodes=tuple(changed if n is former else n for n in self.nodes))


def start(members: int, writes: int, views: int, wipes: int) -> System:
    """All members are in the first view and have stored its empty state."""
    named = tuple(_member(n, 0) for n in range(members))
    first = View(1, named, named, members)
    nodes = tuple(Node(m, 0, Replica(1, ControlState())) for m in named)
    return System(nodes, (first,), frozenset(), writes, views, wipes, ReplicationLimits((members - 1) // 2))


def _member(number: int, incarnation: int) -> Member:
    return Member(f"m{number}", f"m{number}.{incarnation}", "z", f"m{number}:1", f"m{number}:2")


def steps(system: System) -> Iterator[tuple[str, System]]:
    """All that may happen next."""
    for node in system.nodes:
        name = node.member.disk_id
        if system.wipes_left and _lost_before(system) < system.limits.tolerated_losses:
            yield f"{name} loses its disk", _wiped(system, node)
        for place in range(node.view + 1, len(system.views)):
            learned = evolve(node, view=place)
            yield f"{name} learns view {system.views[place].number}", system.with_node(learned, node)
        yield from _as_member(system, node)
    if system.views_left:
        yield from _next_views(system)


def _lost_before(system: System) -> int:
    """Disks that were lost and whose state no other machine has taken over for sure."""
    view = system.views[-1]
    is_whole = all(
        node.replica.state_view == view.number and node.member in view.chain and system.view_of(node) == view
        for node in system.nodes
    )
    return 0 if is_whole and len(view.chain) == len(system.nodes) else system.lost


def _wiped(system: System, node: Node) -> System:
    number, _, incarnation = node.member.disk_id[1:].partition(".")
    empty = Node(_member(int(number), int(incarnation) + 1), UNKNOWN, Replica())
    lost = _lost_before(system) + 1
    return evolve(system.with_node(empty, node), wipes_left=system.wipes_left - 1, lost=lost)


def _as_member(system: System, node: Node) -> Iterator[tuple[str, System]]:
    view, name = system.view_of(node), node.member.disk_id
    if view is None:
        return
    has_begun = node.replica.state_view == view.number
    if view.head == node.member and not has_begun:
        beginning = _beginning(system, view, node)
        if beginning is not None:
            replica = chain.enter_view(beginning, view.number)
            begun = _stored(system, view, node, replica)
            yield f"{name} begins view {view.number}", begun
    if view.head == node.member and has_begun and system.writes_left:
        version = system.writes_left
        written = chain.execute(node.replica, SetConfiguration(0, version, b"", b""))
        after = evolve(_stored(system, view, node, written), writes_left=version - 1)
        yield f"{name} writes {version}", after
    successor = view.successor(node.member.disk_id)
    if has_begun and successor is not None:
        yield from _hop(system, view, node, successor)


def _beginning(system: System, view: View, head: Node) -> Replica | None:
    """What the head begins with; of a view without survivors the newest replica, once all members know it."""
    if view.survivors:
        return head.replica
    members = [system.node(member) for member in view.chain]
    known = [n for n in members if n is not None and system.view_of(n) == view]
    return chain.newest_replica(n.replica for n in known) if len(known) == len(members) else None


def _hop(system: System, view: View, sender: Node, successor: Member) -> Iterator[tuple[str, System]]:
    receiver = system.node(successor)
    known = None if receiver is None else system.view_of(receiver)
    if receiver is None or known is None:
        return
    state = sender.replica.state
    outcome = chain.receive(receiver.replica, known.number, Replicate(view.number, state.sequence))
    if isinstance(outcome, RequestFullState):
        whole = Replicate(view.number, state.sequence, None, state)
        outcome = chain.receive(receiver.replica, known.number, whole)
    if not isinstance(outcome, StoreReplica | AlreadyStored):
        return
    replica = outcome.replica if isinstance(outcome, StoreReplica) else receiver.replica
    after = _stored(system, view, receiver, replica)
    if after != system:
        yield f"{sender.member.disk_id} passes on to {successor.disk_id} in view {view.number}", after


def _stored(system: System, view: View, node: Node, replica: Replica) -> System:
    """The same with that replica at a member; what the tail has is acknowledged."""
    after = system.with_node(evolve(node, replica=replica), node)
    if view.tail != node.member:
        return after
    known_before = {version for version, _ in system.acknowledged}
    fresh = {r.version for r in replica.state.accepted_revisions} - known_before
    return evolve(after, acknowledged=system.acknowledged | {(version, view.number) for version in fresh})


def _next_views(system: System) -> Iterator[tuple[str, System]]:
    """What any set of machines that answer may agree on."""
    view = system.views[-1]
    stored = {n.member.disk_id: n.replica.state_view for n in system.nodes}
    for size in range(1, len(system.nodes) + 1):
        for answering in combinations(system.nodes, size):
            voting = [n for n in answering if system.view_of(n) == view and n.member in view.voters]
            if len(voting) < view.quorum:
                continue
            alive = {n.member.disk_id: MemberStatus(n.member, n.replica.state_view, True) for n in answering}
            joining = [n.member for n in answering]
            following = membership.next_view(view, alive, joining, system.limits, stored)
            if following is not None:
                names = " ".join(m.disk_id for m in following.chain)
                after = evolve(system, views=(*system.views, following), views_left=system.views_left - 1)
                yield f"view {following.number}: {names}", after


def nothing_acknowledged_is_missing(system: System) -> bool:
    """The rule: who has stored the state of a view has all that was acknowledged in it or before."""
    for node in system.nodes:
        held = {revision.version for revision in node.replica.state.accepted_revisions}
        if any(v not in held and number <= node.replica.state_view for v, number in system.acknowledged):
            return False
    return True
