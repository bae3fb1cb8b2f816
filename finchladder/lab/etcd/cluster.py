"""An etcd cluster of several members over one store, with the troubles that a test or experiment orders.

Pure: times are handed in. A member that lags reads the store as it was at an older revision.
"""

from collections.abc import Callable
from copy import deepcopy
from typing import NamedTuple

from finchladder.lab.etcd.auth import Auth
from finchladder.lab.etcd.store import Event, Keys, Store

SYNC_REVISIONS = 1000  # of one watch response, for a watcher that has to catch up, as in etcd
FRAGMENT = 2 * 1024 * 1024  # bytes of a watch response beyond which it is sent in fragments, if asked for
PROGRESS_S = 600.0  # as etcd's --watch-progress-notify-interval


class Backup(NamedTuple):
    store: Store


class Response(NamedTuple):
    """What a watcher is told: the header's revision and events; or the end of it."""

    revision: int
    events: list[Event]


class Watch:
    """One watcher of a member. `next`: the first revision that it has not been told."""

    def __init__(self, member: "Member", id: int, keys: Keys, start: int, progress: bool) -> None:
        self.member, self.id, self.keys, self.progress = member, id, keys, progress
        self.next = start
        self.quiet_since = 0.0

    def catch_up(self) -> Response | None:
        """What is to be told next. Refused: it was compacted."""
        upto = self.member.revision
        if self.next > upto:
            return None
        store = self.member.cluster.store
        events: list[Event] = []
        for count, (revision, some) in enumerate(store.since(self.next, upto, self.keys), 1):
            events += some
            if count >= SYNC_REVISIONS:
                upto = revision
                break
        self.next = upto + 1
        # the header has the member's revision, not that of the events: more of them may be to come
        return Response(self.member.revision, events) if events else None


class Member:
    """`stalled`: connections stand and nothing moves. `cut`: connections are reset and refused."""

    def __init__(self, cluster: "Cluster", index: int) -> None:
        self.cluster, self.index = cluster, index
        self.name, self.id = f"m{index + 1}", 0x8E9E_05C5_2164_694D + index
        self.stuck: int | None = None  # the revision at which it stands
        self.lies = False  # answers linearizable reads though it is behind, as no sound member does
        self.stalled = self.cut = False
        self.bytes_per_s: float | None = None  # of what it writes on watches; None: at once
        self.changed: Callable[[], None] = lambda: None  # the server's: something may be told
        self.struck: Callable[[], None] = lambda: None  # the server's: a fault began or ended

    @property
    def revision(self) -> int:
        top = self.cluster.store.revision
        return top if self.stuck is None else min(self.stuck, top)

    @property
    def behind(self) -> bool:
        return self.revision < self.cluster.store.revision

    @property
    def readable(self) -> bool:
        """Whether it may answer a linearizable read now; else it waits until it has caught up."""
        return self.lies or not self.behind


class Cluster:
    def __init__(self, members: int = 1, cluster_id: int = 0xCDF8_1818_E7C2_66F7) -> None:
        self.store, self.auth = Store(), Auth()
        self.id, self.term = cluster_id, 2
        self.members = [Member(self, i) for i in range(members)]
        self.fragment, self.progress_s = FRAGMENT, PROGRESS_S
        self.writable = True  # False: no quorum; writes and linearizable reads wait

    def written(self) -> None:
        for member in self.members:
            member.changed()

    def advance(self, now: float) -> None:
        """Ends the leases that are due, unless nobody leads."""
        if self.writable and not all(m.stalled or m.cut for m in self.members):
            before = self.store.revision
            self.store.expire(now)
            if self.store.revision != before:
                self.written()

    # --- troubles; each holds until it is lifted

    def stall(self, *members: int, on: bool = True, now: float = 0.0) -> None:
        self._each(members, "stalled", on)
        if not on:  # whoever leads then has been away
            self.store.promote(now)

    def cut(self, *members: int, on: bool = True) -> None:
        self._each(members, "cut", on)

    def slow(self, *members: int, bytes_per_s: float | None) -> None:
        self._each(members, "bytes_per_s", bytes_per_s)

    def lag(self, *members: int, on: bool = True, lies: bool = False) -> None:
        """They stand at the revision of now. `lies`: they answer as if they did not."""
        for member in self._chosen(members):
            member.stuck, member.lies = (self.store.revision if on else None), on and lies
            member.struck()
            member.changed()

    def backup(self) -> Backup:
        return Backup(deepcopy(self.store))

    def restore(self, backup: Backup, now: float, cluster_id: int = 0) -> None:
        """All members begin anew from the backup: its revisions, no history before them; connections end.

        `cluster_id` 0: it stays what it was, as with the same members and token.
        """
        self.store = deepcopy(backup.store)
        self.store.promote(now)
        self.id, self.term = cluster_id or self.id, 2
        self.auth.expire()
        for member in self.members:
            member.stuck = None
            member.cut = True
            member.struck()
            member.cut = False
            member.struck()

    def expire_tokens(self) -> None:
        self.auth.expire()

    def _chosen(self, members: tuple[int, ...]) -> list[Member]:
        return [self.members[i] for i in members] if members else self.members

    def _each(self, members: tuple[int, ...], name: str, value: object) -> None:
        self.term += 1  # whoever led may be among them
        for member in self._chosen(members):
            setattr(member, name, value)
            member.struck()
            member.changed()
