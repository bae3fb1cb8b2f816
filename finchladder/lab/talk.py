"""Peers of the decisions at virtual time: what they tell each other of real servers, without sockets.

For `lab/decisions.py`: each of its nodes judges by evidence, and with `talk` hears what the others say, by
`core/peers` as it stands over links of LINK_S that lose nothing.
"""

from collections.abc import Callable
from functools import partial

from finchladder.core.health.detection.detector import DetectorSettings, OutlierDetector, ReportSource, attach
from finchladder.core.peers.exchange import Packets, Peers
from finchladder.core.peers.messages import Packet
from finchladder.lab.decisions import Play

LINK_S = 0.0005
LEAST_S = 0.0005


class Talk:
    def __init__(
        self,
        play: Play,
        rules: DetectorSettings,
        talk: bool = True,
        log: Callable[[str, str], None] = lambda who, what: None,
    ) -> None:
        """`log`: gets each dispatcher's name and line."""
        self.play, self.kernel = play, play.kernel
        self.judges: list[OutlierDetector] = []
        self.peers: list[Peers] = []
        self.packets = 0
        names = [f"n{i + 1}" for i in range(len(play.nodes))]
        for i, node in enumerate(play.nodes):
            judge = attach(node.d, names[i], rules, 0.0, lambda text, i=i: log(names[i], text))  # type: ignore[misc]
            self.judges.append(judge)
            if talk:
                peers = Peers(names[i], names, play.e.seed * 1000 + i, 1000, 0.0)
                peers.evidence = ReportSource(judge, node.d)
                self.peers.append(peers)
        for i in range(len(self.peers)):
            self._turn(i)

    def _turn(self, i: int) -> None:
        now, peers = self.kernel.now, self.peers[i]
        self._carry(peers.tick(now))
        if (hearsay := peers.take_reports(now)) is not None:
            self.play.nodes[i].tell(hearsay)
        self.kernel.at(max(now + LEAST_S, peers.next_due()), lambda: self._turn(i))

    def _carry(self, packets: Packets) -> None:
        for to, packet in packets:
            self.packets += 1
            i = int(to[1:]) - 1
            self.kernel.after(LINK_S, partial(self._arrive, i, packet))

    def _arrive(self, i: int, packet: Packet) -> None:
        self._carry(self.peers[i].receive(self.kernel.now, packet))
