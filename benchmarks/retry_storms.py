"""A fleet that fails for a while, under clients that retry at once: with and without a route's limits.

    python -m benchmarks.retry_storms [--seeds 3]

Virtual time: the decisions as they are, the lab's models of real servers, no network, and a dispatcher that
costs nothing. Attempts that were sent while the fleet failed, for each try of a client in that time, and for
each first try. `back`: seconds after the failure until from then on 19 of 20 jobs of each second are served
within SOON_S. Last, what part of the jobs that were wanted meanwhile was served in the end.
"""

import argparse
from collections import Counter
from collections.abc import Iterable
from multiprocessing import Pool as Workers
from random import Random
from statistics import mean
from typing import NamedTuple

from finchladder.core import api
from finchladder.core.api import Effect, Ending, JobClass
from finchladder.core.routing.limited_dispatcher import make_decisions
from finchladder.core.routing.routes import RetryBudget, Route, Routes
from finchladder.lab.experiment import Pool
from finchladder.lab.models.kernel import Kernel
from finchladder.lab.models.realserver import JobIn, RealServerModel, Told

VIEW = JobClass("view", Effect.SAFE, latency_target_s=0.3, deadline_s=5.0, run_time_allowance=2.0)
SETTINGS = api.Settings(
    (VIEW,),
    max_attempts=5,
    may_cancel=True,
    may_hedge=True,
    reports_start=True,
    max_retry_after_s=2.0,
    clock_tick_s=0.002,
)
SERVERS, CORES, WORK_S = 8, 2, 0.1
LOADS = (0.25, 0.6)  # of the fleet's capacity, by first tries
CALM_S, FAILS_S, AFTER_S, SOON_S = 5.0, 20.0, 10.0, 1.0
TRIES = 4  # of a client for one job
HOP_S, AT_ONCE_S = 0.001, 0.005
ENDS = {"done": Ending.OK, "failed": Ending.ERROR, "returned": Ending.OVERLOADED, "lost": Ending.BROKEN}


class Fault(NamedTuple):
    share: float  # of the jobs that fail while it lasts
    refused: bool = False  # turned away at once; else they run first


class Wish(NamedTuple):
    born: float
    work: float


class Figures(NamedTuple):
    of_tries: float
    of_firsts: float
    back_s: float
    served: float


class World:
    def __init__(self, routes: Routes | None, fault: Fault, load: float, seed: int, fails_s: float) -> None:
        self.kernel, self.random, self.fault = Kernel(), Random(seed), fault
        self.rate = load * SERVERS * CORES / WORK_S
        self.d = make_decisions(SETTINGS, seed, routes)
        self.route = routes.all[0].name if routes is not None else None
        pool = Pool(cores=CORES, queue=8, progress_s=0.0, reports=False)
        names = [f"w{n}" for n in range(SERVERS)]
        self.servers = {name: RealServerModel(name, "", pool, Random(f"{seed}/{name}")) for name in names}
        self.wakes: dict[str, float] = {}
        self.fails = CALM_S, CALM_S + fails_s
        self.end = self.fails[1] + AFTER_S
        self.wishes: dict[str, tuple[Wish, int]] = {}  # by the try's id: and which of its tries
        self.answered: dict[Wish, float] = {}
        self.out: dict[tuple[str, int], str] = {}  # attempts that have not ended
        self.sends = Counter[str]()
        self.sent_at: list[float] = []
        self.asked_at: list[float] = []
        self.firsts: list[Wish] = []
        self.serial = 0

    def play(self) -> Figures:
        entries = tuple(api.WorkerEntry(name, api.WorkerStatus.READY) for name in self.servers)
        for server in self.servers.values():
            server.start(0.0, cold=False)
        self.feed(api.WorkerList(api.ListKind.FULL, entries))
        for at, share in zip(self.fails, (self.fault.share, 0.0), strict=True):
            if not self.fault.refused:
                self.kernel.at(at, lambda share=share: self.fail(share))  # type: ignore[misc]
        self.arrive()
        self.kernel.run(self.end + VIEW.deadline_s + 1)
        assert not self.out and not self.wishes, "something is left over"
        return self.figures()

    def fail(self, share: float) -> None:
        for server in self.servers.values():
            server.set_error_rate(share)

    def counts(self) -> tuple[int, int, int]:
        """Attempts, clients' tries and their first tries while the fleet failed."""
        all_times = (self.sent_at, self.asked_at, [w.born for w in self.firsts])
        sends, tries, firsts = (sum(self.fails[0] <= t < self.fails[1] for t in times) for times in all_times)
        return sends, tries, firsts

    def figures(self) -> Figures:
        begin, over = self.fails
        sends, tries, firsts = self.counts()
        back = 0.0
        for second in range(int(AFTER_S)):
            jobs = [w for w in self.firsts if second <= w.born - over < second + 1]
            if sum(self.answered.get(w, 1e9) - w.born <= SOON_S for w in jobs) < 0.95 * len(jobs):
                back = second + 1.0
        during = [w in self.answered for w in self.firsts if begin <= w.born < over]
        return Figures(sends / tries, sends / firsts, back, mean(during))

    # --- clients

    def arrive(self) -> None:
        wish = Wish(self.kernel.now, self.random.expovariate(1 / WORK_S))
        self.firsts.append(wish)
        self.ask(wish, 1)
        after = self.random.expovariate(self.rate)
        if self.kernel.now + after < self.end:
            self.kernel.after(after, self.arrive)

    def ask(self, wish: Wish, tries: int) -> None:
        left = wish.born + VIEW.deadline_s - self.kernel.now
        if left < 0.05:
            return
        self.serial += 1
        id = f"r{self.serial}"
        self.wishes[id] = wish, tries
        self.asked_at.append(self.kernel.now)
        self.feed(api.Request(id, VIEW.name, left, route=self.route, is_client_retry=tries > 1))

    def refused(self, id: str) -> None:
        wish, tries = self.wishes.pop(id)
        if tries < TRIES:
            self.kernel.after(AT_ONCE_S, lambda: self.ask(wish, tries + 1))

    # --- the dispatcher and its fleet

    def feed(self, event: api.Event) -> None:
        for a in self.d.handle(self.kernel.now, event):
            if isinstance(a, api.SetTimer):
                self.kernel.after(a.delay_s, lambda token=a.token: self.feed(api.Timer(token)))  # type: ignore[misc]
            elif isinstance(a, api.Send):
                number = self.sends[a.request]
                self.sends[a.request] += 1
                self.out[a.request, number] = a.worker
                self.sent_at.append(self.kernel.now)
                self.kernel.after(HOP_S, lambda a=a, n=number: self.arrives(a, n))  # type: ignore[misc]
            elif isinstance(a, api.Cancel):
                self.kernel.after(0.0, lambda a=a: self.cancel(a))  # type: ignore[misc]
            elif isinstance(a, api.Reject | api.Fail):
                self.refused(a.request)

    def arrives(self, a: api.Send, number: int) -> None:
        if (a.request, number) not in self.out:
            return
        wish, server, now = self.wishes[a.request][0], self.servers[a.worker], self.kernel.now
        begin, over = self.fails
        turned = self.fault.refused and begin <= now < over and self.random.random() < self.fault.share
        if turned or server.submit(now, JobIn(a.request, VIEW.name, "", wish.work)) != "accepted":
            self.kernel.after(HOP_S, lambda: self.ended(a.request, number, Ending.OVERLOADED))
        self.touch(server)

    def cancel(self, a: api.Cancel) -> None:
        if (worker := self.out.get((a.request, a.attempt))) is not None:
            self.servers[worker].cancel(self.kernel.now, a.request)
            self.touch(self.servers[worker])
            self.ended(a.request, a.attempt, Ending.CANCELLED)

    def touch(self, server: RealServerModel) -> None:
        for action in server.advance(self.kernel.now):
            if isinstance(action, Told):
                self.kernel.after(HOP_S, lambda told=action: self.told(server.name, told))  # type: ignore[misc]
        due = server.next_due()
        if due is not None and not self.kernel.now < self.wakes.get(server.name, 0.0) <= due:
            self.wakes[server.name] = due
            self.kernel.at(max(self.kernel.now, due), lambda: self.touch(server))

    def told(self, worker: str, told: Told) -> None:
        number = next((n for (id, n), w in self.out.items() if id == told.id and w == worker), None)
        if number is None:
            return
        if told.state in ENDS:
            self.ended(told.id, number, ENDS[told.state])
        elif told.state == "started":
            self.feed(api.Started(told.id, number))

    def ended(self, id: str, number: int, ending: Ending) -> None:
        if self.out.pop((id, number), None) is None:
            return
        if ending is Ending.OK and id in self.wishes:
            self.answered[self.wishes.pop(id)[0]] = self.kernel.now
        self.feed(api.Ended(id, number, ending, id not in self.wishes, 0.0))


def route(share: float | None, repeats: bool = False) -> Routes:
    budget = RetryBudget(share, 1.0, repeats=repeats) if share is not None else None
    return Routes([Route("view", "view", attempts=3, retry_budget=budget)])


CASES: dict[str, Routes | None] = {
    "no route": None,
    "3 attempts": route(None),
    "budget 0.1": route(0.1),
    "budget 0.1, clients' repeats count": route(0.1, repeats=True),
}
FAULTS = {
    "half fail": Fault(0.5),
    "all fail": Fault(1.0),
    "half turned away": Fault(0.5, refused=True),
    "all turned away": Fault(1.0, refused=True),
}


def _one(task: tuple[float, str, str, int]) -> Figures:
    load, fault, case, seed = task
    return World(CASES[case], FAULTS[fault], load, seed, FAILS_S).play()


def table(rows: Iterable[tuple[float, str, str, list[Figures]]]) -> str:
    head = "| load | fleet | limits | sends a try | sends a first try | back, s | served |"
    lines = [head, "| --- | --- | --- | --- | --- | --- | --- |"]
    for load, fault, case, found in rows:
        spans = [f"{min(x):.2f} to {max(x):.2f}" for x in zip(*found, strict=True)]
        lines.append(f"| {load:g} | {fault} | {case} | " + " | ".join(spans) + " |")
    return "\n".join(lines)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    seeds = range(1, parser.parse_args().seeds + 1)
    points = [(load, fault, case) for load in LOADS for fault in FAULTS for case in CASES]
    tasks = [(*point, seed) for point in points for seed in seeds]
    with Workers(2) as workers:
        found = dict(zip(tasks, workers.map(_one, tasks, chunksize=1), strict=True))
    print(table((*point, [found[*point, seed] for seed in seeds]) for point in points))


if __name__ == "__main__":
    main()
