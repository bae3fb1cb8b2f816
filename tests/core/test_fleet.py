"""The indexes beside the scans that they replace, on random histories: the same state, the same choices."""

import json
import subprocess
import sys
from array import array
from collections import Counter
from random import Random

import pytest
from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st

from finchladder.config.options import Options
from finchladder.core import api
from finchladder.core.api import Effect, Ending, JobClass, ListKind, Settings, WorkerStatus
from finchladder.core.dispatch.dispatcher import Dispatcher
from finchladder.core.dispatch.job_schedule import JobSchedule
from finchladder.core.dispatch.key_frequency import MAX_KEYS, KeyFrequency
from finchladder.core.dispatch.placement import MAX_CANDIDATES
from finchladder.core.dispatch.records import Attempt, Job, Worker
from finchladder.core.dispatch.worker_index import Ring, WorkerIndex
from finchladder.core.timing_wheel import MAX_SLOTS_AHEAD, TimingWheel
from finchladder.features import snapshot
from finchladder.features.request_admission import Arrivals
from tests.core.oracle import OldPool, Scanning
from tests.helpers import Bench, entry, settings

CLASSES = (
    api.JobClass("safe", Effect.SAFE, latency_target_s=1.0, deadline_s=10.0, run_time_allowance=2.0),
    api.JobClass("unsafe", Effect.UNSAFE, latency_target_s=2.0, deadline_s=10.0),
    api.JobClass(
        "keyed",
        Effect.KEYED,
        latency_target_s=1.5,
        deadline_s=9.0,
        deduplication_scope=api.DeduplicationScope.ALL,
        deduplication_window_s=1.0,
        run_time_allowance=3.0,
    ),
    api.JobClass("gpu", Effect.SAFE, latency_target_s=1.0, deadline_s=5.0, kind="gpu"),
)
HISTORY_SETTINGS = settings(classes=CLASSES, zone="a", max_attempts=3, kinds=("", "gpu"), slow_start_s=5.0)
ENDINGS = [*Ending, *[Ending.OK] * 5]


class History:
    """A random day that several dispatchers live through; the first one's actions lead it on."""

    def __init__(self, random: Random, most: int, *dispatchers: Dispatcher) -> None:
        self.random, self.dispatchers = random, list(dispatchers)
        self.names = [f"w{i}" for i in range(1 + random.randrange(most))]
        self.now, self.serial, self.sends = 100.0, 0, 0
        self.timers: list[tuple[float, int]] = []
        self.out: list[tuple[str, int]] = []
        self.attempts = Counter[str]()
        self.log: list[list[api.Action]] = []
        self.hot = random.random() < 0.5

    def feed(self, event: api.Event) -> None:
        actions, *others = (d.handle(self.now, event) for d in self.dispatchers)
        for other in others:
            assert other == actions, (self.now, event)
        self.log.append(actions)
        for a in actions:
            if isinstance(a, api.SetTimer):
                self.timers.append((self.now + a.delay_s, a.token))
            elif isinstance(a, api.Send):
                self.out.append((a.request, self.attempts[a.request]))
                self.attempts[a.request] += 1
                self.sends += 1

    def wait(self, seconds: float) -> None:
        end = self.now + seconds
        while self.timers and min(self.timers)[0] <= end:
            due = min(self.timers)
            self.timers.remove(due)
            self.now = max(self.now, due[0])
            self.feed(api.Timer(due[1]))
        self.now = end

    def entry(self, name: str) -> api.WorkerEntry:
        pick = self.random
        return entry(
            name,
            pick.choice([WorkerStatus.READY] * 3 + list(WorkerStatus)),
            zone=pick.choice("ab"),
            kind=pick.choice(["", "", "gpu"]),
            cell=pick.randrange(2),
            weight=pick.random(),
            started_at=pick.choice([0.0, 0.0, 0.0, self.now - 4 * pick.random()]),
        )

    def step(self) -> None:
        pick, n = self.random, self.random.randrange(100)
        if n < 45:
            self.serial += 1
            key = 3 if self.hot and pick.randrange(2) else pick.choice([None, pick.randrange(40)])
            slots = pick.choice([1.0, 1.0, 0.3, 2.0])
            patience = pick.choice([0.01, 1.0, 4.0, 9.0])
            job_class = pick.choice(CLASSES).name
            self.feed(api.Request(f"r{self.serial}", job_class, patience, slots, key))
        elif n < 80 and self.out:
            at = pick.randrange(len(self.out))
            request, attempt = self.out[at]
            todo = pick.randrange(6)
            if todo < 2:
                self.feed(api.Started(request, attempt))
            elif todo == 2:
                self.feed(api.Progress(request, attempt, 0.5))
            else:
                del self.out[at]
                ending = pick.choice(ENDINGS)
                self.feed(api.Ended(request, attempt, ending, ending is Ending.OK, 0.1))
        elif n < 81:
            self.feed(api.LoopStall(pick.choice([0.01, 0.4, 2.0])))
        elif n < 82:
            self.feed(api.ClientDisconnected(f"r{pick.randrange(self.serial + 1)}"))
        elif n < 90:
            entries = tuple(self.entry(pick.choice(self.names)) for _ in range(1 + pick.randrange(4)))
            self.feed(api.WorkerList(ListKind.PATCH, entries))
        elif n < 92:
            kind = pick.choice([ListKind.FULL, ListKind.STALE])
            named = [self.entry(name) for name in self.names if pick.random() < 0.9]
            self.feed(api.WorkerList(kind, tuple(named)))
        else:
            self.wait(pick.choice([0.01, 0.1, 0.5, 3.0]) * pick.random())

    def begin(self) -> None:
        self.feed(api.WorkerList(ListKind.FULL, tuple(entry(n, zone="ab"[len(n) % 2]) for n in self.names)))


@examples(max_examples=60, deadline=None, derandomize=True, database=None)
@given(st.randoms(use_true_random=False))
def test_indexes_decide_as_scans_do(random: Random) -> None:
    day = History(random, 30, Dispatcher(HISTORY_SETTINGS, 5), Scanning(HISTORY_SETTINGS, 5))
    day.begin()
    for _ in range(60):
        day.step()


@pytest.mark.parametrize("seed", range(6))
def test_indexes_decide_as_scans_do_on_a_long_day_also_when_made_anew(seed: int) -> None:
    """Half way a third one is made from the state of the first: what it keeps follows from the records."""
    day = History(
        Random(seed),
        [4, 12, 14, 30, 40, 60][seed],
        Dispatcher(HISTORY_SETTINGS, 5),
        Scanning(HISTORY_SETTINGS, 5),
    )
    day.begin()
    for step in range(1000):
        day.step()
        if step == 500:
            arrivals, restored = Arrivals(Options(), 1), Dispatcher(HISTORY_SETTINGS, 9)
            state = json.loads(json.dumps(snapshot.take(day.dispatchers[0], arrivals), default=list))
            snapshot.restore(state, restored, arrivals)
            day.dispatchers.append(restored)
    assert day.sends > 50
    check_index(day.dispatchers[0])


def check_index(d: Dispatcher) -> None:
    """Each index holds what a scan finds, in its order, and nothing more."""
    for kind, pool in d.worker_index.pools.items():
        able = [w for w in d.workers.values() if w.is_ready and kind in (None, w.kind)]
        far = d.settings.zone
        assert list(pool.by_load(999)) == sorted(able, key=lambda w: (w.load, w.zone != far, w.position))
        assert pool.size == len(able)
        assert all(pool.levels.values())
        for ring, (points, owners) in zip(pool.rings, OldPool(able).rings, strict=True):
            assert [p for marks, _ in ring.arcs for p in marks] == points
            assert [w for _, row in ring.arcs for w in row] == owners
    open_jobs = [job for job in d.jobs.values() if not job.is_done]
    assert d.state.job_schedule.by_due_time.slot_of.keys() == {job.serial for job in open_jobs}
    held = {
        job.serial
        for groups in d.queues.by_class.values()
        for jobs in groups.values()
        for job in jobs.values()
    }
    assert {
        serial for wheel in d.state.job_schedule.queued_by_class.values() for serial in wheel.slot_of
    } == held
    assert d.state.job_schedule.queued_retries.keys() <= held


@pytest.mark.parametrize(("most", "steps"), [(12, 1200), (60, 1500)])
def test_the_least_loaded_is_as_little_loaded_as_the_one_that_a_scan_finds(most: int, steps: int) -> None:
    """Up to SAMPLE workers always; beyond, whenever one of the first SAMPLE by load may have the job."""
    d, seen = Dispatcher(HISTORY_SETTINGS, 5), Counter[str]()
    choose = d.placement._choose_least_loaded

    def checked(job: Job, pool: object) -> Worker | None:
        able = [w for w in d.workers.values() if w.is_ready and job.job_class.kind in (None, w.kind)]
        ordered = sorted(able, key=lambda w: (w.load, w.zone != d.settings.zone, w.position))
        fit = [w for w in ordered if d.placement.is_under_threshold(w) and d.rules.is_permitted(job, w)]
        found = choose(job, d.worker_index.pools[job.job_class.kind])
        if found is None:
            assert len(able) > MAX_CANDIDATES or not fit
        elif len(able) <= MAX_CANDIDATES or fit[0] in ordered[:MAX_CANDIDATES]:
            assert found is fit[0]
        else:
            assert found in fit
        before = [
            w for w in OldPool(able, seen["asked"] * MAX_CANDIDATES % (len(able) or 1)).sample() if w in fit
        ]
        seen["asked"] += 1
        for name, choice in (("", [found] if found else []), ("before: ", before)):
            load = min((w.load for w in choice), default=None)
            outcome = "missed" if load is None else "best" if load == fit[0].load else "other"
            seen[name + (outcome if fit else "none")] += 1
        return found

    d.placement._choose_least_loaded = checked  # type: ignore[method-assign]
    day = History(Random(most), most, d)
    day.names = [f"w{i}" for i in range(most)]
    day.begin()
    for _ in range(steps):
        day.step()
    poor, poor_before = (seen[which + "missed"] + seen[which + "other"] for which in ("", "before: "))
    assert seen["best"] > 50 and (poor < poor_before if most > MAX_CANDIDATES else not poor), seen


def test_the_same_day_under_another_hash_seed() -> None:
    code = (
        "from tests.core.test_fleet import *; from hashlib import sha256\n"
        "day = History(Random(2), 30, Dispatcher(HISTORY_SETTINGS, 5)); day.begin()\n"
        "for _ in range(500): day.step()\n"
        "print(sha256(repr(day.log).encode()).hexdigest())"
    )
    said = {
        subprocess.run([sys.executable, "-c", code], env={"PYTHONHASHSEED": seed}, capture_output=True).stdout
        for seed in ("1", "2")
    }
    assert len(said) == 1
    assert len(said.pop()) == 65


def fleet_of(*names: str) -> Bench:
    return Bench([entry(n) for n in names])


def test_what_is_kept_ends_with_the_worker() -> None:
    """Gone with load, it is kept until the first list after its last job; its successor is another record."""
    b = Bench(["a", "b"], max_attempts=1)
    name, [sent] = b.ask("safe")
    old = b.d.workers[sent.worker]
    b.end(name, Ending.ERROR)
    assert list(b.d.worker_index.suspects) == [old]
    other, _ = b.ask("unsafe", key=1), b.patch(*(entry(n, WorkerStatus.REMOVED) for n in "ab"))
    kept = [w for w in b.d.workers.values()]
    assert len(kept) == 1
    assert kept[0].load == 1
    assert not b.d.worker_index.pools[None].size
    b.end(other[0], Ending.ERROR)
    assert list(b.d.workers) == [kept[0].address]
    b.patch(entry("c"))
    assert list(b.d.workers) == ["c"]
    assert not b.d.worker_index.suspects
    assert not b.d.worker_index.departed
    b.d.worker_index.add_load(kept[0], 1.0)  # news of a job that was taken for lost
    b.d.worker_index.add_load(kept[0], -1.0)
    b.patch(entry(kept[0].address))
    assert b.d.workers[kept[0].address] is not kept[0]
    assert kept[0].pools == ()


def test_an_entry_of_another_weight_touches_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    b = fleet_of("a", "b")
    for change in ("update", "enter"):
        monkeypatch.setattr(
            WorkerIndex, change, lambda *a: pytest.fail("touched") if list(a[1:]) != [[]] else None
        )
    b.patch(entry("a", weight=9.0))
    b.feed(api.WorkerList(ListKind.FULL, (entry("b", weight=2.0), entry("a"))))


def test_two_marks_at_one_point_are_told_apart(monkeypatch: pytest.MonkeyPatch) -> None:
    ring: Ring[Worker] = Ring()
    a, b = (Worker(entry(n), 1.0) for n in "ab")
    for w in (a, b):
        ring.add(w, array("Q", [7, 1 << 63]))
    ring.remove(a, array("Q", [7, 1 << 63]))
    assert ring.owner(3) is ring.owner(1 << 62) is ring.owner(2**64 - 1) is b
    assert ring.size == 2


@pytest.mark.parametrize("first", [0, 1, 5, 63, 64])
def test_pairs_are_counted_exactly_up_to_far_off_and_by_marks_beyond(first: int) -> None:
    d = fleet_of(*(f"w{i}" for i in range(150))).d
    pairs = OldPool(list(d.workers.values())).pairs(8, 65)
    assert list(d.worker_index.pools[None].walk_pairs(8, 65, first)) == pairs[first:] + pairs[:first]
    far = list(d.worker_index.pools[None].walk_pairs(8, 75, 65))
    assert len(far) == 75
    assert far[10:] == pairs
    again = Counter(w.address for pair in far[:10] for w in pair)
    assert max(again.values()) == 1


def test_who_may_not_have_it_does_not_hide_who_may() -> None:
    """All that are cold and out of credit have no load; the others are found behind them."""
    b = Bench([entry(f"w{i}") for i in range(200)])
    for w in list(b.d.workers.values())[:150]:
        w.backoff_until = 1e9
    used = [b.ask()[1] for _ in range(50)]
    assert sum(map(len, used)) >= 45
    assert len({s.worker for sent in used for s in sent}) >= 30


def test_jobs_of_the_idle_go_round_and_nodes_walk_otherwise() -> None:
    walks = []
    for seed in (1, 2):
        b = Bench([entry(f"w{i}") for i in range(40)], seed=seed)
        walk = []
        for _ in range(40):
            name, [sent] = b.ask()
            walk.append(sent.worker)
            b.serve(name)
        assert len(set(walk)) == 40
        walks.append(walk)
    assert walks[0] != walks[1]


def test_held_jobs_that_may_have_run_are_due_once_no_retry_is_left() -> None:
    agenda, waits = JobSchedule(["safe"], 0.05), {"safe": 9.0}
    for serial in range(2):
        job = Job(api.Request(f"r{serial}", "safe", 9.0), CLASSES[0], 100.0, serial, 3)
        job.attempts += [Attempt(Worker(entry("w"), 2.0), 100.0, 100.0)] * serial
        agenda.add_queued(job)
    agenda.pop_due(100.5, waits, no_retries=False)  # a first look may be early for all
    assert [job.serial for job in agenda.pop_due(101.0, waits, no_retries=True)] == [1]
    assert agenda.pop_due(101.1, waits, no_retries=False) == []
    agenda.remove_queued(job)
    assert agenda.pop_due(101.2, waits, no_retries=True) == []


def test_key_counts_stay_bounded_and_forget_what_is_no_longer_asked_for() -> None:
    settings = Settings(classes=(JobClass("safe", Effect.SAFE, latency_target_s=1.0, deadline_s=5.0),))
    counts, largest = KeyFrequency(settings, 1), 0
    for n in range(30_000):
        counts.add(n)
        if n % 1000 == 0:
            counts.decay()
        largest = max(largest, len(counts.counts))
    assert largest < 4000  # each is remembered for two turns of 1000
    for n in range(2 * MAX_KEYS):
        counts.add(-n)
    assert len(counts.counts) == MAX_KEYS
    assert counts.count(1 - 2 * MAX_KEYS) == 0
    for _ in range(3):
        counts.decay()
    for n in range(MAX_KEYS):
        counts.add(1 + n % 10)
        counts.add(-3 * MAX_KEYS - n % 3)
    assert len(counts.counts) <= MAX_KEYS - 8
    assert counts.count(1) == MAX_KEYS // 10 + 1
    for n in range(MAX_KEYS - 10):
        counts.add(n)
    assert all(counts.count(n) for n in range(MAX_KEYS - 10))


def test_a_wheel_hands_out_in_time_and_keeps_few_slots() -> None:
    wheel, random, held = TimingWheel[int](0.5), Random(4), dict[int, float]()
    for n in range(4000):
        at = n / 10 + random.choice([0.1, 3.0, 1e5, float("inf")]) * random.random()
        wheel.put(n % 700, n, at)
        held[n % 700] = at
        if n % 3 == 0:
            wheel.drop(n % 500)
            held.pop(n % 500, None)
        if n % 10 == 0:
            due = [key for key, at in held.items() if at <= n / 10]
            out = {thing % 700 for thing in wheel.pop_due(n / 10)}
            assert out.issuperset(due)
            for key in out - set(due):
                wheel.put(key, key, held[key])
            for key in due:
                del held[key]
        assert len(wheel) == len(held)
        assert len(wheel.slots) == len(wheel.slot_heap) <= MAX_SLOTS_AHEAD + 2
