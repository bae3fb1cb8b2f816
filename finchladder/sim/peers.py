"""Simulation of peer communication on virtual time: partitions, loss, delay, duplicates and process deaths.

It runs the decisions of `core/peers` unmodified, with a clock of its own speed for each process, and compares
their state with the true state:

| rule | what must hold |
| --- | --- |
| rights | the shares of a budget that all may use at one moment add up to at most the limit |
| window | the tokens taken by all in any WINDOW_S stay within limit x (1 + e), as in bucket.py |
| never zero | every running dispatcher has a share above 0, whatever it receives |
| once | the spending a dispatcher stores for an incarnation never decreases or exceeds the true value |
| bounded | no table exceeds its limit, no packet exceeds its size |
| heals | HEAL_S after the last fault dispatchers see running peers as alive and dead ones as gone |

A run depends only on its seed: it uses no real clock, no threads and no hash order.
"""

from collections import deque
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from heapq import heappop, heappush
from itertools import islice
from random import Random
from typing import NamedTuple

from finchladder.core.peers import bucket, escrow
from finchladder.core.peers.exchange import ExchangeSettings, Peers
from finchladder.core.peers.membership import Timing
from finchladder.core.peers.messages import MAX_PAYLOAD_BYTES, MemberStatus, Packet

KINDS = ("split", "split", "one_way", "loss", "late", "double", "kill", "kill", "pause", "shift")
WINDOW_S = 1.0
LATENCY_S = 0.002
BUFFER = 256  # packets kept for a paused process
HEAL_S = 40.0
# seconds between two checks of the shares while no token is taken; short enough to miss no wrong share, as
# one lasts at least for a lease's margin
SHARE_CHECK_INTERVAL_S = 0.02
MAX_ABSENCE_S = 60.0  # a process that is down for longer counts as gone for good
BUDGET = "retry:all"


class Broken(NamedTuple):
    rule: str
    at: float
    text: str


class World(NamedTuple):
    """The drawn environment. Times are seconds from the start."""

    dispatchers: int
    limit: float  # of the only budget, tokens per second
    demand: float  # requested tokens per second in total
    skew: float  # 0: spread evenly; 1: all at one dispatcher
    for_s: float
    faults: tuple["Fault", ...]


class Fault(NamedTuple):
    kind: str  # split, one_way, loss, late, double, kill, pause, shift
    at: float
    for_s: float
    size: float
    who: tuple[int, ...]  # affected dispatchers; for a split, one side


def draw(seed: int, most: int = 9) -> World:
    r = Random(f"{seed}/peers world")
    n = r.randint(3, most)
    faults: list[Fault] = []
    for _ in range(r.randint(2, 6)):
        kind = r.choice(KINDS)
        who = tuple(r.sample(range(n), r.randint(1, max(1, n - 1))))
        size = {"loss": r.choice((0.1, 0.3, 0.6)), "late": r.choice((0.5, 5.0)), "double": 0.5}.get(kind, 1.0)
        for_s = r.choice((0.3, 3.0, 12.0, 500.0)) if kind in ("kill", "pause") else r.uniform(2.0, 20.0)
        faults.append(Fault(kind, r.uniform(5.0, 40.0), for_s, size, who))
    limit = r.choice((0.5, 5.0, 50.0))
    return World(n, limit, limit * r.choice((0.3, 1.0, 3.0)), r.choice((0.0, 0.5, 0.95)), 60.0, tuple(faults))


def packet_bytes(p: Packet) -> int:
    part = p.partial_sum.size_bytes if p.partial_sum is not None else 0
    return part + sum(
        r.size_bytes for some in (p.updates, p.rows, p.grants, p.returns, p.orders) for r in some
    )


class Found(NamedTuple):
    steps: int
    broken: Broken | None


def play_seed(seed: int) -> tuple[int, Found]:
    play = Play(seed)
    broken = play.run()
    return seed, Found(play.steps, broken)


def search(
    seeds: range, jobs: int, go_on: Callable[[], bool], play: Callable[[int], tuple[int, Found]] = play_seed
) -> Iterator[tuple[int, Found]]:
    """Yields the result of each seed in order; starts more seeds while `go_on` returns True."""
    rest = iter(seeds)
    with ProcessPoolExecutor(jobs) as pool:
        while go_on() and (some := list(islice(rest, 4 * jobs))):
            yield from pool.map(play, some)


class Process:
    """One incarnation of a dispatcher, with a random clock offset and a drift of up to MAX_CLOCK_DRIFT."""

    def __init__(self, play: "Play", index: int, incarnation: int) -> None:
        r = Random(f"{play.seed}/{index}/{incarnation}")
        self.play, self.index, self.incarnation, self.name = play, index, incarnation, f"n{index + 1}"
        self.begun = play.now
        self.speed = 1 + r.uniform(-1, 1) * escrow.MAX_CLOCK_DRIFT * 0.99
        self.offset = r.uniform(0, 1e6)
        # a wall clock may be an hour off, so a later process may start with a lower incarnation number
        wall = 1_700_000_000 + play.now + r.choice((0.0, 0.0, -3600.0, 3600.0))
        self.paused = False
        self.queued_packets: deque[Packet] = deque(maxlen=BUFFER)
        self.believed: dict[tuple[str, int], float] = {}
        self.peers = Peers(
            self.name,
            play.names,
            r.getrandbits(60),
            int(wall * 1000),
            self.clock(),
            ExchangeSettings(play.timing, play.wave_s),
            lambda: {7: float(index + 1)},
        )
        self.tokens = self.peers.register_budget(BUDGET, play.world.limit, self.clock())

    def clock(self) -> float:
        return self.offset + (self.play.now - self.begun) * self.speed

    def send(self, packets: list[tuple[str, Packet]]) -> None:
        for to, packet in packets:
            if packet_bytes(packet) > MAX_PAYLOAD_BYTES:
                self.play.break_("bounded", f"a packet of {self.name} takes {packet_bytes(packet)} bytes")
            self.play.carry(self, to, packet)

    def hear(self, packet: Packet) -> None:
        if self.paused:
            self.queued_packets.append(packet)
        else:
            self.send(self.peers.receive(self.clock(), packet))

    def turn(self) -> None:
        if not self.paused:
            self.send(self.peers.tick(self.clock()))

    def next_in(self) -> float:
        return max(0.0005, (self.peers.next_due() - self.clock()) / self.speed)


class Play:
    heal_s = HEAL_S

    def __init__(
        self, seed: int, world: World | None = None, timing: Timing | None = None, wave_s: float = 0.0
    ) -> None:
        self.seed, self.world = seed, world or draw(seed)
        self.timing, self.wave_s = timing or Timing(), wave_s
        self.names = [f"n{i + 1}" for i in range(self.world.dispatchers)]
        self.random = Random(f"{seed}/play")
        self.now, self.serial, self.steps = 0.0, 0, 0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.broken: Broken | None = None
        self.alive: dict[int, Process] = {}
        self.incarnations = [0] * self.world.dispatchers
        self.links: list[Fault] = []  # active faults of links
        self.shift = 0
        self.next_share_check_at = 0.0
        self.taken: deque[tuple[float, int]] = deque()
        self.most_taken = self.total_taken = self.checked_count = 0
        self.sent = self.lost = 0
        self.spent: dict[tuple[str, int], int] = {}  # tokens actually taken, by process name and boot number

    def at(self, when: float, what: Callable[[], None]) -> None:
        self.serial += 1
        heappush(self.queue, (when, self.serial, what))

    # --- the environment

    def start(self, index: int) -> None:
        self.incarnations[index] += 1
        self.alive[index] = process = Process(self, index, self.incarnations[index])
        self._run_turns(process)

    def _run_turns(self, process: Process) -> None:
        if self.alive.get(process.index) is process:
            process.turn()
            self.at(self.now + process.next_in(), lambda: self._run_turns(process))

    def carry(self, sender: Process, to: str, packet: Packet) -> None:
        self.sent += 1
        index = int(to[1:]) - 1
        copies, late = 1, LATENCY_S * (1 + self.random.random())
        for f in self.links:
            out, into = sender.index in f.who, index in f.who
            cut = (f.kind == "split" and out != into) or (f.kind == "one_way" and out and not into)
            if cut or (f.kind == "loss" and self.random.random() < f.size):
                copies = 0
            elif f.kind == "late" and (out or into):
                late += self.random.random() * f.size
            elif f.kind == "double" and self.random.random() < f.size:
                copies += copies
        self.lost += not copies
        for n in range(min(copies, 4)):
            self.at(self.now + late * (1 + 3 * n), lambda: self._arrive(index, packet))

    def _arrive(self, index: int, packet: Packet) -> None:
        if (process := self.alive.get(index)) is not None:
            process.hear(packet)

    def strike(self, f: Fault) -> None:
        if f.kind == "kill":
            for i in f.who:
                self.alive.pop(i, None)
                self.at(self.now + f.for_s, lambda i=i: self.start(i) if i not in self.alive else None)  # type: ignore[misc]
        elif f.kind == "pause":
            for i in f.who:
                if (process := self.alive.get(i)) is not None:
                    process.paused = True
                    self.at(self.now + min(f.for_s, MAX_ABSENCE_S / 5), lambda p=process: self._wake(p))  # type: ignore[misc]
        elif f.kind == "shift":
            self.shift = f.who[0]
        else:
            self.links.append(f)
            self.at(self.now + f.for_s, lambda: self.links.remove(f))

    def _wake(self, process: Process) -> None:
        process.paused = False
        queued, process.queued_packets = process.queued_packets, deque(maxlen=BUFFER)
        if self.alive.get(process.index) is process:
            for packet in queued:
                process.hear(packet)

    def _take(self) -> None:
        w = self.world
        first = self.random.random() < w.skew
        index = self.shift if first else self.random.randrange(w.dispatchers)
        process = self.alive.get(index)
        if process is not None and not process.paused and process.tokens.take(process.clock()):
            self.total_taken += 1
            self.taken.append((self.now, index))
            incarnation = process.name, process.peers.boot
            self.spent[incarnation] = self.spent.get(incarnation, 0) + 1
        if self.now < w.for_s:
            self.at(self.now + self.random.expovariate(w.demand), self._take)

    # --- rules

    def _check_window(self) -> None:
        w = self.world
        if len(self.taken) == self.checked_count:  # no token was taken: only the shares need a check
            if self.now >= self.next_share_check_at:
                self.next_share_check_at = self.now + SHARE_CHECK_INTERVAL_S
                self._check_shares()
            return
        while self.taken and self.taken[0][0] <= self.now - WINDOW_S:
            self.taken.popleft()
        self.most_taken = max(self.most_taken, len(self.taken))
        self.checked_count = len(self.taken)
        # each may take its share of the window plus the contents of its bucket at the start of the window
        most = (w.limit * WINDOW_S + w.dispatchers + w.limit * bucket.TOKEN_TTL_S) * (
            1 + escrow.MAX_CLOCK_DRIFT
        )
        if len(self.taken) > most:
            self.break_("window", f"{len(self.taken)} in {WINDOW_S:g} s, and {most:.1f} is the most")

    def _check_shares(self) -> None:
        w = self.world
        rights = {i: p.peers.escrow.usable_rate(p.clock(), BUDGET) for i, p in self.alive.items()}
        allowed = sum(p.tokens.rate_at(p.clock()) for p in self.alive.values())
        if max(allowed, sum(rights.values())) > w.limit * (1 + 1e-9):
            both = f"{sum(rights.values()):.4f} by the escrows and {allowed:.4f} by the buckets"
            return self.break_("rights", f"{both} of {w.limit:g} a second")
        for i, right in rights.items():
            if right <= 0:
                return self.break_("never zero", f"n{i + 1} may use nothing")

    def _check_state(self) -> None:
        for p in self.alive.values():
            for owner, (row, _) in p.peers.rows.by_owner.items():
                told = sum(want.spent for want in row.demands)
                true = self.spent.get((owner, row.boot), 0)
                seen = p.believed.get((owner, row.boot), 0.0)
                if not seen <= told <= true:
                    text = f"{p.name} believes that {owner} spent {told:g}, after {seen:g}, of {true}"
                    return self.break_("once", text)
                p.believed[owner, row.boot] = told
            e, most = p.peers.escrow, escrow.MAX_GRANTS
            if max(len(e.lent_grants), len(e.borrowed_grants), len(e.returned_until) / 4) > most:
                return self.break_(
                    "bounded", f"{p.name} holds {len(e.lent_grants)} and {len(e.borrowed_grants)} grants"
                )
            if len(p.peers.rows.by_owner) > len(self.names) or len(p.peers.members.pending_pings) > 64:
                return self.break_("bounded", f"{p.name} holds more rows than there are names")

    def _healed(self) -> None:
        for p in self.alive.values():
            for name, m in p.peers.members.by_name.items():
                there = int(name[1:]) - 1 in self.alive
                if m.status is not (MemberStatus.ALIVE if there else MemberStatus.GONE):
                    state = "is there" if there else "has died"
                    return self.break_("heals", f"{p.name} holds {name}, which {state}, for {m.status.name}")

    def break_(self, rule: str, text: str) -> None:
        if self.broken is None:
            self.broken = Broken(rule, self.now, text)

    def run(self, heals: bool = True) -> Broken | None:
        for i in range(self.world.dispatchers):
            self.at(self.random.random(), lambda i=i: self.start(i))  # type: ignore[misc]
        for f in self.world.faults:
            self.at(f.at, lambda f=f: self.strike(f))  # type: ignore[misc]
        self.at(1.0, self._take)
        over = [f.at + min(f.for_s, MAX_ABSENCE_S) for f in self.world.faults]
        end = max([self.world.for_s, *over]) + (self.heal_s if heals else 0.0)
        check_at = 0.0
        while self.queue and self.broken is None:
            when, _, what = heappop(self.queue)
            if when > end:
                break
            self.now = max(self.now, when)
            self.steps += 1
            what()
            self._check_window()
            if self.now >= check_at:
                check_at = self.now + 0.5
                self._check_state()
        if self.broken is None and heals:
            self._healed()
        return self.broken
