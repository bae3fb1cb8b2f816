"""Members of the replication group, its views, and ballots."""

import msgspec


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A control process together with the disk that identifies it.

    `disk_id` is a random id that is assigned when a disk is first used. A machine that restarts with an empty
    disk is a different member. Otherwise it could vote although it has lost the promises that it made before.
    """

    name: str
    disk_id: str
    zone: str
    peer_address: str  # `host:port` of the internal protocol
    control_address: str  # `host:port` of the public control API


class View(msgspec.Struct, frozen=True, array_like=True):
    """One agreed configuration of the replication group.

    `voters` agree on the next view, and `chain` stores the state, starting with the head. The first
    `survivors` members of the chain had all acknowledged state before this view began; the others join in
    this view.

    `state_sources` contains groups of members, which need not be in the chain. As long as this view has
    acknowledged no operation, take the replicas of any one member of each group: the newest of them contains
    all acknowledged state. A view without survivors starts from such replicas.
    """

    number: int
    voters: tuple[Member, ...]
    chain: tuple[Member, ...]
    survivors: int
    state_sources: tuple[tuple[Member, ...], ...] = ()

    @property
    def source_groups(self) -> tuple[tuple[Member, ...], ...]:
        """The groups of state sources; if there are none, one group with all survivors."""
        return self.state_sources or (self.chain[: self.survivors],)

    @property
    def quorum(self) -> int:
        """Number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    @property
    def head(self) -> Member | None:
        """The member that accepts writes; None if the chain is empty."""
        return self.chain[0] if self.chain else None

    @property
    def tail(self) -> Member | None:
        """The member that serves reads; None if the chain is empty."""
        return self.chain[-1] if self.chain else None

    def position(self, disk_id: str) -> int | None:
        """Index of a member in the chain; None if it is not in the chain."""
        for index, member in enumerate(self.chain):
            if member.disk_id == disk_id:
                return index
        return None

    def successor(self, disk_id: str) -> Member | None:
        """The next member of the chain; None for the tail and for members outside of the chain."""
        index = self.position(disk_id)
        if index is None or index + 1 >= len(self.chain):
            return None
        return self.chain[index + 1]

    def has_voter(self, disk_id: str) -> bool:
        """Whether a member may vote on the next view."""
        return any(voter.disk_id == disk_id for voter in self.voters)

    def members(self) -> tuple[Member, ...]:
        """Members of the chain and voters, without duplicates."""
        by_disk_id = {member.disk_id: member for member in (*self.chain, *self.voters)}
        return tuple(by_disk_id.values())


class Ballot(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Number of a proposal, unique because it contains the proposer's disk id."""

    round: int
    proposer: str


NO_BALLOT = Ballot(0, "")
GENESIS = View(0, (), (), 0)
