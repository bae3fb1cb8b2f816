"""Peers at virtual time: how old counts may be, how much of a budget is used, equal numbers at cold ones.

    .venv-lab/bin/python benchmarks/peers_virtual.py age --every 0.1 --age 0.01   # ties by counts
    .venv-lab/bin/python benchmarks/peers_virtual.py use --dispatchers 100   # of 100 a second
    .venv-dev/bin/python benchmarks/peers_virtual.py cold   # all told one number, ten of them
    .venv-lab/bin/python benchmarks/peers_virtual.py knows --dispatchers 50 [--loss 0.3]   # one dies at 30 s
    .venv-lab/bin/python benchmarks/peers_virtual.py calm --dispatchers 9 --for 3600 [--loss 0.3]

`age` tells each dispatcher what all others hold, each `--every` seconds and `--age` seconds late; 0: nothing.
"""

import argparse
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(HERE))


def age(args: argparse.Namespace) -> None:
    from finchladder.core import api
    from finchladder.core.peers.loads import attach, own_slots_in_flight
    from finchladder.lab import decisions, floor
    from finchladder.lab.check import load

    sets = [f"dispatchers={args.dispatchers}"]
    e = load(HERE / "benchmarks" / "spread.toml", sets, args.seed, 1, processes=False)[0].experiment
    play = decisions.Play(e)

    def wave() -> None:
        own = [own_slots_in_flight(node.d.workers.values()) for node in play.nodes]
        whole: dict[int, float] = {}
        for counts in own:
            for n, count in counts.items():
                whole[n] = whole.get(n, 0.0) + count
        for node, mine in zip(play.nodes, own, strict=True):
            others = {n: c - mine.get(n, 0.0) for n, c in whole.items()}
            play.kernel.after(args.age, lambda node=node, o=others: node.tell(api.PeerLoads(o, args.age)))
        play.kernel.after(args.every, wave)

    if args.every:
        for node in play.nodes:
            attach(node.d)
        play.kernel.after(args.every, wave)
    row = floor.row(e, play.run(), play.latency)
    latency = row["latency"]["roster-view"]
    print(
        f"every {args.every:g} s, {args.age:g} s old: full {row['full']:.3f}, idle {row['idle']:.3f},"
        f" wait over mean p99 {row['wait_over_mean']['p99']:.2f}, p99 {latency['p99_ms']:.0f} ms"
    )


def use(args: argparse.Namespace) -> None:
    from finchladder.sim.peers import Play, World

    limit, ends = 100.0, []
    play = Play(args.seed, World(args.dispatchers, limit, 3 * limit, 0.0, 40.0, ()))
    for at in (20.0, 39.99):
        play.at(at, lambda: ends.append(play.total_taken))
    broken = play.run(heals=False)
    print(
        f"{args.dispatchers}: used {(ends[1] - ends[0]) / 20 / limit:.3f},"
        f" most in a second {play.most_taken}, {play.sent / args.dispatchers / 40:.1f} packets a second each,"
        f" broken: {broken}"
    )


def cold(args: argparse.Namespace) -> None:
    from finchladder.core.health import slow_start as module
    from tests.core import test_cold

    own = module.van_der_corput
    for told in (None, *(n / 10 for n in range(10))):
        module.van_der_corput = own if told is None else lambda index, told=told: told
        play, rates = test_cold.Play(200, 2000, False), [1.0] * 200
        play.until(0.0, test_cold.BORN, rates)
        play.joins(test_cold.BORN)
        play.until(test_cold.BORN, test_cold.BORN + 8.5, rates)
        most = max(
            (sum(w for b, w, _ in play.cold if a <= b < a + 2.0) for a, _, _ in play.cold), default=0.0
        )
        name = "own places" if told is None else f"all at {told:g}"
        print(f"{name}: {len(play.cold)} sends, {most:.1f} s of work within 2 s")


def knows(args: argparse.Namespace) -> None:
    """How long after a death each of the others holds it for gone, and what is told a second."""
    import numpy as np

    from finchladder.core.peers.messages import MemberStatus
    from finchladder.net.peers.datagrams import encode
    from finchladder.sim.peers import Fault, Play, World

    at, n = 30.0, args.dispatchers
    faults = [Fault("kill", at, 500.0, 1.0, (n - 1,))]
    if args.loss:
        faults.append(Fault("loss", 5.0, 500.0, args.loss, tuple(range(n))))
    play = Play(args.seed, World(n, 100.0, 1.0, 0.0, at + 30.0, tuple(faults)))
    took: dict[int, float] = {}
    told = [0, 0]
    carry = play.carry

    def count(sender, to, packet):  # type: ignore[no-untyped-def]
        told[0] += 1
        if told[0] % 50 == 0:
            told[1] += len(encode("finchladder", packet))
        carry(sender, to, packet)

    def look() -> None:
        for i, p in play.alive.items():
            if i not in took and p.peers.members.by_name[f"n{n}"].status is MemberStatus.GONE:
                took[i] = play.now - at
        play.at(play.now + 0.05, look)

    play.carry = count  # type: ignore[method-assign]
    play.at(at + 0.05, look)
    play.run(heals=False)
    p50, p99 = np.percentile(list(took.values()), [50, 99])
    each = told[0] / n / (at + 30.0)
    size = told[1] / max(1, told[0] // 50)
    print(
        f"{n} dispatchers, loss {args.loss:g}: {len(took)} of {n - 1} hold it for gone after"
        f" p50 {p50:.1f} s, p99 {p99:.1f} s; {each:.1f} packets and {each * size:.0f} bytes a second each"
    )


def calm(args: argparse.Namespace) -> None:
    """False suspicions while nobody dies."""
    from finchladder.core.peers.messages import MemberStatus
    from finchladder.sim.peers import Fault, Play, World

    n = args.dispatchers
    faults = (Fault("loss", 5.0, 1e6, args.loss, tuple(range(n))),) if args.loss else ()
    play = Play(args.seed, World(n, 100.0, 1.0, 0.0, args.for_s, ()))
    play.links = list(faults)
    wrong = {MemberStatus.SUSPECTED: 0, MemberStatus.GONE: 0}
    looks = 0

    def look() -> None:
        nonlocal looks
        for p in play.alive.values():
            for m in p.peers.members.by_name.values():
                looks += 1
                if m.incarnation and m.status in wrong:
                    wrong[m.status] += 1
        play.at(play.now + 1.0, look)

    play.at(20.0, look)
    play.run(heals=False)
    print(
        f"{n} dispatchers, {args.for_s:g} s, loss {args.loss:g}: of {looks} judgements, one a second,"
        f" {wrong[MemberStatus.SUSPECTED]} suspect and {wrong[MemberStatus.GONE]} hold for gone"
        " one that is there"
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("what", choices=("age", "use", "cold", "knows", "calm"))
    parser.add_argument("--dispatchers", type=int, default=200)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--loss", type=float, default=0.0)
    parser.add_argument("--for", dest="for_s", type=float, default=3600.0)
    parser.add_argument("--every", type=float, default=0.0)
    parser.add_argument("--age", type=float, default=0.0)
    args = parser.parse_args()
    {"age": age, "use": use, "cold": cold, "knows": knows, "calm": calm}[args.what](args)


if __name__ == "__main__":
    main()
