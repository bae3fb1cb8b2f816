"""Planted wrongs in hand-made ledgers: each must be found, by its kind; and what is right must not be."""

from pathlib import Path
from typing import Any

import msgspec
import pytest

from finchladder.lab import ledger
from finchladder.lab import records as kinds_of
from finchladder.lab.experiment import Experiment, JobClass, Load, Phase, Program
from finchladder.lab.judge import MOST_KEPT, Verdict, judge
from finchladder.lab.records import (
    Answered,
    Asked,
    Began,
    Born,
    Died,
    Ended,
    Mark,
    Record,
    Struck,
    Taken,
    Told,
    Writer,
)

WORLD = Experiment(
    name="world",
    load=Load(phase=[Phase(name="day", for_s=60.0)]),
    zones=["a", "b"],
    dispatchers=2,
    job_class=[
        JobClass(name="view"),
        JobClass(name="confirm", effect="fragile"),
        JobClass(name="note", effect="dedup", group="zone", window_s=2.0),
        JobClass(name="post", effect="dedup"),
    ],
)
LISTED: list[Record] = [
    Mark(0.0, "run:start"),
    Mark(0.0, "day"),
    Mark(60.0, "run:arrivals_end"),
    Mark(70.0, "run:end"),
    *(Born(s, 1, 0.0, False, 4.0, zone=z) for s, z in (("s1", "a"), ("s2", "a"), ("s3", "b"))),
    *(Told(d, s, "ready", 0.0, 0.0) for d in ("n1", "n2") for s in ("s1", "s2", "s3")),
]


def ask(kind: str = "view", at: float = 10.0, id: str = "j1", **more: Any) -> Asked:
    d = {"number": 0, "client": "c", "dispatcher": "n1", "key": "", "patience": 4.0, "work": 0.02, **more}
    return Asked(id=id, job_class=kind, due=at, sent=at, **{"origin": id, **d})


def take(
    at: float = 10.01, server: str = "s1", verdict: Any = "accepted", id: str = "j1", **more: Any
) -> Taken:
    return Taken(id, server, more.pop("epoch", 1), at, at, verdict, **more)


def end(how: Any = "done", at: float = 10.05, server: str = "s1", id: str = "j1", epoch: int = 1) -> Ended:
    return Ended(id, server, epoch, at, how, f"{server}/{epoch}/{id}" if how == "done" else "")


def began(at: float = 10.02, server: str = "s1", id: str = "j1") -> Began:
    return Began(id, server, 1, at)


def answer(status: int = 200, at: float = 10.06, body: str = "s1/1/j1", id: str = "j1") -> Answered:
    return Answered(id, at, "answer", status, body if status == 200 else "")


def over(how: Any, at: float = 14.06) -> Answered:
    return Answered("j1", at, how)


RAN = [take(), began(), end()]
TWO_RUNS = [*RAN, take(10.5, "s2"), began(10.51, "s2"), end("done", 10.6, "s2")]
OUTSIDE = [take(11.0, "s3"), began(11.01, "s3"), end("done", 11.1, "s3"), answer(at=11.2)]
STUCK = [take(), began()]  # at s1, and never ended


def drained(after_s: float, *between: Record) -> list[Record]:
    return [Told("n1", "s1", "draining", 0.0, 9.0), *between, ask(), take(9.0 + after_s), end(), answer()]


def flood(
    jobs: int,
    work: float,
    told: str = "n1",
    every_s: float = 0.01,
    warm_work: float = 0.0,
    after_s: float = 0.1,
    slots: float = 1.0,
) -> list[Record]:
    """A cold start of s9 at 20 with 4 cores from 0.25 on: 3 x 1.0 x 2 s = 6 s of work is its budget there."""
    found: list[Record] = [Born("s9", 2, 20.0, True, 4.0, cold_from=0.25, cold_for=8.0, warm_work=warm_work)]
    found += [Told(told, "s9", "ready", 20.0, 20.01)]
    for n in range(jobs):
        at, id = 20.0 + after_s + n * every_s, f"f{n}"
        found += [ask(at=at, id=id, work=work, slots=slots), take(at, "s9", id=id, epoch=2)]
        found += [end("done", at + 0.1, "s9", id, 2), answer(at=at + 0.2, body=f"s9/2/{id}", id=id)]
    return found


WRONG: dict[str, tuple[str, list[Record]]] = {
    "no real server made it": ("invented", [ask(), answer()]),
    "a body of another": ("invented", [ask(), *RAN, answer(body="s1/1/j0")]),
    "an empty body of a job that failed": ("invented", [ask(), take(), end("failed"), answer(body="")]),
    "answered twice": ("twice answered", [ask(), *RAN, answer(), answer(502, 15.0)]),
    "closed": ("lost", [ask(), *RAN, over("closed", 10.1)]),
    "reset by a dispatcher on SIGTERM": ("lost", [Struck(10.0, "restart", "n1"), ask(), over("reset", 10.1)]),
    "reset when another is killed": ("lost", [Struck(10.0, "kill", "n2"), ask(), over("reset", 10.1)]),
    "reset long after the kill": (
        "lost",
        [Struck(8.0, "kill", "n1"), Struck(9.0, "kill", "n1", "end"), ask(), over("reset", 10.1)],
    ),
    "reset before the kill": ("lost", [Struck(10.5, "kill", "n1"), ask(), over("reset", 10.1)]),
    "reset after the run's cut": (
        "lost",
        [
            Struck(8.0, "reset_before", "clients>n1"),
            Struck(9.0, "reset_before", "clients>n1", "end"),
            Struck(9.01, "reset_before", "clients>n1", "connection 7: reset"),
            ask(),
            over("reset", 10.1),
        ],
    ),
    "silent": ("unanswered", [ask(), over("silent")]),
    "late by a millisecond": ("late", [ask(), *RAN, answer(at=14.059)]),
    "late though stopped": (
        "late",
        [Struck(9.0, "pause", "n1"), Struck(9.5, "pause", "n1", "end"), ask(), *RAN, answer(at=14.1)],
    ),
    "sent after its end": ("revived", [ask(), answer(502, 10.2), take(10.3)]),
    "fragile sent again": ("twice sent", [ask("confirm"), *TWO_RUNS, answer(at=10.7)]),
    "fragile sent again after lost": (
        "twice sent",
        [
            ask("confirm"),
            take(),
            end("killed"),
            take(10.2, "s2"),
            end("done", 10.3, "s2"),
            answer(at=10.7, body="s2/1/j1"),
        ],
    ),
    "fragile sent again before the hand-back": (
        "twice sent",
        [
            ask("confirm"),
            take(),
            end("returned", 10.5),
            take(10.4, "s2"),
            end("done", 10.6, "s2"),
            answer(at=10.7, body="s2/1/j1"),
        ],
    ),
    "dedup outside its zone": ("twice sent", [ask("note"), *RAN, *OUTSIDE]),
    "dedup past its window": (
        "twice sent",
        [ask("note"), *RAN, take(12.1, "s2"), end("done", 12.2, "s2"), answer(at=12.3)],
    ),
    "fragile refused": ("refused", [ask("confirm"), *RAN, answer(503)]),
    "fragile refused with 429 after lost": ("refused", [ask("confirm"), take(), end("killed"), answer(429)]),
    "dedup refused, where one zone knows": ("refused", [ask("note"), *STUCK, answer(503)]),
    "past tryLimit": (
        "attempts",
        [ask(), *(take(10.01 + n / 100, "s1", "full") for n in range(6)), answer(503, 10.2)],
    ),
    "altered": ("altered", [ask(digest=7), take(digest=8), end(), answer()]),
    "unknown id": ("unknown", [ask(), *RAN, answer(), take(id="j2")]),
    "a copy at the same real server": (
        "copy",
        [ask(), *STUCK, take(11.0), end("done", 11.1), answer(at=11.2)],
    ),
    "drained by 501 ms and the slack": ("drain", drained(0.551)),
    "drained, its process started before": ("drain", drained(0.6, Struck(8.0, "started", "n1"))),
    "drained, then gone": ("drain", drained(0.6, Told("n1", "s1", "gone", 0.0, 9.4))),
    "flooded in a burst": ("flood", flood(120, 0.08, every_s=0.001)),
    "flooded at a steady rate": ("flood", flood(400, 0.08, every_s=0.01)),
    "flooded by wide jobs": ("flood", flood(60, 0.08, every_s=0.001, slots=2.0)),
    "fell over": ("flood", [*flood(76, 0.08), Died("s9", 2, 20.9, "fell")]),
}
RIGHT: dict[str, list[Record]] = {
    "served": [ask(), *RAN, answer()],
    "records in another order": [answer(), end(), Began("j1", "s1", 1, 10.02), take(), ask()],
    "last moment": [ask(), *RAN, answer(at=14.057)],
    "written once more, then in time": [ask(), ask(at=10.2), take(10.21), end(), answer(at=14.2)],
    "failed": [ask("confirm"), take(), end("killed"), answer(502)],
    "unconnected": [ask(), over("unconnected", 10.1)],
    "the client left": [ask(), *STUCK, over("left", 10.1)],
    "a client that did not wait long enough": [ask(), over("silent", 14.0)],
    "reset when its dispatcher is killed": [Struck(10.05, "kill", "n1"), ask(), *STUCK, over("reset", 10.06)],
    "sent to one that is down": [Struck(9.9, "kill", "n1"), ask(), over("reset", 10.0)],
    "reset by the run's own cut": [
        Struck(10.0, "reset_after", "clients>n1"),
        ask(),
        *RAN,
        over("reset", 10.1),
    ],
    "late because it was stopped": [
        Struck(10.1, "pause", "n1"),
        Struck(15.0, "pause", "n1", "end"),
        ask(),
        *RAN,
        answer(at=15.1),
    ],
    "retryable run twice": [ask(), *TWO_RUNS, answer(at=10.7)],
    "retryable sent again after a while": [
        ask(patience=20.0),
        *STUCK,
        take(17.0, "s2"),
        end("done", 17.1, "s2"),
        answer(at=17.2, body="s2/1/j1"),
    ],
    "given up, and yet done": [
        ask(),
        take(),
        began(),
        end("cancelled", 10.03),
        end(),
        answer(),
    ],
    "retryable refused after it ran": [ask(), *RAN, answer(503)],
    "fragile sent again after full": [
        ask("confirm"),
        take(10.01, "s2", "full"),
        take(10.02),
        began(10.03),
        end(),
        answer(),
    ],
    "fragile sent again to one that handed back": [
        ask("confirm"),
        take(),
        end("returned", 10.02),
        take(10.03),
        end(),
        answer(),
    ],
    "fragile refused, unstarted": [ask("confirm"), take(10.01, "s2", "full"), answer(503)],
    "dedup within its zone and window": [
        ask("note"),
        *STUCK,
        take(11.9, "s2"),
        end("done", 12.0, "s2"),
        answer(body="s2/1/j1", at=12.1),
    ],
    "dedup refused, where all know": [ask("post"), *STUCK, answer(503)],
    "a copy elsewhere": [
        ask(),
        *STUCK,
        take(11.0, "s2"),
        end("done", 11.1, "s2"),
        answer(body="s2/1/j1", at=11.2),
    ],
    "five attempts": [ask(), *(take(10.01 + n / 100, "s1", "full") for n in range(5)), answer(503)],
    "drained by 499 ms": drained(0.499),
    "drained, at another dispatcher": [Told("n2", "s1", "draining", 0.0, 5.0), ask(), *RAN, answer()],
    "drained, then ready again": drained(0.9, Told("n1", "s1", "ready", 9.5, 9.6)),
    "drained, told to the process before": drained(0.9, Struck(9.2, "started", "n1")),
    "drained while stopped": drained(0.9, Struck(9.1, "pause", "n1"), Struck(9.6, "pause", "n1", "end")),
    "cold within its budget": flood(70, 0.08),
    "cold, once over by chance": flood(3, 2.2),
    "cold, over more than one window": flood(158, 0.2, every_s=0.05),
    "warm by now": flood(400, 0.08, every_s=0.001, after_s=8.0),
    "cold, told to the process before": [*flood(120, 0.08, every_s=0.001), Struck(20.05, "started", "n1")],
    "cold, unknown to whom sent": flood(100, 0.08, told="n2"),
    "cold, warm by its work": flood(120, 0.08, every_s=0.001, warm_work=8.0),
    "fell over, unknown to whom sent": [*flood(76, 0.08, told="n2"), Died("s9", 2, 20.9, "fell")],
}


def verdict(records: list[Record], world: Experiment = WORLD, **settings: object) -> Verdict:
    if settings:
        world = msgspec.structs.replace(world, settings={k.replace("_", "."): v for k, v in settings.items()})
    copies = msgspec.msgpack.encode([*LISTED, *records])  # joining changes records
    everything = msgspec.msgpack.decode(copies, type=list[kinds_of.Any])
    return judge(ledger.join(ledger.Ledger(world), everything))


@pytest.mark.parametrize("name", WRONG)
def test_finds_a_planted_wrong(name: str) -> None:
    kind, records = WRONG[name]
    found = verdict(records)
    assert list(found.kinds) == [kind], [f.text for f in found.findings]
    assert sum(found.rules.values()) == sum(found.kinds.values()) >= 1
    assert all(f.text and (f.id or f.server) for f in found.findings)


@pytest.mark.parametrize("name", RIGHT)
def test_lets_pass_what_is_right(name: str) -> None:
    found = verdict(RIGHT[name])
    assert [f.text for f in found.findings] == []


def test_one_lost_request_in_a_thousand() -> None:
    records: list[Record] = []
    for n in range(3000):
        id, at = f"r{n}", 1.0 + n / 100
        records += [ask(at=at, id=id), take(at, id=id), end("done", at + 0.02, id=id)]
        lost = n % 1000 == 500
        whole = answer(at=at + 0.03, body=f"s1/1/{id}", id=id)
        records.append(Answered(id, at + 0.03, "closed") if lost else whole)
    found = verdict(records)
    assert found.lost == found.rules["answer"] == 3
    assert [f.id for f in found.findings] == ["r500", "r1500", "r2500"]


def test_counts_effects_done_twice() -> None:
    retry = ask("confirm", 11.0, "j2", origin="j1", number=1)
    again = [
        take(11.01, "s2", id="j2"),
        end("done", 11.1, "s2", "j2"),
        answer(at=11.2, body="s2/1/j2", id="j2"),
    ]
    assert verdict([ask("confirm"), *TWO_RUNS, answer(at=10.7)]).duplicates == 1
    assert verdict([ask("note"), *RAN, *OUTSIDE]).duplicates == 1
    assert (
        verdict([ask("confirm"), *RAN, answer(503), retry, *again]).duplicates == 1
    )  # told that it is harmless
    assert (
        verdict([ask("confirm"), *RAN, answer(502), retry, *again]).duplicates == 0
    )  # the client's own doing


def test_settings_of_the_experiment_are_the_judges() -> None:
    copy = RIGHT["a copy elsewhere"]
    assert verdict(copy, caps_secondCopies=False).kinds == {"copy": 1}
    assert verdict(RIGHT["five attempts"], caps_tryLimit=4).kinds == {"attempts": 1}


def test_says_what_it_excuses_and_what_it_can_not_decide() -> None:
    found = verdict([*RIGHT["reset when its dispatcher is killed"]])
    assert found.excused == {"reset: killed by the run": 1}
    assert found.lost == 0
    assert verdict(RIGHT["a client that did not wait long enough"]).undecided
    assert verdict([ask(), *RAN]).undecided == {"the end of a try is not recorded": 1}
    assert verdict([ask("confirm"), take(10.0, "s1", "full"), answer(503, 13.9)]).held == 1
    assert verdict([ask("confirm"), *RAN, answer(200, 13.9)]).held == 0


def test_a_target_that_answers_at_once_makes_its_answers_itself() -> None:
    null = msgspec.structs.replace(WORLD, program=Program(null=True))
    assert verdict([ask(), answer()], null).kinds == {}


def test_findings_are_bounded_and_all_are_counted() -> None:
    many = [(ask(id=f"r{n}"), Answered(f"r{n}", 10.1, "closed")) for n in range(MOST_KEPT + 9)]
    found = verdict([record for pair in many for record in pair])
    assert (len(found.findings), found.rules["answer"]) == (MOST_KEPT, MOST_KEPT + 9)


def test_a_torn_ledger_is_a_gap_and_no_wrong(tmp_path: Path) -> None:
    (tmp_path / "ledger").mkdir()
    (tmp_path / "experiment.json").write_bytes(msgspec.json.encode(WORLD))
    for name, records in (("load-0", [ask(), answer()]), ("fleet-0", RAN), ("run", LISTED)):
        writer = Writer(tmp_path / "ledger" / f"{name}.log")
        for record in records:
            writer.put(record)
        writer.close()
    whole = ledger.load(tmp_path)
    assert judge(whole).kinds == {}
    assert whole.gaps == []
    fleet = tmp_path / "ledger" / "fleet-0.log"
    fleet.write_bytes(fleet.read_bytes()[:-3])
    torn = ledger.load(tmp_path)
    assert judge(torn).kinds == {}
    assert judge(torn).undecided == {"200 whose run is not recorded": 1}
    assert "fleet-0.log" in torn.gaps[0]
    fleet.write_bytes(b"\x00\x00\x00\x01\xc1" + fleet.read_bytes())
    assert "not read" in ledger.load(tmp_path).gaps[0]
