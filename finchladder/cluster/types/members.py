"""Who takes part in control: members of the core, views of the chain, ballots."""

import msgspec


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One incarnation of a core process's disk.

    `disk_id` is drawn when a disk is first used, so that a machine that returns with an empty disk is another
    member and cannot vote with promises that it has forgotten.
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

    `sources` tells where that state is, also outside of the chain: whoever has the newest replicas of one
    member of each group has all of it, as long as this view has acknowledged nothing. A view without
    survivors begins with such a collection.
    """

    number: int
    voters: tuple[Member, ...]
    chain: tuple[Member, ...]
    survivors: int
    state_sources: tuple[tuple[Member, ...], ...] = ()

    @property
    def source_groups(self) -> tuple[tuple[Member, ...], ...]:
        """`sources`; of a view that names none, its survivors."""
        return self.state_sources or (self.chain[: self.survivors],)

    @property
    def quorum(self) -> int:
        """How many voters are a majority."""
        return len(self.voters) // 2 + 1

    @property
    def head(self) -> Member | None:
        """The member that takes writes."""
        return self.chain[0] if self.chain else None

    @property
    def tail(self) -> Member | None:
        """The member that answers reads."""
        return self.chain[-1] if self.chain else None

    def position(self, disk_id: str) -> int | None:
        """The place of a member in the chain; None if it is not in it."""
        for place, member in enumerate(self.chain):
            if member.disk_id == disk_id:
                return place
        return None

    def successor(self, disk_id: str) -> Member | None:
        """The next member down the chain; None for the tail and for others."""
        place = self.position(disk_id)
        if place is None or place + 1 >= len(self.chain):
            return None
        return self.chain[place + 1]

    def has_voter(self, disk_id: str) -> bool:
        """Whether that member may vote on the next view."""
        return any(voter.disk_id == disk_id for voter in self.voters)

    def members(self) -> tuple[Member, ...]:
        """Voters and chain, each once."""
        seen = {member.disk_id: member for member in (*self.chain, *self.voters)}
        return tuple(seen.values())


class Ballot(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Number of a proposal; unique by its proposer."""

    round: int
    proposer: str


NO_BALLOT = Ballot(0, "")
GENESIS = View(0, (), (), 0)
