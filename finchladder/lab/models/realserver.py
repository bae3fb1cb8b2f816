"""A real server: slots, queue, shared cores, memory, keys, cold start, drain. Times in, actions out.

| a job is | what happens to it | it is then |
| --- | --- | --- |
| waiting | it fits and is its order's next | fetching, or running if its key is there or costs nothing |
| waiting | drain that hands back | over (`returned`) |
| fetching | its key has come | running |
| fetching, running | pushed out by `suspend` / `kill` | waiting (with what it has done) / over (`lost`) |
| running | its work is done | over (`done` or `failed`) |
| any | cancel, death of the process | over (`cancelled`, `killed`) |
| any | cancel where that does not stop it | as it was, but unseen: no more is told of it |

All running jobs progress alike: each slot has min(1, cores / slots in use) of a core. So the progress that a
job would have made since the start is one figure for all (processor sharing by virtual time, as in fair
queueing), and an event costs O(log n) in the jobs held; `backfill` looks through the queue, `preempt` through
the running. Bounds: jobs held are at most slots + queue; each has at most two timers, and a timer outlives
its job by one period at most.
"""

from collections import OrderedDict, deque
from collections.abc import Iterator
from enum import Enum
from heapq import heapify, heappop, heappush
from math import inf, sqrt
from random import Random
from typing import Literal, NamedTuple

from finchladder.lab import records
from finchladder.lab.experiment import Pool, Span
from finchladder.lab.models.store import StoreModel

Verdict = Literal["accepted", "full", "error"]
# A loaded server that also warms by work is warm after half the work that it would do while it warms by time.
WARM_WORK = 0.5
SLOWEST_HANDSHAKE = 10.0  # times handshake_s
NEVER = inf


def draw(span: Span, rng: Random) -> float:
    """A figure drawn evenly from a span; a number stands for itself, and nothing is drawn."""
    return span if isinstance(span, int | float) else rng.uniform(span[0], span[1])


class JobIn(NamedTuple):
    """A request as it came. `work`: seconds on one core at speed 1; less than one slot counts as one."""

    id: str
    job_class: str
    key: str
    work: float
    slots: float = 1.0
    memory: float = 0.0
    priority: int = 0
    repeatable: bool = True


class Told(NamedTuple):
    """To be called back. `share` of a `running` job; `result` of a `done` one; `load` where the job ends."""

    at: float
    id: str
    state: Literal["started", "running", "done", "failed", "returned", "lost"]
    share: float = 0.0
    result: str = ""
    load: dict[str, float] | None = None


class Fell(NamedTuple):
    """Overdriven while cold: the process is gone. Everything is closed until it is started again."""

    at: float


Action = Told | records.Began | records.Ended | Fell


class At(Enum):
    WAITING = 0
    FETCHING = 1
    RUNNING = 2
    OVER = 3


class _Job:
    __slots__ = ("spec", "slots", "seq", "at", "left", "goal", "entry", "began", "unseen", "hidden")

    def __init__(self, spec: JobIn, seq: int) -> None:
        self.spec, self.seq = spec, seq
        self.slots = max(1.0, spec.slots)
        self.at = At.WAITING
        self.left = spec.work  # work to do, while it does not run
        self.goal = 0.0  # the common progress at which it is done, while it runs
        self.entry = 0  # its present entry in the heap of running jobs
        self.began = self.unseen = False
        self.hidden = False  # no job, but the work of a handshake


class RealServerModel:
    """One real server. It is down until `start`. After any other call `advance(now)` has the actions.

    What is due is played at its own time, however late `advance` comes; times must not run backwards.
    While it is cold, work sent in any `cold_window_s` above `cold_multiple` x capacity x window (and twice
    the root of the sum of its squares, as a slack for chance) fells it.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        pool: Pool,
        rng: Random,
        store: StoreModel | None = None,
        cold_multiple: float = 3.0,
        cold_window_s: float = 2.0,
    ) -> None:
        self.name, self.zone, self.pool, self.rng = name, zone, pool, rng
        self.store = store or StoreModel()
        self.cold_multiple, self.cold_window_s = cold_multiple, cold_window_s
        self.speed = draw(pool.speed, rng)
        self.slots = float(pool.slots or pool.cores)
        self.capacity = pool.cores * self.speed  # work a second when warm
        self._noise = Random(rng.getrandbits(64))
        self.epoch, self.up = 0, False
        self.factor = 1.0  # of the speed, by a fault
        self.error_rate, self.error_class = pool.error_rate, ""
        self.connections = 0
        self._out: list[Action] = []
        self._count = 0
        self._reset(0.0)

    # ---- life of the process

    def start(self, now: float, cold: bool) -> records.Born:
        """The process starts with nothing: no jobs, connections or keys. Returns its line for the ledger."""
        if self.up:
            raise ValueError(f"{self.name} runs already")
        self._reset(now)
        self.up, self.epoch = True, self.epoch + 1
        if cold and self.pool.cold_for_s > 0:
            self._bend, self._hot = now, now + self.pool.cold_for_s
        self._retune()
        return records.Born(
            self.name,
            self.epoch,
            now,
            cold,
            self.capacity,
            self.pool.kind,
            self.zone,
            self.pool.cold_from,
            self.pool.cold_for_s,
            warm_work=self._warm_work if self.pool.warm_by_work else 0.0,
        )

    def _reset(self, now: float) -> None:
        self.up = self.draining = self.paused = False
        self._time = now
        self._born = now
        self._bend = self._hot = -NEVER  # by time it is warmer than by work from then; it is warm from then
        self._floor = 0.0  # how far its work has warmed it, 0 to 1
        self._worked = 0.0  # work done since the start
        self._jobs: dict[str, _Job] = {}  # seen ones, by the request's id
        self._unseen: dict[int, _Job] = {}
        self._waiting: list[tuple[int, int, _Job]] = []  # heap by (-priority, arrival), with stale entries
        self._waits = 0
        self._held: dict[int, _Job] = {}  # fetching and running, in the order of their begin
        self._slots_used = self._memory_used = 0.0
        self._running: list[tuple[float, int, _Job]] = []  # heap by goal, with stale entries
        self._busy = 0.0  # slots of running jobs
        self._progress = 0.0  # the common progress of running jobs, at _time
        self._rate = 0.0  # of it, per second, were the server warm
        self._end_due = NEVER  # when the next running job is done
        self._timers: list[tuple[float, int, Literal["key", "progress", "save"], _Job | str]] = []
        self._keys: OrderedDict[str, None] = OrderedDict()
        self._fetching: dict[str, dict[int, _Job]] = {}
        self._sent: deque[tuple[float, float]] = deque()  # work sent while cold, in the last window
        self._sent_sum = self._sent_squares = 0.0
        self._tick = now  # when the next report is taken
        self._reports: tuple[dict[str, float], dict[str, float]] | None = None  # told, next
        self.connections = 0

    def kill(self, now: float) -> None:
        """All state is lost. Nothing is told, not even what was due to be; the ledger hears of its jobs."""
        self._run(now)
        self._out = [a for a in self._out if not isinstance(a, Told)]
        for job in self._jobs.values():
            self._note(now, job, "killed")
        self._reset(now)

    def drain(self, now: float) -> None:
        """Takes nothing new. Where the pool says so, hands back what has not begun. See `idle`."""
        self._run(now)
        self._settle(now)
        self.draining = True
        if self.pool.drain_returns:
            for _, _, job in sorted(self._waiting):
                if job.at is At.WAITING and not job.began:
                    self._over(now, job, "returned")
        self._retune()

    def pause(self, now: float) -> None:
        """Stopped: nothing moves and nothing is told until `resume`. Nothing may be handed in either."""
        self._run(now)
        self._settle(now)
        self.paused = True
        self._retune()

    def resume(self, now: float) -> None:
        """Goes on. Timers that have passed meanwhile run at once; it has warmed as if it had not stood."""
        if self.paused:
            self._time = max(self._time, now)
            self.paused = False
            self._retune()

    def set_speed(self, now: float, factor: float) -> None:
        """0: it stands still, takes jobs and tells of no progress."""
        self._run(now)
        self._settle(now)
        self.factor = factor
        self._retune()

    def set_error_rate(self, share: float | None, job_class: str = "") -> None:
        """Share of jobs, of that class alone if one is given, that end as `failed`; None: the pool's own."""
        self.error_class = job_class if share is not None else ""
        self.error_rate = self.pool.error_rate if share is None else share

    @property
    def idle(self) -> bool:
        """Nothing waits, nothing is in work, not even unseen."""
        return not self._jobs and not self._unseen

    @property
    def held(self) -> int:
        """Jobs that it has, in work and waiting."""
        return len(self._jobs) + len(self._unseen)

    def outstanding(self, now: float) -> float:
        """Work that it holds, seen or not, in seconds on a core at speed 1. O(jobs held)."""
        self._run(now)
        self._settle(now)
        jobs = [*self._jobs.values(), *self._unseen.values()]
        return sum(
            (max(0.0, j.goal - self._progress) if j.at is At.RUNNING else j.left) * j.slots for j in jobs
        )

    # ---- connections

    def connection(self, now: float) -> bool:
        """A new connection. False: it holds as many as it can, or is down. A handshake takes a core."""
        self._run(now)
        if not self.up or self.connections >= self.pool.connections:
            return False
        self.connections += 1
        if self.pool.handshake_s > 0:
            job = _Job(JobIn("", "", "", self.pool.handshake_s * self.speed), self._next())
            job.hidden = True
            self._settle(now)
            self._compute(job)
            self._retune()
        return True

    def disconnected(self, now: float) -> None:
        self.connections = max(0, self.connections - 1)

    def handshake(self, now: float) -> float:
        """Delay in seconds of the first request on a connection opened now: longer where it is slow."""
        self._run(now)
        present = self._rate * self._share(now) / self.speed if self.up else 1.0
        return self.pool.handshake_s / max(1 / SLOWEST_HANDSHAKE, present)

    # ---- jobs

    def submit(self, now: float, spec: JobIn) -> Verdict:
        """A request has come whole. error: it is down, has just fallen over, or holds a job with this id."""
        self._run(now)
        if not self.up or spec.id in self._jobs:
            return "error"
        if now < self._hot and self._overdriven(now, spec):
            self._fall(now)
            return "error"
        if self.draining:
            return "full"
        job = _Job(spec, self._next())
        if self.pool.answers_at_once:
            self._jobs[spec.id] = job
            self._tell_start(now, job)
            self._finish(now, job)
            return "accepted"
        if job.slots > self.slots or spec.memory > self.pool.memory:
            return "full"
        if self.pool.checkpoint_s > 0:
            job.left = max(0.0, spec.work - self.store.saved(spec.id))
        self._settle(now)
        self._jobs[spec.id] = job
        if not self._waits and self._fits(job):
            self._begin(now, job)
        else:
            self._wait(job)
            self._begin_waiting(now)
            if self._waits > self.pool.queue and job.at is At.WAITING:
                job.at = At.OVER
                self._waits -= 1
                del self._jobs[spec.id]
                return "full"
        self._retune()
        return "accepted"

    def cancel(self, now: float, job_id: str) -> bool:
        """Given up by the dispatcher. What has begun may go on unseen, as the pool says. False: unknown."""
        self._run(now)
        job = self._jobs.get(job_id)
        if job is None:
            return False
        self._settle(now)
        if self.pool.cancel_stops or (self.pool.cancel_unqueues and not job.began):
            self._over(now, job, "cancelled")
            self._begin_waiting(now)
        else:
            self._note(now, job, "cancelled")
            job.unseen = True
            del self._jobs[job_id]
            self._unseen[job.seq] = job
        self._retune()
        return True

    # ---- time

    def next_due(self) -> float | None:
        """When `advance` has something to do or to hand out; None: nothing, unless something is called."""
        if self._out:
            return self._time
        due = self._due()
        return due if due < NEVER else None

    def advance(self, now: float) -> list[Action]:
        """Plays what is due up to `now`; returns all actions since the last call, in order of time."""
        self._run(now)
        out, self._out = self._out, []
        return out

    def _due(self) -> float:
        if self.paused or not self.up:
            return NEVER
        timers = self._timers
        while timers and isinstance(job := timers[0][3], _Job) and job.at is At.OVER:
            heappop(timers)
        return min(self._end_due, timers[0][0]) if timers else self._end_due

    def _run(self, now: float) -> None:
        while (due := self._due()) <= now:
            at = max(due, self._time)  # a timer may have passed during a pause
            self._settle(at)
            if self._end_due <= due:
                goal, _, job = heappop(self._running)
                self._progress = max(self._progress, goal)  # rounding must not leave it just short of its end
                if job.hidden:
                    job.at = At.OVER
                    self._busy -= job.slots
                else:
                    self._finish(at, job)
                    self._begin_waiting(at)
                self._retune()
                continue
            _, _, kind, what = heappop(self._timers)
            if isinstance(what, str):
                self._key_came(what)
                self._retune()
            elif kind == "progress":
                self._tell_progress(at, what)
            else:
                if what.at is At.RUNNING:
                    self.store.save(what.spec.id, what.spec.work - max(0.0, what.goal - self._progress))
                self._timer(at + self.pool.checkpoint_s, "save", what)

    def _timer(self, due: float, kind: Literal["key", "progress", "save"], what: _Job | str) -> None:
        heappush(self._timers, (due, self._next(), kind, what))

    def _next(self) -> int:
        self._count += 1
        return self._count

    # ---- capacity: rises evenly from cold_from to 1 over cold_for_s; earlier where work has warmed it

    def _share(self, at: float) -> float:
        if at >= self._hot:
            return 1.0
        warm = max(self._floor, (at - self._born) / self.pool.cold_for_s)
        return self.pool.cold_from + (1 - self.pool.cold_from) * warm

    def capacity_at(self, now: float) -> float:
        """Work a second that it could do at `now`, were it not slowed down or crowded."""
        return self.capacity * self._share(now)

    def _warmed(self, since: float, until: float) -> float:
        """The share's integral: even while work is ahead of time, then rising, then 1."""
        total = 0.0
        if since < self._bend:
            end = min(until, self._bend)
            total, since = self._share(since) * (end - since), end
        if since < min(until, self._hot):
            end = min(until, self._hot)
            rise = (1 - self.pool.cold_from) / self.pool.cold_for_s
            total += (self._share(since) + rise * (end - since) / 2) * (end - since)
            since = end
        return total + (until - since)

    def _warmed_when(self, since: float, need: float) -> float:
        """The time until which the share's integral from `since` is `need`."""
        if need <= 0:
            return since
        if since < self._bend:
            share = self._share(since)
            whole = share * (self._bend - since)
            if need <= whole:
                return since + need / share
            since, need = self._bend, need - whole
        if since < self._hot:
            share, rise = self._share(since), (1 - self.pool.cold_from) / self.pool.cold_for_s
            whole = (share + 1) / 2 * (self._hot - since)
            if need <= whole:
                return since + 2 * need / (share + sqrt(share * share + 2 * rise * need))
            since, need = self._hot, need - whole
        return since + need

    @property
    def _warm_work(self) -> float:
        """Work after which it is warm, in core seconds at speed 1."""
        return self.capacity * self.pool.cold_for_s * (1 + self.pool.cold_from) / 2 * WARM_WORK

    def _worked_off(self, work: float) -> None:
        """Work was done, in core seconds at speed 1: a cold server may be warmer for it."""
        self._worked += work
        if self.pool.warm_by_work and self._time < self._hot:
            self._floor = min(1.0, self._worked / self._warm_work)
            self._bend = max(self._bend, self._born + self._floor * self.pool.cold_for_s)
            if self._floor >= 1.0:
                self._bend = self._hot = self._time

    def _overdriven(self, now: float, spec: JobIn) -> bool:
        sent = self._sent
        while sent and sent[0][0] <= now - self.cold_window_s:
            old = sent.popleft()[1]
            self._sent_sum -= old
            self._sent_squares -= old * old
        work = spec.work * max(1.0, spec.slots)
        sent.append((now, work))
        self._sent_sum += work
        self._sent_squares += work * work
        budget = self.cold_multiple * self.capacity_at(now) * self.cold_window_s
        return self._sent_sum > budget + 2 * sqrt(max(0.0, self._sent_squares))

    def _fall(self, now: float) -> None:
        self.kill(now)
        self._out.append(Fell(now))

    # ---- progress

    def _settle(self, at: float) -> None:
        """Brings the common progress up to `at`. To be called before anything changes that bears on it."""
        if at > self._time:
            if at >= self._tick and self.pool.reports:
                self._take_report(at)
            if self._rate and self._busy:
                self._progress += self._rate * (
                    at - self._time if self._time >= self._hot else self._warmed(self._time, at)
                )
            self._time = at

    def _retune(self) -> None:
        """Works out the rate, and when the next job is done. To be called after anything has changed."""
        running = self._running
        while running and running[0][1] != running[0][2].entry:
            heappop(running)
        if not running:
            self._busy = self._progress = 0.0  # no rounding errors are carried on
        if not self.up or self.paused:
            self._rate, self._end_due = 0.0, NEVER
            return
        rate = self.speed * self.factor
        if self.pool.crowd:
            full = (self._slots_used + self._waits) / (self.slots + self.pool.queue)
            rate *= 1 - self.pool.crowd * min(1.0, full)
        if self._busy > self.pool.cores:
            rate *= self.pool.cores / self._busy
        self._rate = rate
        if not running or rate <= 0:
            self._end_due = NEVER
        else:
            need = (running[0][0] - self._progress) / rate
            hot = self._time >= self._hot
            self._end_due = self._time + max(0.0, need) if hot else self._warmed_when(self._time, need)

    def _compute(self, job: _Job) -> None:
        job.at = At.RUNNING
        job.goal, job.entry = self._progress + job.left, self._next()
        self._busy += job.slots
        heappush(self._running, (job.goal, job.entry, job))

    # ---- slots and queue

    def _fits(self, job: _Job) -> bool:
        return (
            self._slots_used + job.slots <= self.slots
            and self._memory_used + job.spec.memory <= self.pool.memory
        )

    def _begin(self, at: float, job: _Job) -> None:
        self._slots_used += job.slots
        self._memory_used += job.spec.memory
        self._held[job.seq] = job
        if not job.began:
            self._tell_start(at, job)
            if self.pool.progress_s > 0:
                self._timer(at + self.pool.progress_s, "progress", job)
            if self.pool.checkpoint_s > 0 and job.spec.repeatable:
                self._timer(at + self.pool.checkpoint_s, "save", job)
        key = job.spec.key
        if self.pool.keys_kept and key and key not in self._keys:
            job.at = At.FETCHING
            if key not in self._fetching:
                self._fetching[key] = {}
                self._timer(self.store.fetch(at, self.pool.fetch_s), "key", key)
            self._fetching[key][job.seq] = job
        else:
            if key in self._keys:
                self._keys.move_to_end(key)
            self._compute(job)

    def _key_came(self, key: str) -> None:
        self._keys[key] = None
        if len(self._keys) > self.pool.keys_kept:
            self._keys.popitem(last=False)
        for job in self._fetching.pop(key).values():
            if job.at is At.FETCHING:
                self._compute(job)

    def _wait(self, job: _Job) -> None:
        job.at = At.WAITING
        self._waits += 1
        rank = -job.spec.priority if self.pool.order == "priority" else 0
        heappush(self._waiting, (rank, job.seq, job))

    def _sweep(self) -> None:
        """Entries of jobs that wait no more are at most as many as the queue's places, and a few."""
        if len(self._waiting) > 2 * self._waits + 16:
            self._waiting = [e for e in self._waiting if e[2].at is At.WAITING]
            heapify(self._waiting)

    def _in_order(self) -> Iterator[_Job]:
        """Waiting jobs that may begin now, one after another; the caller takes each off before the next."""
        if self.pool.order == "backfill":
            if self._slots_used + 1 <= self.slots:
                yield from [job for _, _, job in sorted(self._waiting) if job.at is At.WAITING]
            return
        while self._waiting:
            job = self._waiting[0][2]
            if job.at is At.WAITING:
                yield job
                if job.at is At.WAITING:
                    return  # the head waits until it fits
            heappop(self._waiting)

    def _begin_waiting(self, at: float) -> None:
        if not self._waits:
            self._waiting.clear()
            return
        for job in self._in_order():
            if self._fits(job) or self._push_out(at, job):
                self._waits -= 1
                self._begin(at, job)
        self._sweep()

    def _push_out(self, at: float, job: _Job) -> bool:
        """Makes room for a job of higher priority: the least important first, of these the last that began.

        Only jobs that are safe to repeat go; nothing goes if that would not be enough, or if the suspended
        ones would not find a place in the queue.
        """
        how = self.pool.preempt
        if how == "none" or self.pool.order != "priority":
            return False
        slots, memory = self._slots_used + job.slots, self._memory_used + job.spec.memory
        victims: list[_Job] = []
        lower = [j for j in self._held.values() if j.spec.repeatable and j.spec.priority < job.spec.priority]
        for victim in sorted(reversed(lower), key=lambda j: j.spec.priority):
            if slots <= self.slots and memory <= self.pool.memory:
                break
            victims.append(victim)
            slots -= victim.slots
            memory -= victim.spec.memory
        if slots > self.slots or memory > self.pool.memory:
            return False
        if how == "suspend" and self._waits - 1 + len(victims) > self.pool.queue:
            return False
        for victim in victims:
            if how == "kill":
                self._over(at, victim, "killed")
            else:
                self._release(victim)
                self._wait(victim)
        return True

    def _release(self, job: _Job) -> None:
        """It gives up its slots, with what it has done."""
        if job.at is At.RUNNING:
            self._stop(job)
        self._slots_used -= job.slots
        self._memory_used -= job.spec.memory
        del self._held[job.seq]
        if not self._held:
            self._slots_used = self._memory_used = 0.0

    def _stop(self, job: _Job) -> None:
        left = max(0.0, job.goal - self._progress)
        self._worked_off((job.left - left) * job.slots)
        job.left, job.entry = left, 0
        self._busy -= job.slots
        if len(self._running) > 2 * len(self._held) + 64:
            self._running = [e for e in self._running if e[1] == e[2].entry]
            heapify(self._running)

    # ---- ends and what is told

    def _finish(self, at: float, job: _Job) -> None:
        nonce = self.rng.getrandbits(32)
        failed = self.rng.random() < self.error_rate and self.error_class in ("", job.spec.job_class)
        result = "" if failed else f"{self.name}/{self.epoch}/{job.spec.id}/{nonce:08x}"
        if self.pool.checkpoint_s > 0:
            self.store.forget(job.spec.id)
        self._over(at, job, "failed" if failed else "done", result)

    def _over(
        self,
        at: float,
        job: _Job,
        how: Literal["done", "failed", "returned", "killed", "cancelled"],
        result: str = "",
    ) -> None:
        if job.seq in self._held:
            self._release(job)
        elif job.at is At.WAITING and not self.pool.answers_at_once:
            self._waits -= 1
        job.at = At.OVER
        if job.unseen:
            del self._unseen[job.seq]
            return
        del self._jobs[job.spec.id]
        self._note(at, job, how, result)
        if how != "cancelled":
            report = self.load(at) if self.pool.reports else None
            state: Literal["done", "failed", "returned", "lost"] = "lost" if how == "killed" else how
            self._out.append(Told(at, job.spec.id, state, 0.0, result, report))

    def _note(
        self,
        at: float,
        job: _Job,
        how: Literal["done", "failed", "returned", "killed", "cancelled"],
        result: str = "",
    ) -> None:
        self._out.append(records.Ended(job.spec.id, self.name, self.epoch, at, how, result))

    def _tell_start(self, at: float, job: _Job) -> None:
        job.began = True
        self._out.append(records.Began(job.spec.id, self.name, self.epoch, at))
        if self.pool.tells_start and not job.unseen:
            self._out.append(Told(at, job.spec.id, "started"))

    def _tell_progress(self, at: float, job: _Job) -> None:
        """Of a job that holds its slots, at a server that does not stand still."""
        if job.at is not At.WAITING and not job.unseen and self._rate > 0:
            left = max(0.0, job.goal - self._progress) if job.at is At.RUNNING else job.left
            share = 1 - left / job.spec.work if job.spec.work > 0 else 0.0
            self._out.append(Told(at, job.spec.id, "running", share))
        self._timer(at + self.pool.progress_s, "progress", job)

    # ---- load reports

    def _state(self) -> dict[str, float]:
        return {
            "inflight": float(len(self._held)),
            "queue": float(self._waits),
            "util": min(1.0, self._busy / self.pool.cores),
            "free_slots": self.slots - self._slots_used,
            "free_memory": self.pool.memory - self._memory_used,
        }

    def _take_report(self, now: float) -> None:
        """Taken every report_delay_s; nothing has changed since the last event, so it needs no timer."""
        state = self._state()
        skipped = now - self._tick >= self.pool.report_delay_s
        before = self._reports[1] if self._reports and not skipped else state
        self._reports = (before, state)
        period = self.pool.report_delay_s
        self._tick = self._tick + period * (1 + (now - self._tick) // period) if period > 0 else now

    def load(self, now: float) -> dict[str, float]:
        """The load as it is told: one to two report_delay_s old, each figure noisy (1 sigma)."""
        if self.pool.report_delay_s <= 0:
            told = self._state()
        else:
            if now >= self._tick:
                self._take_report(now)
            told = self._reports[0] if self._reports else self._state()
        noise, gauss = self.pool.report_noise, self._noise.gauss
        return {k: max(0.0, v * (1 + noise * gauss(0, 1))) if v and noise else v for k, v in told.items()}
