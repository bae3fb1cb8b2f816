"""Demand, the ledger of loads, and the planner."""

from collections import Counter

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from finchladder.cluster.configuration.snapshot import Engine, Model
from finchladder.cluster.placement.actions import Eviction, LoadAction
from finchladder.cluster.placement.capacity import (
    PREFETCH_RESERVED_WORKERS_FACTOR,
    RESERVED_WORKERS_FACTOR,
    max_concurrent_store_loads,
    used_mb,
)
from finchladder.cluster.placement.demand import DemandKey, DemandTracker
from finchladder.cluster.placement.disk_inventory import MAX_KNOWN_DISKS, DiskInventory
from finchladder.cluster.placement.load_durations import LoadDurations
from finchladder.cluster.placement.load_rate_limiter import RULE_EXTRA_LOADS, LoadRateLimiter
from finchladder.cluster.placement.planner import PlanningPass
from finchladder.cluster.placement.planning_input import PlannerWorker, PlanningInput
from finchladder.cluster.types.messages import Demand, DemandReport

MODELS = {f"m{n}": Model(f"m{n}", 70.0, 5.0, 4, 1.0) for n in range(8)}
ENGINE = Engine(
    slots=64, kv_cache_tokens=1000, weights_mb=220.0, lora_slots=2, max_loads_per_s=2.0, models=MODELS
)


def worker(name: str, *models: str, busy: bool = False, disk: tuple[str, ...] = ()) -> PlannerWorker:
    held: dict[str, set[str]] = {model: set() for model in models}
    return PlannerWorker(name, "llm", name, "z", busy, False, held, frozenset((*models, *disk)))


def asked(book: DemandTracker, model: str, times: int, *, adapter: str = "", waiting: int = 0) -> None:
    """One dispatcher for each item: a report replaces the one before."""
    demand = Demand("llm", model, adapter, times, waiting, 0, 0)
    book.add_report(0.0, DemandReport(f"edge {model} {adapter}", 1.0, (demand,)))


def plan(
    book: DemandTracker, *workers: PlannerWorker, loads: int = 9, loading: dict[str, int] | None = None
) -> list[LoadAction]:
    return PlanningPass(
        PlanningInput("llm", ENGINE, workers, book, loads, loads, 0.2), loading or {}
    ).actions()


def test_a_model_that_is_waited_for_is_loaded_in_place_of_an_idle_one() -> None:
    book = DemandTracker()
    asked(book, "m5", 1, waiting=1)
    asked(book, "m0", 9)
    (action,) = plan(book, worker("a", "m0", "m1", "m2"))
    assert (action.model, action.evictions) == ("m5", (Eviction("m2"),))


def test_what_is_waited_for_and_nowhere_comes_before_another_copy_of_the_busy() -> None:
    book = DemandTracker()
    asked(book, "m0", 100)
    asked(book, "m5", 1, waiting=1)
    (action,) = plan(book, worker("a", "m1", "m2", "m3"), worker("b", "m0", busy=True))
    assert action.model == "m5"


def test_what_is_on_its_way_is_not_ordered_again() -> None:
    book = DemandTracker()
    asked(book, "m5", 1, waiting=1)
    assert plan(book, worker("a", "m1"), worker("b", busy=True), loading={"m5": 1}) == []


def test_a_worker_that_has_the_model_on_its_disk_is_preferred() -> None:
    book = DemandTracker()
    asked(book, "m5", 1, waiting=1)
    (action,) = plan(book, worker("a"), worker("b", disk=("m5",)))
    assert action.instance == "b"


def test_without_loads_left_only_disks_of_workers_are_loaded_from() -> None:
    book = DemandTracker()
    asked(book, "m5", 1, waiting=1)
    asked(book, "m6", 1, waiting=1)
    actions = plan(book, worker("a"), worker("b", disk=("m6",)), loads=0)
    assert [(a.instance, a.model) for a in actions] == [("b", "m6")]


def test_an_adapter_goes_to_a_holder_of_its_model_and_the_idlest_gives_way() -> None:
    book = DemandTracker()
    asked(book, "m0", 5, adapter="a1")
    asked(book, "m0", 1, adapter="a3", waiting=1)
    holder = worker("a", "m0", "m1")
    holder.loaded_models["m0"] = {"a1", "a2"}
    (action,) = plan(book, holder, worker("b", "m2", busy=True))
    assert action == LoadAction("a", "m0", "a3", (Eviction("m0", "a2"),))


def test_workers_with_nothing_to_do_prepare_models_that_nobody_has_on_disk() -> None:
    actions = plan(DemandTracker(), worker("a", "m0", "m1", "m2"))
    assert [(a.model, a.evictions) for a in actions] == [("m3", (Eviction("m2"),))]


@given(
    held=st.lists(st.lists(st.sampled_from(sorted(MODELS)), max_size=3, unique=True), min_size=1, max_size=5),
    rates=st.dictionaries(st.sampled_from(sorted(MODELS)), st.tuples(st.integers(0, 50), st.integers(0, 3))),
    loads=st.integers(0, 5),
)
def test_no_plan_goes_over_a_workers_memory_or_the_loads_left(
    held: list[list[str]], rates: dict[str, tuple[int, int]], loads: int
) -> None:
    book = DemandTracker()
    for model, (times, waiting) in rates.items():
        asked(book, model, times, waiting=waiting)
    workers = [worker(f"w{n}", *models) for n, models in enumerate(held)]
    actions = plan(book, *workers, loads=loads)
    by_name = {w.instance: w for w in workers}
    assert len({a.instance for a in actions}) == len(actions)
    assert sum(a.model not in by_name[a.instance].models_on_disk for a in actions) <= loads
    for action in actions:
        models = {m: set(a) for m, a in by_name[action.instance].loaded_models.items()}
        for victim in (gone.model for gone in action.evictions):
            del models[victim]
        assert action.model not in models
        assert used_mb(ENGINE, {**models, action.model: set()}) <= ENGINE.weights_mb


def test_demand_decays_and_silent_dispatchers_are_forgotten() -> None:
    book = DemandTracker()
    asked(book, "m0", 8, waiting=2)
    item = DemandKey("llm", "m0")
    before = book.rate(item)
    book.decay(4.0)
    assert 0 < book.rate(item) < before / 2
    assert book.queued(item) == 0
    book.decay(400.0)
    assert book.tracked_keys() == set()


@given(st.lists(st.floats(0.0, 3.0), max_size=80), st.booleans())
def test_no_window_holds_more_loads_than_the_rule_allows(gaps: list[float], took_over: bool) -> None:
    ledger = LoadRateLimiter(max_loads_per_s=2.1, window_s=5.0, allowed_overage=1.1)
    begun: list[float] = []
    if took_over:
        begun = [-0.5] * ledger.max_loads  # the holder before began all that it might
        ledger.assume_exhausted(-0.5)
    now = 0.0
    for gap in gaps:
        now += gap
        while ledger.allows(now):
            ledger.record(now)
            begun.append(now)
    for start in begun:
        assert sum(start <= at < start + 5.0 for at in begun) <= 2.1 * 5.0 * 1.1 + RULE_EXTRA_LOADS


def test_durations_follow_what_was_seen() -> None:
    durations = LoadDurations()
    for _ in range(30):
        durations.record(5.0, is_adapter=False, is_warm=True, load_duration_s=1.0)
        durations.record(5.0, is_adapter=False, is_warm=False, load_duration_s=6.0)
    assert abs(durations.expected_s(5.0, is_adapter=False, is_warm=True) - 1.0) < 0.05
    assert abs(durations.expected_s(5.0, is_adapter=False, is_warm=False) - 6.0) < 0.1


# --- large fleets


def test_the_sums_of_reports_follow_each_dispatchers_last_word() -> None:
    book, item = DemandTracker(), DemandKey("llm", "m0")

    def tell(at: float, sender: str, waiting: int, running: int, **loads: int) -> None:
        told = Demand("llm", "m0", "", 1, waiting, running, 10)
        book.add_report(at, DemandReport(sender, 0.4, (told,), loads))

    tell(0.0, "one", 2, 3, a=1, b=2)
    tell(0.0, "two", 1, 0, b=5)
    assert (book.queued(item), book.peer_loads("one")) == (3, {"b": 5})
    tell(1.0, "one", 0, 0, a=4)
    assert (book.queued(item), book.peer_loads("two"), book.peer_loads("")) == (
        1,
        {"a": 4},
        {"a": 4, "b": 5},
    )
    book.decay(3.5)
    assert (book.queued(item), book.peer_loads("")) == (0, {"a": 4}), "the silent one counts no more"


def test_further_copies_of_the_busiest_model_do_not_crowd_out_the_first_copies_of_others() -> None:
    """40 workers, one model with half of all requests, 60 others that share the rest."""
    book = DemandTracker()
    names = ["m0", *(f"r{n}" for n in range(60))]
    models = {name: Model(name, 70.0, 4.0, 0, 1.0) for name in names}
    engine = Engine(64, 120_000, 220.0, 8, 40.0, models)
    for now in (0.0, 4.0, 8.0):
        told = [Demand("llm", "m0", "", 240, 0, 60, 0)]
        told += [Demand("llm", name, "", 4, 0, 1, 0) for name in names[1:]]
        book.add_report(now, DemandReport("e", 4.0, tuple(told)))
    workers = [PlannerWorker(f"w{n}", "llm", f"w{n}:1", "z", False, False) for n in range(40)]
    for _ in range(400):
        actions = PlanningPass(PlanningInput("llm", engine, workers, book, 99, 99, 0.25), {}).actions()
        for action in actions:
            state = next(w for w in workers if w.instance == action.instance)
            for victim in (gone.model for gone in action.evictions):
                del state.loaded_models[victim]
            state.loaded_models[action.model] = set()
        if not actions:
            break
    copies = Counter(model for w in workers for model in w.loaded_models)
    assert all(copies[name] >= 1 for name in names)
    assert 10 <= copies["m0"] <= 40


# --- what workers keep on their disks


def returned(took_s: float) -> DiskInventory:
    """A worker comes back as a new instance, and a load of a model that it had before takes so long."""
    disks = DiskInventory()
    disks.record_models("i-1", "a:1", ["m0", "m1"])
    disks.record_models("i-2", "a:1", [])
    assert disks.models_on("i-2") == frozenset(), "counted as loads from the store until it is known"
    assert disks.may_have_model("i-2", "m0") and not disks.may_have_model("i-2", "m2")
    disks.record_models("i-2", "a:1", ["m0"])
    kept = disks.record_load("i-2", took_s, store_load_s=5.0)
    assert kept == disks.has_model("i-2", "m1")
    assert not disks.may_have_model("i-2", "m1")
    return disks


def test_a_worker_that_returns_has_its_old_models_on_disk_if_the_first_load_is_quick() -> None:
    assert returned(took_s=0.8).models_on("i-2") == {"m0", "m1"}
    assert returned(took_s=5.5).models_on("i-2") == {"m0"}


def test_a_worker_at_another_address_has_nothing_of_others() -> None:
    disks = DiskInventory()
    disks.record_models("i-1", "a:1", ["m0"])
    disks.record_models("i-2", "b:1", [])
    assert not disks.may_have_model("i-2", "m0") and not disks.has_model("i-2", "m0")
    assert disks.has_model("i-1", "m0") and not disks.has_model("i-9", "m0")


def test_a_copy_that_is_still_on_its_way_does_not_stand_in_for_one_that_goes() -> None:
    """The only copy of m0, the busiest, stays while another is being loaded; one that is there frees it."""
    book = DemandTracker()
    for model, times in (("m0", 20), ("m6", 8), ("m7", 8)):
        asked(book, model, times)
    asked(book, "m5", 1, waiting=1)
    full, other = worker("a", "m0", "m6", "m7"), worker("b", busy=True)
    assert plan(book, full, other, loading={"m0": 1}) == []
    (action,) = plan(book, full, worker("b", "m0", busy=True))
    assert (action.model, action.evictions) == ("m5", (Eviction("m0"),))


def test_loads_from_the_store_leave_workers_free() -> None:
    def at_once(engine: Engine, *workers: int, kept_free: float = RESERVED_WORKERS_FACTOR) -> list[int]:
        return [max_concurrent_store_loads(engine, count, kept_free) for count in workers]

    many = evolve(ENGINE, max_loads_per_s=40.0)
    assert at_once(ENGINE, 1, 2, 6, 12, 300) == [1, 1, 4, 9, 10]
    assert at_once(many, 6, 70, 890) == [4, 63, 200]
    assert at_once(ENGINE, 1, 2, 6, 12, 300, kept_free=PREFETCH_RESERVED_WORKERS_FACTOR) == [1, 1, 2, 6, 10]
    assert at_once(many, 6, 70, 890, kept_free=PREFETCH_RESERVED_WORKERS_FACTOR) == [2, 56, 200]
    quick = evolve(ENGINE, models={"m0": Model("m0", 70.0, 0.8, 0, 1.0)}, max_loads_per_s=5.0)
    assert max_concurrent_store_loads(quick, 6) == 4, "quick ones leave a worker free soon enough"


def test_what_is_known_of_disks_is_bounded_and_the_first_seen_goes_first() -> None:
    disks = DiskInventory()
    for number in range(MAX_KNOWN_DISKS + 10):
        disks.record_models(f"i-{number}", f"a:{number}", ["m0"])
    assert len(disks.by_instance) == len(disks.latest_instances) == MAX_KNOWN_DISKS
    assert not disks.has_model("i-9", "m0") and disks.has_model("i-10", "m0")
    disks.record_models("i-new", "a:9", [])
    assert not disks.may_have_model("i-new", "m0")
