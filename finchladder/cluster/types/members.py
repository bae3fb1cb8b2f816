"""Control members, views of the replication chain, and ballots."""

import msgspec


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One incarnation of a control process's disk.

    `disk_id` is drawn at random when a disk is first used. A machine that restarts with an empty disk is
    another member, so it can't vote in place of one whose promises are lost.
    """

    name: str
    disk_id: str
    zone: str
    peer_address: str  # host:port of the internal protocol
    control_address: str  # host:port of the public control API


class View(msgspec.Struct, frozen=True, array_like=True):
    """One agreed configuration of the replication group.

    `voters` decide the view that follows this one; `chain` stores the state, head first. The first
    `survivors` members of the chain held all acknowledged state before this view began; the rest join in it.

    `state_sources` names groups of members, also outside of the chain. The newest replica among one member of
    each group holds all acknowledged state, as long as this view has acknowledged no operation. A view
    without survivors starts from such a collection.
    """

    number: int
    voters: tuple[Member, ...]
    chain: tuple[Member, ...]
    survivors: int
    state_sources: tuple[tuple[Member, ...], ...] = ()

    @property
    def source_groups(self) -> tuple[tuple[Member, ...], ...]:
        """The state sources; the survivors, if the view names none."""
        return self.state_sources or (self.chain[: self.survivors],)

    @property
    def quorum(self) -> int:
        """The number of voters that is a majority."""
        return len(self.voters) // 2 + 1

    @property
    def head(self) -> Member | None:
        """The member that takes writes."""
        return self.chain[0] if self.chain else None

    @property
    def tail(self) -> Member | None:
        """The member that serves reads."""
        return self.chain[-1] if self.chain else None

    def position(self, disk_id: str) -> int | None:
        """The index of a member in the chain; None if it is not in it."""
        for index, member in enumerate(self.chain):
            if member.disk_id == disk_id:
                return index
        return None

    def successor(self, disk_id: str) -> Member | None:
        """The next member down the chain; None for the tail and for others."""
        index = self.position(disk_id)
        if index is None or index + 1 >= len(self.chain):
            return None
        return self.chain[index + 1]

    def has_voter(self, disk_id: str) -> bool:
        """Whether that member may vote on the next view."""
        return any(voter.disk_id == disk_id for voter in self.voters)

    def members(self) -> tuple[Member, ...]:
        """Voters and chain, each once."""
        seen = {member.disk_id: member for member in (*self.chain, *self.voters)}
        return tuple(seen.values())


class Ballot(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Ballot number of a proposal, made unique by the proposer's disk id."""

    round: int
    proposer: str


NO_BALLOT = Ballot(0, "")
GENESIS = View(0, (), (), 0)
