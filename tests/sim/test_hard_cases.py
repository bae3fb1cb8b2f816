"""Rare orders of events, each as a plan: the order must occur and violate no rule."""

from typing import Any

import pytest

from finchladder.lab.experiment import Callbacks, Discovery, Experiment, JobClass, Load, Phase, Pool, Retries
from finchladder.sim.plan import BOOT_S, SETTLE_S, Fault, Job, Plan, World
from finchladder.sim.run import Outcome, Run, Seen

CLASSES = [
    JobClass("view", "retryable", aim_s=0.3, deadline_s=2.0, share=0.5),
    JobClass("confirm", "fragile", aim_s=0.6, deadline_s=2.0, share=0.5),
]


def plan(faults: list[Fault], job_class: str = "confirm", jobs: int = 4, dispatchers: int = 1) -> Plan:
    e = Experiment(
        name="hard",
        load=Load([Phase("all", 60.0)], retries=Retries("none")),
        dispatchers=dispatchers,
        pool=[Pool(count=3, cores=2, cold_for_s=1.0, progress_s=0.25)],
        job_class=CLASSES,
        callbacks=Callbacks(0.0, 0.0, 1.0),
        discovery=Discovery(delay_s=0.01),
    )
    calm = BOOT_S + 7.0 + SETTLE_S
    job_list = [Job(n, round(1.0 + 0.2 * n, 2), n % 2, job_class, f"k{n}", 0.05) for n in range(jobs)]
    job_list += [Job(jobs + n, calm + 0.2 * n, 0, "view", calm=True) for n in range(2)]
    for number, fault in enumerate(faults):
        fault.number = number
    return Plan(1, e, World(latency_s=0.002, jitter=0.0), job_list, faults, calm)


def play(p: Plan) -> tuple[Outcome, list[Seen]]:
    seen: list[Seen] = []
    outcome = Run(p, seen.append).play()
    assert outcome.violation is None, outcome.violation
    return outcome, seen


def those(seen: list[Seen], what: str, **fields: Any) -> list[float]:
    return [s.at for s in seen if s.what == what and fields.items() <= s.fields.items()]


@pytest.mark.parametrize("after_s", [0.0, 0.001, 0.0021, 0.004])
def test_a_real_server_dies_after_sending_a_result_that_is_not_read_yet(after_s: float) -> None:
    outcome, seen = play(plan([Fault("crash", 0.0, "result", nth=2, after_s=after_s, for_s=0.5)]))
    [died] = those(seen, "died", why="killed")
    told = [at for at in those(seen, "told", state="done") if at <= died]
    assert died - told[-1] == pytest.approx(after_s)
    assert outcome.answers["200"] >= 5  # all but the job whose result may be lost
    assert max(map(len, (those(seen, "taken", id=f"j{n}t1") for n in range(4)))) == 1


def test_all_real_servers_come_back_cold_to_dispatchers_that_have_just_started() -> None:
    outcome, seen = play(plan([Fault("blackout", 0.95, for_s=0.4)], "view", jobs=12, dispatchers=2))
    born, started = those(seen, "born", cold=True), those(seen, "start")[2:]
    assert len(born) == 3
    assert len(started) == 2
    assert set(born) == set(started)
    assert outcome.answers["200"] >= 2


def test_sigterm_while_the_list_changes_a_callback_arrives_and_a_client_disconnects() -> None:
    at_once: dict[str, Any] = {"at": 0.0, "on": "result", "nth": 3}
    faults = [
        Fault("drain", target="w1", for_s=1.0, **at_once),
        Fault("leave", after_s=0.0005, **at_once),
        Fault("term", target="n1", after_s=0.001, **at_once),
    ]
    _, seen = play(plan(faults, "view", jobs=10))
    [term] = those(seen, "term")
    result = max(at for at in those(seen, "told", state="done") if at <= term)
    assert term == pytest.approx(result + 0.001)
    assert [at for at in those(seen, "answered", end="left") if abs(at - term) < 0.001]
    assert [at for at in those(seen, "listed", w1="draining") if 0 < at - term < 0.02]
    assert those(seen, "exit")[0] < term + 3.5


@pytest.mark.parametrize("seed", range(1, 7))
def test_a_callback_is_sent_ten_times_over_connections_that_break(seed: int) -> None:
    """The seed decides whether connections break before a callback arrives, on arrival or at its answer."""
    p = plan([Fault("break_calls", 0.0, "started", nth=2, size=0.95)])
    p.seed = seed
    outcome, seen = play(p)
    answered = [at for at in those(seen, "answered", id="j1t1") if at < 1.5]
    told = [s.fields.get("try", 1) for s in seen if s.what == "told" and s.fields["id"] == "j1t1"]
    assert max(told) == 10 or (answered and max(told) == 1)  # the connection broke after the answer
    assert outcome.answers["200"] + outcome.answers.get("502", 0) == 6
