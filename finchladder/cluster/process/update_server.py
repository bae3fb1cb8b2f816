"""Serves the replicated tables, the configuration and the view to the processes that pull them.

The server replies to a long poll at once if the subscriber has not received all data, and otherwise when the
data changes. Updates to many dispatchers are batched, unless a worker is no longer ready or the control state
has changed.
"""

from asyncio import sleep
from collections import Counter
from collections.abc import Callable

from attrs import define, field

from finchladder.cluster.configuration.compression import DocumentCompressor
from finchladder.cluster.process.tasks import Signal
from finchladder.cluster.sessions.heartbeat_timeouts import registration_timeout_s
from finchladder.cluster.sessions.replicated_tables import ReplicatedTables
from finchladder.cluster.transport.peers import steady
from finchladder.cluster.types.members import View
from finchladder.cluster.types.messages import PullUpdates, Update
from finchladder.cluster.types.operations import ControlState
from finchladder.cluster.types.workers import SessionPhase, Stamp

SUBSCRIBER_TIMEOUT_S = 2.5  # a subscriber whose last pull is older does not count as live
SUBSCRIBER_RETENTION_S = 60.0
MAX_LONG_POLL_S = 2.0
# The minimum time between two updates to the same dispatcher is this value times the number of dispatchers.
BATCH_INTERVAL_PER_DISPATCHER_S = 0.001
MAX_BATCH_INTERVAL_S = 0.25
URGENCY_CHECK_INTERVAL_S = 0.02  # changes are too frequent to check each one for urgency
DISPATCHER_COUNT_INTERVAL_S = 0.1
NEVER = -1e9


@define
class Subscriber:
    """A process that pulls updates from this one."""

    name: str
    vector: dict[str, int]
    last_pull_at: float
    is_dispatcher: bool
    long_polls: bool  # whether the subscriber long-polls instead of polling periodically
    last_update_at: float = NEVER  # time of the last reply that contained changes

    def has(self, stamp: Stamp) -> bool:
        """Returns whether the subscriber has the change with this stamp."""
        return self.vector.get(stamp.origin, 0) >= stamp.counter

    def is_live(self, now: float) -> bool:
        """Returns whether the subscriber has pulled recently; `now` is in monotonic seconds."""
        return now - self.last_pull_at < SUBSCRIBER_TIMEOUT_S


@define
class UpdateServer:
    """Replies to pulls, and tracks which changes each subscriber has received.

    `is_chain_confirmed`: returns whether the chain was recently confirmed; `is_quorum_lost`: returns whether
    too few voters reply although most control processes do; `placer_address`: returns the address of the
    placer, empty if there is none.
    """

    tables: ReplicatedTables
    heartbeat_s: float
    state: Callable[[], ControlState]
    view: Callable[[], View]
    placer_address: Callable[[], str]
    is_chain_confirmed: Callable[[], bool]
    is_quorum_lost: Callable[[], bool]
    changed: Signal = field(factory=Signal)
    subscribers: dict[str, Subscriber] = field(factory=dict)  # keyed by name
    started_at: float = field(factory=steady)
    _compressor: DocumentCompressor = field(factory=DocumentCompressor, init=False)
    _dispatcher_count: int = field(default=0, init=False)
    _dispatchers_counted_at: float = field(default=NEVER, init=False)
    _open_long_polls: Counter[str] = field(factory=Counter, init=False)  # keyed by name of the subscriber

    async def on_pull(self, pull: PullUpdates) -> Update:
        """Replies to a pull; a long poll without newer data gets its reply after a change or the timeout."""
        self._register(pull)
        await self._hold_long_poll(pull)
        subscriber = self._register(pull)
        if self._has_changes(pull):
            subscriber.last_update_at = steady()
        return self._update(pull)

    def live_subscribers(self) -> list[Subscriber]:
        """Returns the subscribers that have pulled recently."""
        now = steady()
        return [subscriber for subscriber in self.subscribers.values() if subscriber.is_live(now)]

    def dispatcher_count(self) -> int:
        """Returns the number of dispatchers that have pulled recently."""
        now = steady()
        if now - self._dispatchers_counted_at > DISPATCHER_COUNT_INTERVAL_S:
            self._dispatchers_counted_at = now
            self._dispatcher_count = sum(
                subscriber.is_dispatcher and subscriber.is_live(now)
                for subscriber in self.subscribers.values()
            )
        return self._dispatcher_count

    def batch_interval_s(self) -> float:
        """Returns the minimum seconds between two updates to the same dispatcher, which batch the changes."""
        return min(MAX_BATCH_INTERVAL_S, BATCH_INTERVAL_PER_DISPATCHER_S * self.dispatcher_count())

    def knows_all_workers(self) -> bool:
        """Returns whether this process has run long enough to have a record of every live worker."""
        return steady() - self.started_at > registration_timeout_s(self.heartbeat_s)

    def expire_subscribers(self, now: float) -> None:
        """Removes subscribers that have not pulled for long; `now` is in monotonic seconds."""
        self.subscribers = {
            name: subscriber
            for name, subscriber in self.subscribers.items()
            if now - subscriber.last_pull_at < SUBSCRIBER_RETENTION_S
        }

    def _register(self, pull: PullUpdates) -> Subscriber:
        known = self.subscribers.get(pull.sender)
        if known is None:
            self._dispatchers_counted_at = NEVER
        subscriber = Subscriber(
            name=pull.sender,
            vector=pull.vector,
            last_pull_at=steady(),
            is_dispatcher=pull.is_dispatcher,
            # a dispatcher that refreshes its configuration still has a long poll open
            long_polls=pull.wait_ms > 0 or pull.sender in self._open_long_polls,
            last_update_at=NEVER if known is None else known.last_update_at,
        )
        self.subscribers[pull.sender] = subscriber
        return subscriber

    async def _hold_long_poll(self, pull: PullUpdates) -> None:
        if not pull.wait_ms:
            return
        self._open_long_polls[pull.sender] += 1
        try:
            await self._wait_for_change(pull)
            await self._wait_for_batch(pull)
        finally:
            self._open_long_polls[pull.sender] -= 1
            if not self._open_long_polls[pull.sender]:
                del self._open_long_polls[pull.sender]

    async def _wait_for_change(self, pull: PullUpdates) -> None:
        deadline = steady() + min(pull.wait_ms / 1000, MAX_LONG_POLL_S)
        while not self._has_changes(pull):
            remaining_s = deadline - steady()
            if remaining_s <= 0 or not await self.changed.wait(remaining_s):
                break

    async def _wait_for_batch(self, pull: PullUpdates) -> None:
        """Waits until the batch interval since the last update has passed, unless a change is urgent."""
        if not pull.is_dispatcher:
            return
        due_at = self.subscribers[pull.sender].last_update_at + self.batch_interval_s()
        while True:
            remaining_s = due_at - steady()
            if remaining_s <= 0 or not self._has_changes(pull) or self._has_urgent_changes(pull):
                return
            await sleep(min(remaining_s, URGENCY_CHECK_INTERVAL_S))

    def _has_changes(self, pull: PullUpdates) -> bool:
        return self._has_newer_control_state(pull) or self.tables.is_ahead(pull.vector)

    def _has_urgent_changes(self, pull: PullUpdates) -> bool:
        """Returns whether a newer configuration, view or placer exists, or a worker is no longer ready."""
        if self._has_newer_control_state(pull):
            return True
        workers = self.tables.records_after(pull.vector).workers
        return any(worker.record.phase is not SessionPhase.READY for worker in workers)

    def _has_newer_control_state(self, pull: PullUpdates) -> bool:
        is_newer = self.state().version > pull.version or self.view().number > pull.view
        return is_newer or self._has_newer_placer(pull)

    def _has_newer_placer(self, pull: PullUpdates) -> bool:
        is_newer = 0 < pull.placer_term < self.state().fence_token
        return is_newer and bool(self.placer_address())

    def _update(self, pull: PullUpdates) -> Update:
        state = self.state()
        view = self.view()
        records = self.tables.records_after(pull.vector)
        is_newer = state.version > pull.version
        return Update(
            origin=self.tables.origin,
            vector=self.tables.advertised_vector(),
            view=view if view.number > pull.view else None,
            workers=records.workers,
            placements=records.placements,
            version=state.version,
            document=self._compressor.compress(state.document) if is_newer else b"",
            knows_all_workers=self.knows_all_workers(),
            is_full=not pull.vector,
            placer=self.placer_address(),
            dispatchers=self.dispatcher_count(),
            chain_confirmed=self.is_chain_confirmed(),
            quorum_lost=self.is_quorum_lost(),
            placer_term=state.fence_token,
        )
