"""The etcd client's state machine against a faulty cluster, in virtual time."""

from random import Random
from typing import Any

import pytest

from finchladder.core import api
from finchladder.core.membership.decisions import ANY_START
from finchladder.lab.etcd.auth import Permission
from finchladder.lab.etcd.cluster import Cluster
from finchladder.lab.etcd.store import Keys, Put, Refused, Txn
from finchladder.net.etcd import state
from finchladder.net.etcd.messages import ErrorResponse, Header, Item, Response
from finchladder.net.etcd.state import TRANSITIONS, Follower, State
from tests.etcd.play import Simulation, entry


def simulate(members: int = 1, names: int = 5, **more: Any) -> Simulation:
    p = Simulation(Cluster(members), **more)
    for n in range(names):
        p.put(f"members/w{n}", entry(f"w{n}"))
    return p


def followed(members: int = 1, names: int = 5, **more: Any) -> Simulation:
    p = simulate(members, names, **more)
    p.run(0.5)
    assert p.follower.state is State.FOLLOWING
    assert len(p.reports) == 1
    assert p.states() == p.truth()
    return p


def test_a_list_is_read_in_pages_and_changes_arrive_within_one_hop() -> None:
    p = followed()
    assert p.reports[0].workers.kind is api.ListKind.FULL
    assert p.reports[0].version == 6
    p.put("drain/w1")
    p.run(0.002)
    (drained,) = p.reports[-1].workers.entries
    assert (drained.state, drained.started_at) == (api.WorkerStatus.DRAINING, ANY_START)
    assert p.reports[-1].addresses
    p.put("drain/w9")  # another source may list this worker
    p.run(0.002)
    assert p.reports[-1].workers.entries[0].state is api.WorkerStatus.DRAINING
    assert not p.reports[-1].addresses
    for key in ("drain/w1", "members/w2", "drain/w9"):
        p.delete(key)
    p.run(0.1)
    assert p.states() == {"w0": "ready", "w1": "ready", "w3": "ready", "w4": "ready"}


def test_a_transaction_in_fragments_is_one_report() -> None:
    p = followed()
    p.cluster.fragment = 1
    ops = tuple(Put(f"/f/members/w{n}".encode(), entry(f"w{n}", "draining")) for n in range(4))
    p.cluster.store.txn(Txn((), ops, ()))
    p.cluster.written()
    p.run(0.1)
    assert [len(r.workers.entries) for r in p.reports] == [5, 4]


def test_a_message_cut_between_fragments_is_read_again() -> None:
    f = Follower("/f", ["m"], Random(1))
    h = Header(cluster_id=1, revision=5)
    items = [Response(h, [item("w1", 5)], fragment=True), Response(h, [item("w2", 5)])]
    f.handle(0.0, state.TimerExpired())
    f.handle(0.0, state.Opened())
    f.handle(0.0, state.ListPage(Response(Header(cluster_id=1, revision=4), [])))
    f.handle(0.0, state.WatchMessage(Response(Header(cluster_id=1, revision=4), [], created=True)))
    assert not f.handle(0.0, state.WatchMessage(items[0]))
    assert f.last_revision == 4
    f.handle(0.0, state.EndpointFailed(state.Failure.LOST, ""))
    f.handle(0.1, state.TimerExpired())
    assert f.handle(0.1, state.Opened()) == [state.StartWatch(5)]


def item(name: str, mod: int) -> Item:
    return Item(f"/f/members/{name}".encode(), mod, entry(name), False, True)


@pytest.mark.parametrize(
    "value",
    [b"{", b'{"name":"w1"}', entry("w2"), entry("w1", "asleep"), b"x" * 9000, b"x" * 1_000_000],
    ids=["form", "fields", "name", "status", "9 KB", "1 MB"],
)
def test_an_unusable_entry_changes_nothing_and_is_logged_once(value: bytes) -> None:
    p = followed()
    p.put("members/w1", value)
    p.put("members/w5", value)  # the worker was unknown before
    p.put("members/w6", entry("w6"))
    p.put("members/w1", value)
    p.run(0.1)
    assert p.states() == dict.fromkeys(["w0", "w1", "w2", "w3", "w4", "w6"], "ready")
    p.cluster.cut()
    p.run(6.0)
    # after this silence the list is read again, and the previous entry of w1 stays in use
    p.cluster.cut(on=False)
    p.run(2.0)
    assert len(p.reports) > 3
    assert p.states() == dict.fromkeys(["w0", "w1", "w2", "w3", "w4", "w6"], "ready")
    assert len([line for line in p.log if "the key is ignored" in line]) == 2
    p.put("members/w1", entry("w1", "draining"))
    p.run(0.1)
    assert p.states()["w1"] == "draining"


def test_a_broken_watch_is_resumed_or_after_compaction_listed_again() -> None:
    p = followed(3)
    p.cluster.cut()
    p.put("drain/w1")
    p.run(0.5)
    p.cluster.cut(on=False)
    p.run(2.0)
    assert [r.workers.kind.value for r in p.reports] == ["whole", "patch"]
    p.cluster.cut()
    p.delete("members/w2")
    p.put("drain/w3")
    p.cluster.store.compact(p.cluster.store.revision)
    p.cluster.cut(on=False)
    p.run(2.0)
    assert [r.workers.kind.value for r in p.reports] == ["whole", "patch", "whole"]
    assert p.states() == p.truth()


def test_after_a_long_stall_old_events_are_not_reported() -> None:
    p = followed()
    p.cluster.stall()
    p.put("drain/w1")
    p.delete("drain/w1")
    p.run(60.0)
    assert p.follower.state is not State.FOLLOWING
    assert len(p.reports) == 1
    p.cluster.stall(on=False, now=p.now)
    p.run(2.0)
    # the drain that ended meanwhile is not reported
    assert [r.workers.kind.value for r in p.reports] == ["whole", "whole"]


def test_a_pause_of_this_process_counts_as_silence() -> None:
    p = followed()
    p.put("drain/w1")  # the event stays in the socket during the pause
    p.now += 30.0
    p.run(1.0)
    assert [r.workers.kind.value for r in p.reports] == ["whole", "whole"]


@pytest.mark.parametrize("lies", [False, True])
def test_the_list_comes_from_a_lagging_member_and_the_watch_from_another(lies: bool) -> None:
    p = simulate(2)
    p.cluster.lag(0, lies=lies)
    p.put("drain/w1")
    p.run(3.0)
    if lies:
        assert p.states()["w1"] == "ready"
        assert p.follower.current == 0
        p.cluster.cut(0)
        p.run(2.0)
    assert p.states() == p.truth()
    assert p.follower.current == 1
    p.cluster.cut(1)  # the lagging member is at an older revision: nothing of it is used
    p.run(0.3 if lies else 2.0)
    assert p.states() == p.truth()
    assert p.reports[-1].version == 7


@pytest.mark.parametrize(("members", "id"), [(1, 0), (1, 7), (3, 0), (3, 7)])
def test_a_restored_backup_is_reported_once_as_a_full_list(members: int, id: int) -> None:
    p = followed(members)
    backup = p.cluster.backup()
    p.put("drain/w1")
    p.put("drain/w2")
    p.run(0.1)
    p.cluster.restore(backup, p.now, id)
    p.run(2.0)
    whole = p.reports[-1]
    assert (whole.workers.kind, whole.version) == (api.ListKind.FULL, 6)
    assert whole.epoch == f"{id or p.cluster.id:x}"
    assert p.states() == p.truth()
    p.put("drain/w3")
    p.run(0.1)
    assert p.states() == p.truth()


def test_an_unreachable_endpoint_does_not_block_a_restored_backup() -> None:
    p = followed(2)
    backup = p.cluster.backup()
    p.put("drain/w1")
    p.run(0.1)
    p.cluster.restore(backup, p.now)
    p.cluster.cut(1)
    p.run(3.0)
    assert p.states() == p.truth()


def test_entries_of_expired_leases_are_removed() -> None:
    p = followed()
    lease = p.cluster.store.grant(p.now, 5)
    for n in range(3):
        p.cluster.store.txn(Put(f"/f/members/w{n}".encode(), entry(f"w{n}"), lease.id))
    p.run(8.0)
    assert p.states() == {"w3": "ready", "w4": "ready"}
    assert len(p.reports[-1].workers.entries) == 3


def test_expired_tokens_are_renewed_and_rejected_logins_back_off() -> None:
    p = Simulation(Cluster(), user=True)
    auth = p.cluster.auth
    auth.add_role("r", Permission("READ", Keys(b"/f/", b"/f0")))
    auth.add_user("u", "p", ["r"])
    auth.add_user("root", "x", ["root"])
    auth.enable()
    p.put("members/w1", entry("w1"))
    p.run(1.0)
    assert p.states() == p.truth()
    auth.expire()
    p.run(5.0)  # a probe logs in again, and the watch continues
    p.put("drain/w1")
    p.run(0.1)
    assert p.states() == p.truth()
    assert len(p.reports) == 2
    assert not p.log
    for line in p.lines():
        if line.lines:
            line.session.cancel(Refused(16, "etcdserver: invalid auth token"))
    p.run(0.1)
    p.delete("drain/w1")
    p.run(0.1)
    assert p.states() == p.truth()
    assert ["token has expired" in text for text in p.log] == [True]
    auth.passwords["u"] = "other"
    p.cluster.cut()
    p.cluster.cut(on=False)
    before = auth.count
    p.run(60.0)
    assert len(p.log) == 3
    assert auth.count == before
    assert p.states() == p.truth()
    auth.passwords["u"] = "p"
    p.run(6.0)
    assert p.follower.state is State.FOLLOWING


@pytest.mark.parametrize("less", [Header(1, 0, 3, 2), Header(1, 0, 9, 1)], ids=["revision", "term"])
def test_older_endpoints_are_skipped_until_all_are_older(less: Header) -> None:
    f, h = Follower("/f", ["a", "b"], Random(1)), Header(1, 0, 5, 2)
    first: list[state.Event] = [state.TimerExpired(), state.Opened(), state.ListPage(Response(h, []))]
    for event in [*first, state.WatchMessage(Response(h, [], created=True))]:
        f.handle(0.0, event)
    # an event that was reported before
    assert not f.handle(0.0, state.WatchMessage(Response(h, [item("w", 4)])))
    f.handle(0.0, state.EndpointFailed(state.Failure.LOST, ""))
    for after in (State.WAITING, State.LISTING):
        f.handle(0.1, state.TimerExpired())
        f.handle(0.1, state.Opened())
        f.handle(0.1, state.WatchMessage(Response(less, [], created=True)))
        assert f.state is after


def test_repeated_rejections_end_in_a_backoff() -> None:
    for answer in (
        Response(Header(), [], canceled=True, error=ErrorResponse(16, "invalid auth token")),
        Response(Header(), [], canceled=True, compacted=7),
    ):
        f, tries = Follower("/f", ["m"], Random(1)), 0
        f.handle(0.0, state.TimerExpired())
        while f.state is not State.WAITING:
            tries += 1
            f.handle(0.0, state.Opened())
            f.handle(0.0, state.ListPage(Response(Header(revision=3), [])))
            f.handle(0.0, state.WatchMessage(answer))
        assert tries == state.MAX_RESTARTS + 1


def test_a_withholding_watch_is_detected_despite_changes_of_other_keys() -> None:
    p = followed()
    for _ in range(30):  # another application keeps writing its keys
        p.cluster.store.txn(Put(b"/other"))
        p.run(1.0)
    assert len(p.reports) == 1
    assert not p.log
    assert p.follower.last_revision > 15
    assert p.watch is not None
    p.watch.written = p.watch.session.write = lambda data: None  # type: ignore[method-assign]
    p.delete("members/w1")
    p.run(20.0)
    assert p.states() == p.truth()
    assert len(p.log) == 2


def test_retries_are_jittered() -> None:
    p = simulate(3)
    p.cluster.cut()
    opened: list[float] = []
    p.opened = lambda member: (opened.append(p.now), p.happens(state.EndpointFailed(state.Failure.LOST, "")))  # type: ignore
    p.run(60.0)
    rounds = [b - a for a, b in zip(opened[::3], opened[3::3], strict=False)]
    assert len(set(rounds)) == len(rounds)
    assert min(rounds[5:]) > 0.4
    assert max(rounds) < 1.2
    assert len(p.log) == 1


@pytest.mark.parametrize("seed", range(40))
def test_after_random_faults_the_state_is_correct_within_2_s(seed: int) -> None:
    """Random faults for 60 s of virtual time per seed."""
    random = Random(seed)
    p = followed(3, seed=seed)
    backups = [p.cluster.backup()]
    while p.now < 60.0:
        some = random.sample(range(3), random.randint(1, 3))
        name, on = f"w{random.randrange(8)}", random.random() < 0.4
        match random.randrange(12):
            case 0:
                p.cluster.stall(*some, on=on, now=p.now)
            case 1:
                p.cluster.cut(*some, on=on)
            case 2:
                p.cluster.lag(*some, on=on, lies=random.random() < 0.5)
            case 3 if random.random() < 0.3:
                p.cluster.cut()  # a restore takes some time, during which the cluster is down
                p.run(state.MAX_SILENCE_S + 1.0)
                p.cluster.restore(random.choice(backups), p.now, random.choice([0, 0, 7, 8]))
            case 4:
                backups.append(p.cluster.backup())
            case 5 if p.cluster.store.revision > p.cluster.store.compacted:
                p.cluster.store.compact(p.cluster.store.revision)
            case 6 | 7:
                p.put(f"drain/{name}")
            case 8:
                p.delete(f"drain/{name}")
            case 9:
                p.delete(f"members/{name}")
            case _:
                p.put(f"members/{name}", entry(name))
        p.run(random.choice([0.0, 0.0, 0.001, 0.01, 0.5, 3.0]))
    for fault in (p.cluster.stall, p.cluster.cut, p.cluster.lag):
        fault(on=False)
    p.run(2.0)
    assert p.states() == p.truth()
    assert p.follower.state is State.FOLLOWING


def test_exactly_the_transitions_of_the_table_occur() -> None:
    h, later = Header(cluster_id=1, revision=3), Header(cluster_id=1, revision=9)
    refused = ErrorResponse(16, "invalid auth token")
    events: list[state.Event] = [
        state.TimerExpired(),
        state.Opened(),
        state.ListPage(Response(h, [])),
        state.ListPage(Response(h, [item("w", 3)], more=True)),
        state.ListPage(Response(Header(), [])),
        state.ProbeResult(h),
        state.ProbeResult(later),
        state.ProbeResult(Header()),
        state.CheckResult(Response(h, [])),
        state.CheckResult(Response(h, [item("w", 4)])),
        state.WatchMessage(Response(h, [], created=True)),
        state.WatchMessage(Response(h, [])),
        state.WatchMessage(Response(Header(), [])),
        state.WatchMessage(Response(later, [item("w", 4)])),
        state.WatchMessage(Response(h, [], canceled=True, compacted=2)),
        state.WatchMessage(Response(h, [], canceled=True, error=refused)),
        state.EndpointFailed(state.Failure.LOST, ""),
        state.CallFailed(ErrorResponse(14, "no leader")),
        state.CallFailed(ErrorResponse(11, "has been compacted")),
    ]
    met: set[tuple[State, type, State]] = set()
    for seed in range(400):
        random, f, now = Random(seed), Follower("/f", ["a", "b"], Random(1)), 0.0
        for _ in range(60):
            now, before = now + random.choice([0.0, 0.0, 0.1, 4.0, 11.0]), f.state
            event = random.choice([e for e in events if type(e) in TRANSITIONS[before]])
            f.handle(now, event)  # checks the transition against the table
            met.add((before, type(event), f.state))
    assert met == {(a, e, b) for a, row in TRANSITIONS.items() for e, after in row.items() for b in after}
