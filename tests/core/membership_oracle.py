"""Oracle of membership, a second implementation of its rules: each step replays all reports on all entries.

It has no state tables, no indexes and no timers: it is evaluated at every tick of the clock, and determines
pending lists, the leader and held workers by plain conditions. `python -m tests.core.membership_oracle 5`
checks all histories of five actions.
"""

import copy
import pickle
import sys
from dataclasses import dataclass, field
from math import inf
from random import Random
from typing import NamedTuple

from finchladder.core import api
from finchladder.core.membership.decisions import Decision, Membership, MembershipSettings, Report, Source

R, D, G = api.WorkerStatus.READY, api.WorkerStatus.DRAINING, api.WorkerStatus.REMOVED
TICK = 0.5  # times are multiples of this, so that sums are exact
CALM_S, LEFT_S = 1.0, 300.0


class Word(NamedTuple):
    state: api.WorkerStatus
    born: float = 0.0
    port: int = 80  # 0: no address


@dataclass
class Telling:
    at: float
    epoch: str
    version: int
    whole: bool
    words: dict[str, Word]
    drained: dict[str, Word] = field(
        default_factory=dict
    )  # draining entries of workers that the report removes


@dataclass
class Src:
    name: str
    quiet_s: float
    past: bool
    heard: float = 0.0
    good: float = 0.0  # time at which it was last live
    live_since: float | None = None
    doubt_since: float | None = None
    log: list[Telling] = field(default_factory=list)  # committed reports, in order
    wait: list[Telling] = field(default_factory=list)

    def listed(self) -> bool:
        return bool(self.log)

    def fold(self) -> tuple[dict[str, Word], dict[str, tuple[float, Word]], dict[str, tuple[float, Word]]]:
        """Returns its table, its departures, and its draining notices from before a restart of the source."""
        table: dict[str, Word] = {}
        left: dict[str, tuple[float, Word]] = {}
        kept: dict[str, tuple[float, Word]] = {}
        last: Telling | None = None
        for t in self.log:
            anew = last is not None and (t.epoch != last.epoch or t.version < last.version)
            after = {n: w for n, w in table.items() if not t.whole} | t.words
            after = {n: w for n, w in after.items() if w.state is not G}
            for n in table.keys() | after.keys() | t.drained.keys():
                old, new = table.get(n), after.get(n)
                old = t.drained.get(n, old) if new is None else old
                if old == new:
                    continue
                left.pop(n, None)
                kept.pop(n, None)
                if old is not None and new is None and (old.state is D or not anew):
                    left[n] = t.at, old
                if anew and old is not None and new is not None and (old.state, new.state) == (D, R):
                    kept[n] = t.at, old
            table, last = after, t
        return table, left, kept

    def behind(self) -> bool:
        w, last = self.wait, self.log[-1] if self.log else None
        return bool(w and last and w[0].whole and w[-1].epoch == last.epoch and w[-1].version < last.version)

    def take(self, now: float) -> None:
        """Commits all pending reports as one."""
        words: dict[str, Word] = {}
        drained: dict[str, Word] = {}
        for t in self.wait:
            for n, w in t.words.items():
                if w.state is G and n in words and words[n].state is D:
                    drained[n] = words[n]
            words |= t.words
        if self.wait:
            last, whole = self.wait[-1], self.wait[0].whole
            self.log.append(Telling(now, last.epoch, last.version, whole, words, drained))
            self.wait = []

    def tell(self, now: float, told: Telling | None, in_step: bool, before: bool) -> None:
        if before:
            if not self.log and not self.wait and told is not None:
                self.good, self.wait = now, [told]
                self.take(now)
            return
        self.heard = now
        if told is not None and told.whole:
            self.wait = [told]
        elif told is not None:
            before_it = self.wait or self.log
            if not before_it or told.epoch != before_it[-1].epoch or told.version < before_it[-1].version:
                return
            self.wait = [*self.wait, told]
        if not self.log and not self.wait:
            return
        if self.behind():
            self.live_since = None
            self.doubt_since = now if self.doubt_since is None else self.doubt_since
        elif in_step or self.live_since is not None or self.doubt_since is not None:
            self.live_since = now if self.live_since is None else self.live_since
            self.doubt_since, self.good = None, now
            self.take(now)

    def time(self, now: float, s: MembershipSettings, old: bool) -> None:
        if self.doubt_since is not None and (old or now >= self.doubt_since + s.back_s):
            self.live_since, self.doubt_since, self.good = now, None, now
            self.take(now)
        if now >= self.heard + self.quiet_s:
            self.live_since = self.doubt_since = None


class Oracle:
    def __init__(self, sources: list[Source], s: MembershipSettings) -> None:
        self.s, self.old = s, False
        self.all = [Src(x.name, x.silence_timeout_s, x.is_stored_list) for x in sources]
        self.lead: Src | None = None
        self.shown: dict[str, tuple[str, Word]] = {}  # state (ready, draining, held or damped) and entry
        self.gone: dict[str, tuple[float, Word]] = {}  # removed within the window, and applied
        self.holding, self.held_at, self.back_at = False, 0.0, 0.0
        self.stops: dict[str, list[float]] = {}  # times at which each worker stopped being ready
        self.steady: dict[str, float] = {}

    def ready(self) -> dict[str, Word]:
        return {n: w for n, (kind, w) in self.shown.items() if kind in ("ready", "held")}

    def step(
        self,
        now: float,
        who: str = "",
        told: Telling | None = None,
        in_step: bool = True,
        before: bool = False,
    ) -> None:
        was = set(self.ready())
        for x in self.all:
            x.time(now, self.s, self.old)
        for x in self.all:
            if x.name == who:
                x.tell(now, copy.deepcopy(told), in_step, before)
        self.choose(now)
        if self.lead is not None:
            self.judge(now, self.lead)
        self.guard(now)
        free = [n for n, t in self.steady.items() if now >= t + self.s.flap_hold_s or not self.ready()]
        for n in free:
            self.shown[n] = "ready", self.shown[n][1]
            del self.steady[n]
        for n in was - self.ready().keys():
            self.stops.setdefault(n, []).append(now)

    def choose(self, now: float) -> None:
        live = [x for x in self.all if x.live_since is not None]
        if live:
            self.old = False
        elif self.lead is not None and now >= self.lead.good + self.s.max_age_s:
            self.old = True
        cur = self.lead
        if cur is None:
            self.lead = next(iter(live or [x for x in self.all if x.listed()]), None)
        elif cur.live_since is not None or (cur.doubt_since is not None and not self.old):
            better = self.all[: self.all.index(cur)]
            ripe = [x for x in better if x.live_since is not None and now >= x.live_since + self.s.settle_s]
            self.lead = next(iter(ripe), cur)
        elif live:
            self.lead = live[0]

    def judge(self, now: float, lead: Src) -> None:
        folded = {x.name: x.fold() for x in self.all}
        others = [x for x in self.all if x is not lead and x.live_since is not None]
        drains: dict[str, float] = {}  # the latest draining incarnation
        for x in self.all:
            lately = x.live_since is not None or now < x.good + self.s.max_age_s
            if x is not lead and (x.past or not x.listed() or not lately):
                continue
            table, left, kept = folded[x.name]
            marks = [(n, w) for m in (left, kept) for n, (at, w) in m.items() if now < at + LEFT_S]
            doubted: dict[str, Word] = {}
            for t in x.wait if x.doubt_since is not None else []:
                doubted |= t.words
            for n, w in [*table.items(), *marks, *doubted.items()]:
                if w.state is D:
                    drains[n] = max(w.born, drains.get(n, -inf))
        table = folded[lead.name][0]
        for n in sorted({*table, *self.shown, *self.gone}):
            kind, old = self.shown.get(n, ("absent", Word(G)))
            word = table.get(n)
            known_gone = any(now < folded[x.name][1].get(n, (-inf,))[0] + LEFT_S for x in others)
            if word is None or not word.port:
                self.missing(now, n, kind, old, drains.get(n, -inf), known_gone)
                continue
            for x in others:
                theirs = folded[x.name][0].get(n)
                newest = word.born if word.born < inf else -1.0
                if theirs is not None and theirs.port and newest < theirs.born < inf:
                    word = theirs
            if n in self.gone:
                del self.gone[n]
            if kind == "held":
                self.back_at = now
            times = [t for t in self.stops.get(n, [])[-self.s.flap_most :] if now < t + self.s.flap_window_s]
            kept_born = Word(word.state, (old.born if kind != "absent" else 0.0), word.port)
            shown = kept_born if word.born == inf else word
            if drains.get(n, -inf) >= word.born:
                self.shown[n] = "draining", shown
                self.steady.pop(n, None)
            elif kind == "damped" or (kind in ("absent", "draining") and len(times) == self.s.flap_most):
                self.shown[n] = "damped", shown
                self.steady.setdefault(n, now)
            else:
                self.shown[n] = "ready", shown

    def missing(self, now: float, n: str, kind: str, old: Word, drains: float, left: bool) -> None:
        if kind == "absent":
            if n in self.gone and (left or drains >= self.gone[n][1].born):
                del self.gone[n]
        elif kind in ("draining", "damped") or drains >= old.born or left:
            self.gone.pop(n, None)
            self.steady.pop(n, None)
            del self.shown[n]
        elif self.holding:
            self.shown[n] = "held", old
        else:
            self.gone[n] = now, old
            del self.shown[n]

    def guard(self, now: float) -> None:
        s, listed = self.s, [n for n, (kind, _) in self.shown.items() if kind != "draining"]
        if not self.holding:
            self.gone = {n: g for n, g in self.gone.items() if now < g[0] + s.vanish_window_s}
            if len(self.gone) > s.max_vanish * (len(listed) + len(self.gone)):
                self.holding, self.held_at, self.back_at = True, now, now
                self.shown |= {n: ("held", w) for n, (_, w) in self.gone.items()}
                self.gone = {}
        if not self.holding:
            return
        held = [n for n, (kind, _) in self.shown.items() if kind == "held"]
        listed = [n for n, (kind, _) in self.shown.items() if kind != "draining"]
        few = len(held) <= s.max_vanish * len(listed) and now >= self.back_at + CALM_S
        if held and not few and now >= self.held_at + s.hold_s:
            self.held_at = now
            if any(kind == "ready" for kind, _ in self.shown.values()):
                others = [x for x in self.all if x is not self.lead and x.live_since is not None]
                there = {n for x in others for n, w in x.fold()[0].items() if w.port}
                self.shown = {n: v for n, v in self.shown.items() if v[0] != "held" or n in there}
                self.guard(now)
        elif few or not held:
            self.shown = {n: v for n, v in self.shown.items() if v[0] != "held"}
            self.holding = False


# --- comparison of both -------------------------------------------------------------------------------------


@dataclass
class Act:
    """Action of one source, or (without a source) the passing of time."""

    who: str = ""
    words: dict[str, Word] | None = None  # None: a heartbeat only
    step: int = 1  # increase of its version
    whole: bool = False
    in_step: bool = True
    before: bool = False
    epoch: str = ""
    ticks: int = 0


class Pair:
    """Runs `Membership`, called when due, in parallel with the oracle, called at every tick."""

    def __init__(self, sources: list[Source], s: MembershipSettings) -> None:
        self.m, self.o = Membership(sources, s), Oracle(sources, s)
        self.now = 0.0
        self.versions = {x.name: 10 for x in sources}
        self.told: dict[str, tuple[api.WorkerStatus, float, int]] = {}

    def play(self, act: Act) -> None:
        for _ in range(act.ticks):
            self.now += TICK
            while self.m.next_due <= self.now:
                self.apply(self.m.apply_due(self.now))
            self.o.step(self.now)
        if act.who:
            self.tell(act)
        self.compare()

    def tell(self, act: Act) -> None:
        if act.words is None:
            self.apply(self.m.record_heartbeat(self.now, act.who, act.in_step))
            return self.o.step(self.now, act.who, None, act.in_step)
        self.versions[act.who] += act.step
        version = self.versions[act.who]
        kind = api.ListKind.FULL if act.whole else api.ListKind.PATCH
        entries = tuple(api.WorkerEntry(n, w.state, started_at=w.born) for n, w in act.words.items())
        addresses = {n: ("127.0.0.1", w.port) for n, w in act.words.items() if w.port and w.state is not G}
        workers = api.WorkerList(api.ListKind.STALE if act.before else kind, entries)
        report = Report(act.who, version, workers, addresses, act.epoch, act.in_step)
        self.apply(self.m.report(self.now, report))
        told = Telling(self.now, act.epoch, version, act.whole, act.words)
        self.o.step(self.now, act.who, told, act.in_step, act.before)

    def apply(self, d: Decision) -> None:
        if d.workers.kind is not api.ListKind.PATCH:
            assert not self.told
        for e in d.workers.entries:
            if e.state is G:
                del self.told[e.worker]
            else:
                self.told[e.worker] = e.state, e.started_at, d.addresses[e.worker][1]

    def compare(self) -> None:
        ready = self.o.ready()
        assert {n: s for n, (s, *_) in self.told.items()} == {n: R if n in ready else D for n in self.o.shown}
        assert {n: v[1:] for n, v in self.told.items()} == {n: w[1:] for n, (_, w) in self.o.shown.items()}
        beliefs = {n: b.state.value for n, b in self.m.members.items()}
        assert beliefs == {n: kind for n, (kind, _) in self.o.shown.items()}
        assert (self.m.leader and self.m.leader.source.name) == (self.o.lead and self.o.lead.name)
        assert self.m.mass_removal_guard.is_protecting == self.o.holding


ABC = {n: Word(R) for n in "abc"}
ACTS = [
    Act("etcd", ABC, whole=True),
    Act("etcd", {"a": Word(D)}),
    Act("etcd", {"a": Word(G)}),
    Act("etcd", {"a": Word(R)}, in_step=False),
    Act("etcd", {"a": Word(R)}, whole=True),
    Act("etcd", {"a": Word(R), "b": Word(D)}, step=-2, whole=True),
    Act("discovery", {"a": Word(D)}),
    Act("discovery", {"a": Word(G), "b": Word(G)}),
    Act("discovery", {"a": Word(R, 5.0)}),
    Act("discovery", ABC, whole=True),
    Act(ticks=1),
    Act(ticks=4),
]
SOURCES = [Source("etcd", 3.0), Source("discovery", 3.0)]
SMALL = MembershipSettings(settle_s=1.0, flap_most=1, hold_s=10.0)


def check_all(depth: int, first: list[Act], of: Pair | None = None, so_far: tuple[int, ...] = ()) -> int:
    """Checks all histories of `depth` actions after the first ones, and returns their number."""
    if of is None:
        of = Pair(SOURCES, SMALL)
        for act in first:
            of.play(act)
    stored, found = pickle.dumps(of), 0
    for n, act in enumerate(ACTS):
        pair = pickle.loads(stored)
        try:
            pair.play(act)
        except Exception as e:
            raise AssertionError(f"history {(*so_far, n)}") from e
        found += check_all(depth - 1, first, pair, (*so_far, n)) if depth > 1 else 1
    return found


BOTH = [Act("etcd", ABC, whole=True), Act("discovery", ABC, whole=True)]

PAST = Source("last good", is_stored_list=True)


def random_history(random: Random) -> tuple[MembershipSettings, list[Act]]:
    """Three sources, six real servers; also what no honest source would tell."""
    pick = random.choice
    rules = MembershipSettings(
        max_vanish=pick([0.3, 0.5, 1.0]),
        vanish_window_s=pick([1.0, 10.0]),
        hold_s=20.0,
        max_age_s=pick([60.0, 3600.0]),
        settle_s=pick([0.0, 2.0]),
        back_s=pick([0.0, 1.5, 8.0]),
        flap_most=pick([1, 2]),
        flap_hold_s=pick([0.5, 1.5]),
    )
    acts = BOTH * pick([0, 1])
    for _ in range(random.randint(8, 25)):
        if random.random() < 0.3:
            acts.append(Act(ticks=pick([1, 2, 3, 5, 8, 20, 40, 150, 620])))
            continue
        words = {
            name: Word(pick([R, R, D, G]), pick([0.0, 0.0, 3.0, 8.0, inf]), pick([80, 80, 80, 81, 0]))
            for name in "abcdef"
            if random.random() < 0.45
        }
        acts.append(
            Act(
                pick(["etcd", "etcd", "discovery", "discovery", "last good"]),
                words if random.random() < 0.85 else None,
                pick([1, 1, 1, 1, 0, -1, -3]),
                random.random() < 0.35,
                random.random() < 0.7,
                random.random() < 0.1,
                pick([""] * 9 + ["x"]),
            )
        )
    return rules, acts


if __name__ == "__main__":
    print(check_all(int(sys.argv[1]), BOTH))
