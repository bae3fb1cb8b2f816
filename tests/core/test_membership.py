"""Membership: all small histories and long random ones against an oracle, and cases for each rule."""

from collections import Counter
from random import Random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from finchladder.core import api
from finchladder.core.membership import decisions, removal_guards, sources
from finchladder.core.membership.decisions import ANY_START, FactKind, MembershipSettings, Source
from finchladder.core.membership.sources import SourceStatus
from tests.core.membership_oracle import (
    ABC,
    BOTH,
    PAST,
    SOURCES,
    Act,
    D,
    G,
    Pair,
    R,
    Word,
    check_all,
    random_history,
)

ETCD, DISCOVERY = "etcd", "discovery"
SECOND = 2  # ticks


def test_all_histories_of_three_actions() -> None:
    assert check_all(3, BOTH) == 1728


@pytest.mark.parametrize(
    "first",
    [
        [Act(DISCOVERY, ABC, whole=True, before=True)],
        [Act(ETCD, ABC, whole=True, in_step=False), Act(DISCOVERY, {"a": Word(R)}, whole=True)],
        [*BOTH, Act(ticks=10), Act(DISCOVERY)],
        [*BOTH, Act(ETCD, {}, whole=True)],
    ],
)
def test_all_histories_of_two_actions_from_other_initial_states(first: list[Act]) -> None:
    assert check_all(2, first) == 144


WORDS = st.builds(Word, st.sampled_from([R, R, D, G]))


class Seen(dict[Any, Any]):
    def __init__(self, table: dict[Any, Any]) -> None:
        super().__init__(table)
        self.seen: set[Any] = set()

    def __getitem__(self, pair: Any) -> Any:
        self.seen.add(pair)
        return super().__getitem__(pair)


def test_random_histories_cover_every_transition(monkeypatch: pytest.MonkeyPatch) -> None:
    tables = {module: Seen(module.TRANSITIONS) for module in (decisions, sources, removal_guards)}
    for module, table in tables.items():
        monkeypatch.setattr(module, "TRANSITIONS", table)

    for seed in range(120):
        rules, acts = random_history(Random(seed))
        pair = Pair([*SOURCES, PAST], rules)
        for act in acts:
            pair.play(act)
    assert {(module, *pair) for module, t in tables.items() for pair in t if pair not in t.seen} == set()


@settings(max_examples=20, deadline=None, derandomize=True)
@given(st.lists(st.dictionaries(st.sampled_from("abcdefgh"), WORDS, max_size=2), max_size=20))
def test_single_slowly_changing_source_is_followed(changes: list[dict[str, Word]]) -> None:
    pair, truth = Pair([Source(DISCOVERY)], MembershipSettings()), dict[str, Word]()
    for words in [{n: Word(R) for n in "abcdefgh"}, *changes]:
        usable = {n: Word(w.state, 0.0) for n, w in words.items()}
        pair.play(Act(DISCOVERY, usable, whole=not truth))
        truth |= usable
        pair.play(Act(ticks=12 * SECOND))
        listed = {n: w.state for n, w in truth.items() if w.state is not G}
        assert {n: s for n, (s, *_) in pair.told.items()} == listed


# --- rule by rule -------------------------------------------------------------------------------------------


class Case:
    """Both sources have reported `count` ready workers; etcd is the leader."""

    def __init__(self, count: int = 10, **rules: Any) -> None:
        self.pair = Pair(SOURCES, MembershipSettings(**rules))
        self.facts: list[decisions.Fact] = []
        apply = self.pair.apply

        def keep(d: decisions.Decision) -> None:
            self.facts.extend(d.facts)
            apply(d)

        self.pair.apply = keep  # type: ignore[method-assign]
        self.all = {f"w{n}": Word(R) for n in range(count)}
        for source in (ETCD, DISCOVERY):
            self.tell(source, self.all, whole=True)

    def tell(self, source: str, words: dict[str, Word] | None, **more: Any) -> None:
        self.pair.play(Act(source, words, **more))

    def wait(self, seconds: float, *heard: str) -> None:
        """Lets time pass, with heartbeats of the given sources every second."""
        for _ in range(int(seconds)):
            self.pair.play(Act(ticks=SECOND))
            for source in heard:
                self.pair.play(Act(source))
        self.pair.play(Act(ticks=int(SECOND * (seconds % 1))))

    def state(self, name: str) -> api.WorkerStatus:
        return self.pair.told[name][0] if name in self.pair.told else G

    def ready(self) -> int:
        return sum(state is R for state, *_ in self.pair.told.values())

    def lead(self) -> str:
        assert self.pair.m.leader is not None
        return self.pair.m.leader.source.name

    def told(self) -> list[FactKind]:
        found = [f.kind for f in self.facts]
        self.facts.clear()
        return found


BORN = 5.0  # start of a later incarnation


@pytest.mark.parametrize(
    ("lead", "other", "believed"),
    [
        (Word(R), Word(R), R),
        (Word(R), Word(D), D),
        (Word(D), Word(R), D),
        (Word(R), Word(G), R),
        (Word(G), Word(R), G),
        (Word(G), Word(D), G),
        (Word(R, BORN), Word(D), R),  # the drain was of the previous incarnation
        (Word(D), Word(R, BORN), R),
        (Word(R), Word(D, BORN), D),
        (Word(R, BORN), Word(D, ANY_START, 0), D),  # a notice applies to every incarnation
        (Word(D, ANY_START), Word(R, BORN), D),
        (Word(G), Word(D, ANY_START, 0), G),  # a notice alone lists no worker
        (Word(D, ANY_START, 0), Word(R), G),
    ],
)
def test_two_sources_disagree_on_one_worker_for_a_minute(
    lead: Word, other: Word, believed: api.WorkerStatus
) -> None:
    case = Case()
    case.tell(ETCD, {"w0": lead})
    case.tell(DISCOVERY, {"w0": other})
    for _ in range(60):
        case.wait(1, ETCD, DISCOVERY)
        assert case.state("w0") is believed
        assert case.ready() == 9 + (believed is R)
        born = case.pair.told.get("w0", (G, 0.0))[1]
        assert born == max(w.born for w in (lead, other) if w.born != ANY_START) or believed is G
    notice = ANY_START in (lead.born, other.born)
    wanted = [FactKind.LEADS] + [FactKind.DISAGREE] * (lead.state is not other.state and not notice)
    assert case.told() == wanted  # and only once


def test_agreement_is_reported_once_after_all_disagreements() -> None:
    case = Case()
    case.tell(DISCOVERY, {"w0": Word(G), "w1": Word(G)})
    case.wait(6, ETCD, DISCOVERY)
    assert case.told() == [FactKind.LEADS, FactKind.DISAGREE]
    case.tell(DISCOVERY, {"w0": Word(R)})
    assert case.told() == []
    case.tell(ETCD, {"w1": Word(G)})
    assert case.told() == [FactKind.AGREED]


def test_drain_applies_after_source_is_lost_or_removes_worker() -> None:
    case = Case()
    case.tell(DISCOVERY, {"w0": Word(D), "w1": Word(D)})
    case.tell(DISCOVERY, {"w1": Word(G)})
    case.wait(200, ETCD)
    assert (case.state("w0"), case.state("w1")) == (D, D)
    assert FactKind.LOST in case.told()
    case.tell(ETCD, {"w0": Word(R, BORN), "w1": Word(R, BORN)})
    assert case.ready() == 10


def test_drains_of_lost_source_end_with_maximum_age_of_its_list() -> None:
    case = Case(max_age_s=60.0)
    case.tell(DISCOVERY, {"w0": Word(D)})
    case.wait(59, ETCD)
    assert case.state("w0") is D
    case.wait(1, ETCD)
    assert case.state("w0") is R


def test_second_source_leads_until_first_is_stable_again() -> None:
    case = Case()
    case.tell(DISCOVERY, {"w0": Word(G)})
    case.wait(2.5, DISCOVERY)
    assert (case.lead(), case.state("w0")) == (ETCD, R)
    case.wait(0.5, DISCOVERY)
    assert (case.lead(), case.state("w0")) == (DISCOVERY, G)
    case.tell(ETCD, None)
    case.wait(4, ETCD, DISCOVERY)
    assert case.lead() == DISCOVERY
    case.wait(1, ETCD, DISCOVERY)
    assert (case.lead(), case.state("w0")) == (ETCD, R)
    assert case.told() == [FactKind.LEADS, FactKind.LOST, FactKind.LEADS, FactKind.BACK, FactKind.LEADS]


def test_stall_that_ends_in_replay() -> None:
    """The connection stalls for a minute, while discovery reports drains, removals and a restart."""
    case = Case()
    case.wait(10, DISCOVERY)
    case.tell(DISCOVERY, {"w0": Word(D), "w1": Word(D), "w2": Word(D)})
    case.tell(DISCOVERY, {"w1": Word(G), "w2": Word(R, BORN)})
    case.wait(50, DISCOVERY)
    for n in range(3):  # outdated entries, one after another
        case.tell(ETCD, {"w3": Word(D), "w1": Word(R), "w2": Word(D)}, in_step=False)
        case.tell(ETCD, {"w3": Word(R), "w4": Word(G)}, in_step=False)
        assert (case.state("w3"), case.state("w4"), case.state("w2"), case.ready()) == (R, R, R, 8), n
    case.tell(ETCD, {"w4": Word(R), "w2": Word(R, BORN)})  # in step
    case.wait(30, ETCD, DISCOVERY)
    assert case.lead() == ETCD
    assert [case.state(f"w{n}") for n in range(5)] == [D, D, R, R, R]


def test_out_of_order_reports_are_dropped_and_logged_once() -> None:
    case = Case()
    case.told()
    for _ in range(3):
        case.tell(ETCD, {"w0": Word(G)}, step=-1)
    case.tell(ETCD, {"w0": Word(G)}, step=9, epoch="another")
    assert case.ready() == 10
    assert case.told() == [FactKind.STALE]


@pytest.mark.parametrize(("epoch", "step", "at_once"), [("", -5, False), ("restored", -5, True)])
def test_source_restored_from_backup(epoch: str, step: int, at_once: bool) -> None:
    """The old list is used until the new one is complete and accepted; drains of both lists apply."""
    case = Case(count=4)
    case.tell(ETCD, {"w0": Word(D)})
    backup = {n: w for n, w in case.all.items() if n != "w3"} | {"w1": Word(D)}
    case.tell(ETCD, backup, whole=True, step=step, epoch=epoch)
    assert [case.state(f"w{n}") for n in range(4)] == [D, D, R, G if at_once else R]
    case.wait(1.5, ETCD)
    assert [case.state(f"w{n}") for n in range(4)] == [D, D, R, G]
    assert case.told() == [FactKind.LEADS] + [FactKind.BEHIND] * (not at_once) + [FactKind.ANEW]
    case.tell(ETCD, {"w0": Word(R, BORN), "w1": Word(R)}, epoch=epoch)
    assert case.ready() == 3


def test_drains_of_pending_list_apply_while_source_is_reachable() -> None:
    case = Case(back_s=60.0)
    case.tell(ETCD, case.all | {"w0": Word(D), "w1": Word(D)}, whole=True, step=-5)
    for words in (None, {"w1": Word(R)}):
        assert case.ready() == 8
        case.wait(3, DISCOVERY)
        assert case.ready() == 10
        assert case.lead() == DISCOVERY
        case.tell(ETCD, words, in_step=False)
    assert (case.state("w0"), case.state("w1")) == (D, R)


def test_lagging_etcd_member_answers_range_and_another_the_watch() -> None:
    case = Case(count=4)
    case.tell(ETCD, {"w0": Word(D)}, step=3)
    case.tell(ETCD, case.all, whole=True, step=-2)
    assert (case.state("w0"), case.pair.m.by_name[ETCD].status) == (D, SourceStatus.BEHIND)
    case.tell(ETCD, {"w1": Word(D)})
    case.tell(ETCD, {"w0": Word(D)})
    assert (case.state("w0"), case.state("w1"), case.lead()) == (D, D, ETCD)
    assert case.pair.m.by_name[ETCD].is_live
    assert FactKind.ANEW not in case.told()


def test_mass_expiry_of_leases_is_held_back() -> None:
    case = Case(count=20, hold_s=10.0)
    for n in range(20):  # removed one by one within the window
        case.tell(ETCD, {f"w{n}": Word(G)})
        assert case.ready() >= 10
    assert case.ready() == 20
    assert FactKind.HOLDING in case.told()
    case.tell(ETCD, {"w0": Word(D)})  # a held worker is listed again as draining
    case.tell(DISCOVERY, {"w1": Word(D)})
    case.tell(DISCOVERY, {"w2": Word(G)})  # confirmed by the second source
    assert (case.state("w0"), case.state("w1"), case.state("w2"), case.ready()) == (D, G, G, 17)
    case.tell(ETCD, {"x": Word(R)})
    case.wait(60, ETCD, DISCOVERY)  # longer than hold_s, but discovery lists them
    assert case.ready() == 18
    for n in range(3, 19):  # all but one are listed again, one after another
        case.wait(0.5, ETCD, DISCOVERY)
        case.tell(ETCD, {f"w{n}": Word(R)})
        assert case.ready() == 18
    case.wait(1, ETCD, DISCOVERY)
    assert case.state("w19") is G
    assert case.ready() == 17
    assert not case.pair.m.mass_removal_guard.is_protecting


@pytest.mark.parametrize(
    ("gone", "share", "window", "believed"),
    [
        (5, 0.5, 10.0, True),
        (6, 0.5, 10.0, False),
        (4, 0.3, 10.0, False),
        (10, 1.0, 10.0, True),
        (6, 0.5, 1.0, True),
    ],
)
def test_share_of_workers_that_may_be_removed(gone: int, share: float, window: float, believed: bool) -> None:
    case = Case(max_vanish=share, vanish_window_s=window)
    for n in range(gone):
        case.tell(ETCD, {f"w{n}": Word(G)})
        case.wait(0.5, ETCD, DISCOVERY)
    assert case.ready() == (10 - gone if believed else 10)


def test_drained_workers_may_all_be_removed_and_fleet_replaced() -> None:
    case = Case()
    case.tell(ETCD, {n: Word(D) for n in case.all})
    case.tell(ETCD, {f"x{n}": Word(R) for n in range(10)}, whole=True)
    assert case.ready() == 10
    assert case.state("w0") is G
    case.tell(ETCD, {f"y{n}": Word(R) for n in range(10)}, whole=True)
    assert case.ready() == 10
    assert case.state("x0") is G
    assert FactKind.HOLDING not in case.told()


def test_empty_list_is_never_applied_but_partial_removal_is_after_hold() -> None:
    case = Case(hold_s=20.0)
    case.tell(DISCOVERY, {f"w{n}": Word(G) for n in range(4)})
    case.tell(ETCD, {}, whole=True)
    assert case.ready() == 6  # workers that neither source lists are removed
    case.wait(3, ETCD)  # discovery is lost: no live source lists them
    case.wait(100, ETCD)
    assert case.ready() == 6
    case.tell(ETCD, {"x": Word(R)})
    case.wait(20, ETCD)
    assert case.ready() == 1


def test_flapping_entry_must_be_stable_unless_it_is_the_last() -> None:
    case = Case(count=3)
    for _ in range(3):
        case.tell(ETCD, {"w0": Word(G)})
        case.tell(ETCD, {"w0": Word(R)})
    assert case.state("w0") is D
    assert case.told()[-1] is FactKind.FLAPS
    case.wait(1, ETCD, DISCOVERY)
    case.tell(ETCD, {"w0": Word(D)})
    case.tell(ETCD, {"w0": Word(R)})
    case.wait(1, ETCD, DISCOVERY)
    assert case.state("w0") is D
    case.wait(0.5, ETCD, DISCOVERY)
    assert case.state("w0") is R
    case.tell(ETCD, {"w0": Word(D)})
    case.tell(ETCD, {"w0": Word(R), "w1": Word(D), "w2": Word(D)})
    assert case.ready() == 1  # rather than no worker at all


def test_stored_list_is_used_until_source_is_live_unless_too_old() -> None:
    for age, used in ((100.0, True), (7200.0, False)):
        m = decisions.Membership([Source(DISCOVERY), PAST], MembershipSettings())
        entries = (api.WorkerEntry("a", R), api.WorkerEntry("b", D))
        workers = api.WorkerList(api.ListKind.STALE, entries)
        first = m.report(
            50.0, decisions.Report(PAST.name, 3, workers, dict.fromkeys("ab", ("h", 1)), age_s=age)
        )
        assert (m.has_list, len(first.workers.entries), m.age_s(50.0) == age) == (used, 2 * used, used)
        told = [f.kind for f in first.facts]
        assert told == [FactKind.LEADS if used else FactKind.OLD]
        whole = api.WorkerList(api.ListKind.FULL, (api.WorkerEntry("b", R), api.WorkerEntry("a", R)))
        live = m.report(60.0, decisions.Report(DISCOVERY, 1, whole, dict.fromkeys("ab", ("h", 1))))
        assert {e.worker for e in live.workers.entries} == (
            {"b"} if used else {"a", "b"}
        )  # its drain has ended
        assert live.workers.kind is (api.ListKind.PATCH if used else api.ListKind.FULL)


def test_list_stays_without_sources_and_its_age_is_logged() -> None:
    case = Case(count=4, max_age_s=60.0, back_s=600.0)
    case.wait(70)
    assert case.ready() == 4
    assert case.told().count(FactKind.OLD) == 1
    case.tell(ETCD, {"w0": Word(R), "w1": Word(R)}, whole=True, step=-5)  # no longer pending
    case.wait(0.5)
    assert case.ready() == 2


def test_long_list_is_processed_in_slices_with_same_result(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(decisions, "SLICE_SIZE", 2)
    m = decisions.Membership([Source(DISCOVERY)], MembershipSettings())
    entries = tuple(api.WorkerEntry(f"w{n}", D if n > 6 else R) for n in range(9))
    where = {e.worker: ("h", 1) for e in entries}
    told = m.report(1.0, decisions.Report(DISCOVERY, 1, api.WorkerList(api.ListKind.FULL, entries), where))
    names = [e.worker for e in told.workers.entries]
    assert names == ["w7", "w8", "w0", "w1"]  # all draining entries come first
    gone = api.WorkerList(api.ListKind.PATCH, (api.WorkerEntry("w5", G),))
    assert m.next_due < 1.0
    for _ in range(2):
        names += [e.worker for e in m.apply_due(1.0).workers.entries]
    names += [e.worker for e in m.report(1.0, decisions.Report(DISCOVERY, 2, gone, {})).workers.entries]
    assert names == ["w7", "w8", "w0", "w1", "w2", "w3", "w4", "w5", "w5", "w6"]
    assert m.next_due > 1.0


@pytest.mark.parametrize("one_before", [False, True])
def test_long_list_without_known_workers_removes_none_meanwhile(
    one_before: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(decisions, "SLICE_SIZE", 2)
    m = decisions.Membership(SOURCES, MembershipSettings())
    told, seen = dict[str, api.WorkerStatus](), Counter[str]()

    def tell(
        source: str, version: int, kind: api.ListKind, names: dict[str, api.WorkerStatus], then: float = 1.0
    ) -> None:
        workers = api.WorkerList(kind, tuple(api.WorkerEntry(n, s) for n, s in names.items()))
        decided = [m.report(1.0, decisions.Report(source, version, workers, dict.fromkeys(names, ("h", 1))))]
        while m.next_due <= 1.0:
            decided.append(m.apply_due(then))
        for d in decided:
            told.update((e.worker, e.state) for e in d.workers.entries)
            seen.update(e.worker for e in d.workers.entries if e.state is G)
        assert [f.number for d in decided for f in d.facts if f.kind is FactKind.HOLDING] in ([], [17])

    ready = {f"w{n}": R for n in range(20)}
    tell(ETCD, 1, api.ListKind.FULL, ready)
    tell(DISCOVERY, 1, api.ListKind.FULL, ready)
    tell(DISCOVERY, 2, api.ListKind.PATCH, {"w1": D, "w2": G, "w3": G})
    tell(ETCD, 2, api.ListKind.PATCH, {"w0": G} if one_before else {})
    tell(ETCD, 3, api.ListKind.FULL, {}, 2.5)  # the process is slow: the slices take more than a second
    assert {n for n, s in told.items() if s is G} == {"w1", "w2", "w3"}
    assert told["w0"] is R
    assert [seen.get(f"w{n}", 0) for n in range(4)] == [one_before, 1, 1, 1]
    assert sum(seen.values()) < 5
    assert len(m.mass_removal_guard.retained) == 17
    assert m.counts[decisions.MemberState.HELD] == 17


@pytest.mark.parametrize(("most", "left_out"), [(3, 2), (5, 0)])
def test_names_beyond_limit_are_omitted(most: int, left_out: int, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(sources, "MAX_NAMES", most)
    m = decisions.Membership([Source(DISCOVERY)], MembershipSettings())
    workers = api.WorkerList(api.ListKind.FULL, tuple(api.WorkerEntry(name, R) for name in "abcde"))
    told = m.report(1.0, decisions.Report(DISCOVERY, 1, workers, dict.fromkeys("abcde", ("h", 1))))
    assert len(told.workers.entries) == 5 - left_out
    assert [f.number for f in told.facts if f.kind is FactKind.FULL] == [left_out] * (left_out > 0)


@pytest.mark.parametrize("name", MembershipSettings.__dataclass_fields__)
def test_settings_have_bounds(name: str) -> None:
    for value in (-1, 10_000_000):
        with pytest.raises(ValueError, match=f"membership: {name} must be from"):
            MembershipSettings(**{name: value})
