"""One dispatcher: its parts wired together, and its life from the first listening to its leaving."""

import asyncio
import signal
from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING, NamedTuple

from loguru import logger

from finchladder.config.options import JudgementOptions, MembershipOptions, Options, PeersOptions
from finchladder.config.platform import DispatcherSetup
from finchladder.config.settings import read_seed
from finchladder.core.connections.body_memory import BodyMemory
from finchladder.core.connections.graceful_shutdown import GracefulShutdown
from finchladder.core.dispatch.dispatcher import Dispatcher
from finchladder.core.membership.watch import WatchState
from finchladder.core.membership.watch_backoff import WatchBackoff
from finchladder.core.routing.limited_dispatcher import NewRoutes, RouteLimitedDispatcher, make_decisions
from finchladder.core.routing.routes import Routes
from finchladder.features import snapshot
from finchladder.features.capture import Capture
from finchladder.features.request_admission import Arrivals
from finchladder.features.status import JobStatus
from finchladder.net.admission import Admission
from finchladder.net.capture_recorder import CaptureRecorder
from finchladder.net.client_listener import ClientListener
from finchladder.net.config_reload import ConfigReloader, count_routes
from finchladder.net.control import ControlCalls
from finchladder.net.decision_actor import Clock, DecisionActor
from finchladder.net.endpoint_watcher import MAX_APPLIED_AT_ONCE, EndpointWatcher
from finchladder.net.flows import FlowTable
from finchladder.net.host_environment import Disk, HostEnvironment
from finchladder.net.job_intake import JobIntake
from finchladder.net.request_handler import RequestHandler
from finchladder.net.timers import Timers
from finchladder.net.workers import MAX_CONNECTIONS_PER_WORKER, WorkerPool

if TYPE_CHECKING:
    from finchladder.config.operator_file import Loaded
    from finchladder.core.health.detection.detector import OutlierDetector
    from finchladder.core.membership.subset_filter import SubsetFilter
    from finchladder.core.peers.bucket import Bucket
    from finchladder.core.peers.exchange import Peers
    from finchladder.net.etcd.follow import EtcdActor
    from finchladder.net.membership_actor import MembershipActor
    from finchladder.net.peers.actor import PeersActor


class OperatorFile(NamedTuple):
    """One in TOML: as it was read at the start, and how it is read again."""

    loaded: "Loaded"
    read: Callable[[], "Loaded"]


class DispatcherNode:
    """To be made and run on the loop that its dispatcher lives on. `reread` reads its configuration again."""

    def __init__(
        self,
        setup: DispatcherSetup,
        options: Options,
        reread: Callable[[], DispatcherSetup],
        machine: HostEnvironment | None = None,
        file: OperatorFile | None = None,
    ) -> None:
        self.setup, self.options, self.read_setup = setup, options, reread
        self.machine = machine or HostEnvironment()
        self.clock = Clock(self.machine.wall, self.machine.monotonic)
        status = JobStatus(options.status) if options.status is not None else None
        self.flows = FlowTable(status, self.clock, setup.limits.sockets)
        seed = read_seed(setup.seed)
        peers = self._build_exchange(options.peers, seed) if options.peers is not None else None
        decided = self._build_decisions(seed, file, peers)
        arrivals = Arrivals(options, seed)
        self._build_peers(peers, arrivals)
        self._build_capture(decided, arrivals)
        self.timers = Timers(self.clock)
        subset = self._build_workers()
        self._build_discovery(subset, seed)
        self._build_intake(arrivals)
        self._build_reload(file)
        controls = self._build_controls(arrivals, peers)
        self._build_admission(seed)
        self._build_clients(controls)

    def _build_decisions(
        self, seed: int, file: OperatorFile | None, peers: "Peers | None"
    ) -> Dispatcher | RouteLimitedDispatcher:
        """The decisions, with the rate limits of routes shared among peers, and their actor."""
        routes = file.loaded.routes if file is not None else None
        share = self._shared_bucket if peers is not None else None
        decided = make_decisions(self.setup.settings, seed, routes, self.options.spillover_settings(), share)
        self.dispatcher = decided.inner if isinstance(decided, RouteLimitedDispatcher) else decided
        self.decisions = DecisionActor(decided, self.flows, self.clock)
        return decided

    def _build_peers(self, peers: "Peers | None", arrivals: Arrivals) -> None:
        """Outlier detection, then the exchange with the other dispatchers, where they are on."""
        self.detector: OutlierDetector | None = None
        if self.options.judgement is not None:
            self._build_detector(self.options.judgement, peers)
        self.peers: PeersActor | None = None
        if self.options.peers is not None and peers is not None:
            self._build_peers_actor(self.options, peers, arrivals)

    def _build_capture(self, decided: Dispatcher | RouteLimitedDispatcher, arrivals: Arrivals) -> None:
        """The recorder of all inputs and outputs of the decisions, where it is on."""
        self.capture: Capture | None = None
        self.capture_files: Disk | None = None
        if self.options.capture is None:
            return
        self.capture_files = self.machine.open_capture_files(
            self.options.capture, self.setup.name, int(self.clock() * 1000)
        )
        states = snapshot.Taking(decided, arrivals)
        self.capture = Capture(self.options.capture, self.setup.seed, states, self.capture_files)
        self.capture.begin(self.clock())
        recorder = CaptureRecorder(self.capture)
        self.decisions.recorder = recorder
        arrivals.tap = recorder
        self.capture.soon = recorder.call_soon

    def _build_workers(self) -> "SubsetFilter | None":
        """The pool of workers; returns the filter of the list where only a subset of it is used."""
        subset, max_connections_each = None, MAX_CONNECTIONS_PER_WORKER
        if self.options.aperture is not None:
            # only a dispatcher that uses a subset loads it
            from finchladder.core.membership.subset_filter import SubsetFilter

            aperture, own = self.options.aperture.settings(), self.setup.settings
            subset = SubsetFilter(own.index, own.dispatchers, aperture)
            max_connections_each = aperture.connections_each
        self.workers = WorkerPool(
            self.flows,
            self.decisions,
            self.timers,
            self.setup.caps.connect_timeout_s,
            self.setup.caps.conn_idle_s,
            self.setup.limits.sockets,
            self.machine.connect,
            max_connections_each,
        )
        self.decisions.sender = self.workers
        return subset

    def _build_discovery(self, subset: "SubsetFilter | None", seed: int) -> None:
        """The sources of the worker list, and the membership rules over them, where they are on."""
        self.watcher = EndpointWatcher(
            self.setup.discovery, self.workers.update, self.workers.retire, self.machine.connect, subset
        )
        self.watcher.on_settled = self.machine.freeze_objects
        self.membership: MembershipActor | None = None
        self.etcd: EtcdActor | None = None
        if self.options.membership is not None or self.options.etcd is not None:
            self._build_membership(self.options, seed)
        settings = self.setup.settings
        shared = settings.must_subscribe
        self.watcher.watch_state = rules = WatchState(shared)
        callers = settings.dispatchers if shared else 1
        # not from the decisions' draws: those must be the same in a replay
        random = Random(f"{seed}/discovery")
        self.watcher.backoff = WatchBackoff(callers, random, rules.reopen_within_s, rules.retry_within_s)

    def _build_intake(self, arrivals: Arrivals) -> None:
        """The intake of jobs, with the bounds of a shutdown."""
        self.classes = {c.name for c in self.setup.settings.classes}
        leaving = GracefulShutdown(max(c.deadline_s for c in self.setup.settings.classes))
        self.intake = JobIntake(
            self.classes,
            self.flows,
            self.decisions,
            self.timers,
            arrivals,
            leaving,
            self.setup.limits.sockets,
        )

    def _build_reload(self, file: OperatorFile | None) -> None:
        """The reloading of the operator's file, where there is one."""
        self.reloader: ConfigReloader | None = None
        if file is not None:
            self.reloader = ConfigReloader(
                file.loaded, file.read, self.machine.run_in_thread, self._apply_routes
            )
            self.intake.routes = file.loaded.routes

    def _build_controls(self, arrivals: Arrivals, peers: "Peers | None") -> ControlCalls:
        """The control endpoints of the features that are on."""
        controls = ControlCalls(
            self.clock, self.classes, self.options, self.flows.status, arrivals, self.capture
        )
        controls.peers = self.peers
        if self.options.judgement is not None and self.detector is not None:
            # only a dispatcher with outlier detection loads it
            from finchladder.net.outlier_control import OutlierControl

            controls.outlier_control = OutlierControl(
                self.options.judgement.key,
                self.detector,
                self.dispatcher,
                self.clock,
                self.decisions.submit,
                peers,
            )
            if self.peers is not None:
                self.peers.show_detector = controls.outlier_control.show
        return controls

    def _build_admission(self, seed: int) -> None:
        """Admission control under overload, where it is on."""
        self.admission: Admission | None = None
        if self.options.overload is None:
            return
        settings = self.setup.settings
        limits = self.options.overload.settings(settings.max_retry_after_s)
        self.admission = Admission(
            settings.classes, limits, seed, self.clock, self.flows.is_known, self.machine
        )
        self.decisions.on_job_started = self.admission.record_start

    def _build_clients(self, controls: ControlCalls) -> None:
        """The handler of messages and the listener for client connections."""
        lists = self.membership or self.watcher
        handler = RequestHandler(
            self.intake, controls, lambda: lists.up, self.workers.handle_callback, self.admission
        )
        limits = self.setup.limits
        self.body_memory = BodyMemory(limits.memory_mb * 1024 * 1024, self.options.memory_bytes())
        self.listener = ClientListener(handler, self.body_memory, limits.sockets)

    def _build_exchange(self, options: PeersOptions, seed: int) -> "Peers":
        """This one's place among the dispatchers."""
        # only a dispatcher that is to do so loads them
        from finchladder.core.peers.exchange import Peers, Rule
        from finchladder.core.peers.loads import own_counts
        from finchladder.core.peers.membership import Timing

        addresses = options.addresses_including(self.setup.name)
        rule = Rule(Timing(options.period_s), options.wave_s if options.counts else 0.0)
        self.exchange = Peers(
            self.setup.name,
            addresses,
            seed,
            int(self.machine.wall() * 1000),
            self.clock(),
            rule,
            lambda: own_counts(self.dispatcher.workers.values()),
        )
        return self.exchange

    def _build_detector(self, options: JudgementOptions, joined: "Peers | None") -> None:
        """Real servers are judged by evidence, others' too where dispatchers speak with each other."""
        from finchladder.core.health.detection.detector import DetectorSettings, ReportSource, attach

        rules = DetectorSettings(options.most_out, options.term_s)
        self.detector = attach(self.dispatcher, self.setup.name, rules, self.clock(), logger.info)
        if joined is not None:
            joined.evidence = ReportSource(self.detector, self.dispatcher)

    def _shared_bucket(self, budget: str, limit: float) -> "Bucket":
        return self.exchange.share(budget, limit, self.clock(), self.setup.settings.dispatchers)

    def _build_peers_actor(self, options: Options, joined: "Peers", arrivals: Arrivals) -> None:
        from finchladder.core.peers.loads import attach
        from finchladder.features.shared_admission_limits import SharedBuckets
        from finchladder.net.peers.actor import PeersActor

        assert options.peers is not None
        if arrivals.door is not None:
            least = self.setup.settings.dispatchers
            arrivals.door.share(options, lambda name, o: SharedBuckets(joined, name, o, least))
        heard = None
        if options.peers.counts:
            attach(self.dispatcher)
        if options.peers.counts or options.judgement is not None:
            heard = self.decisions.submit
        self.peers = PeersActor(
            joined,
            options.peers.fleet,
            self.setup.listen,
            options.peers.addresses(),
            self.clock,
            heard,
            self.machine.datagrams,
        )

    def _build_membership(self, options: Options, seed: int) -> None:
        """Lists are believed by the rules of membership, and no more as they come."""
        # only a dispatcher that is to do so loads them
        from finchladder.core.membership.decisions import Source
        from finchladder.net import membership_actor

        own, machine = options.membership or MembershipOptions(), self.machine
        sources = [Source(membership_actor.DISCOVERY, membership_actor.SILENCE_TIMEOUT_S)]
        if options.etcd is not None:
            from finchladder.net.etcd import follow, state

            sources.insert(0 if own.lead == state.SOURCE else 1, Source(state.SOURCE, state.MAX_SILENCE_S))
        file = (
            (machine.last_good or membership_actor.last_good_file)(own.last_good) if own.last_good else None
        )
        self.membership = members = membership_actor.MembershipActor(
            sources,
            own.settings(),
            self.clock,
            membership_actor.EndpointApplier(self.watcher),
            MAX_APPLIED_AT_ONCE,
            file,
        )
        self.watcher = membership_actor.DiscoverySource(self.setup.discovery, members, machine.connect)
        if options.etcd is not None:
            self.etcd = follow.EtcdActor(
                options.etcd,
                members.report,
                members.source_is_alive,
                machine.connect,
                machine.run_in_thread,
                machine.monotonic,
                Random(f"{seed}/etcd"),
            )

    async def serve(self) -> None:
        """Until SIGTERM or SIGINT, and then until all that was taken is answered."""
        setup, loop, left = self.setup, asyncio.get_running_loop(), asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, left.set)
        self.machine.allow_descriptors(setup.limits.sockets)
        self.workers.start()
        if self.admission is not None:
            self.admission.start()
        known = setup.known if self.membership is None else await self.membership.load_last_good(setup.known)
        self.watcher.start(known)
        if self.etcd is not None:
            self.etcd.start()
        # a SIGHUP with nobody to handle it would end the process, and with it all open flows
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        if self.peers is not None:
            self.peers.start()
        # whoever connects before is refused at once, and has lost nothing
        await self.watcher.wait_for_first_update()
        for listening in self.machine.listen(setup.listen, setup.limits.sockets):
            self.listener.add_socket(listening)
        logger.info("{}: serving at {}:{}", setup.name, *setup.listen)
        if self.reloader is not None:
            loaded = self.reloader.loaded
            logger.info("routes: version {} holds, {}", loaded.version, count_routes(loaded.routes))
        await left.wait()
        logger.info("{}: leaving", setup.name)
        await self.listener.shut_down()
        if self.peers is not None:
            self.peers.stop()
        if self.etcd is not None:
            self.etcd.stop()
        if self.membership is not None:
            self.membership.close()
        if self.capture_files is not None:
            self.capture_files.close()
        logger.info("{}: left", setup.name)

    def _reload(self) -> None:
        """What SIGHUP asks for: the file's discovery is followed, and the operator's routes hold.

        All else holds from the next start.
        """
        if self.reloader is not None:
            self.reloader.request_reload()
        try:
            discovery = self.read_setup().discovery
        except (ValueError, RecursionError) as e:
            logger.error("SIGHUP: {}; what was read before stays in force", " ".join(str(e).split()))
            return
        logger.info("SIGHUP: discovery is at {}:{}", *discovery)
        self.watcher.follow(discovery)
        if self.peers is not None:
            self._reload_peers(self.peers)

    def _reload_peers(self, peers: "PeersActor") -> None:
        """The file of the dispatchers is read again; one that can't be used changes nothing."""
        assert self.options.peers is not None
        try:
            addresses = self.options.peers.addresses_including(self.setup.name)
        except ValueError as e:
            logger.error("SIGHUP: {}; the dispatchers listed before stay", e)
            return
        peers.follow(addresses, self.setup.settings.dispatchers)
        logger.info("SIGHUP: [peers]: {} dispatchers are listed", len(addresses))

    def _apply_routes(self, routes: Routes) -> None:
        """In one step: a job that has come under a route of before is decided by that."""
        self.intake.routes = routes
        self.decisions.submit(NewRoutes(routes))
