"""One dispatcher process: builds its components, serves until a signal, and shuts down gracefully."""

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
from finchladder.features.request_admission import RequestAdmission
from finchladder.features.status import JobStatus
from finchladder.net.admission import Admission
from finchladder.net.capture_recorder import CaptureRecorder
from finchladder.net.client_listener import ClientListener
from finchladder.net.config_reload import ConfigReloader, count_routes
from finchladder.net.control import ControlEndpoints
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
    """The operator's TOML file: its content at the start, and the function that reads it again."""

    loaded: "Loaded"
    read: Callable[[], "Loaded"]


class DispatcherNode:
    """The components of one dispatcher.

    It must be created and run on the same event loop. `read_setup` reads the platform configuration again.
    """

    def __init__(
        self,
        setup: DispatcherSetup,
        options: Options,
        read_setup: Callable[[], DispatcherSetup],
        machine: HostEnvironment | None = None,
        file: OperatorFile | None = None,
    ) -> None:
        self.setup, self.options, self.read_setup = setup, options, read_setup
        self.machine = machine or HostEnvironment()
        self.clock = Clock(self.machine.wall, self.machine.monotonic)
        status = JobStatus(options.status) if options.status is not None else None
        self.flows = FlowTable(status, self.clock, setup.limits.sockets)
        seed = read_seed(setup.seed)
        peers = self._build_exchange(options.peers, seed) if options.peers is not None else None
        dispatcher = self._build_decisions(seed, file, peers)
        arrivals = RequestAdmission(options, seed)
        self._build_peers(peers, arrivals)
        self._build_capture(dispatcher, arrivals)
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
        """Builds the dispatcher core and its actor; peers, if any, share the rate limits of routes."""
        routes = file.loaded.routes if file is not None else None
        share = self._shared_bucket if peers is not None else None
        dispatcher = make_decisions(
            self.setup.settings, seed, routes, self.options.spillover_settings(), share
        )
        self.dispatcher = dispatcher.inner if isinstance(dispatcher, RouteLimitedDispatcher) else dispatcher
        self.decisions = DecisionActor(dispatcher, self.flows, self.clock)
        return dispatcher

    def _build_peers(self, peers: "Peers | None", arrivals: RequestAdmission) -> None:
        """Builds outlier detection and then the exchange with the other dispatchers, where enabled."""
        self.detector: OutlierDetector | None = None
        if self.options.judgement is not None:
            self._build_detector(self.options.judgement, peers)
        self.peers: PeersActor | None = None
        if self.options.peers is not None and peers is not None:
            self._build_peers_actor(self.options, peers, arrivals)

    def _build_capture(
        self, dispatcher: Dispatcher | RouteLimitedDispatcher, arrivals: RequestAdmission
    ) -> None:
        """Builds the recorder of all inputs and outputs of the dispatcher core, where enabled."""
        self.capture: Capture | None = None
        self.capture_files: Disk | None = None
        if self.options.capture is None:
            return
        self.capture_files = self.machine.open_capture_files(
            self.options.capture, self.setup.name, int(self.clock() * 1000)
        )
        states = snapshot.SnapshotWriter(dispatcher, arrivals)
        self.capture = Capture(self.options.capture, self.setup.seed, states, self.capture_files)
        self.capture.begin(self.clock())
        recorder = CaptureRecorder(self.capture)
        self.decisions.recorder = recorder
        arrivals.observer = recorder
        self.capture.schedule = recorder.call_soon

    def _build_workers(self) -> "SubsetFilter | None":
        """Builds the pool of workers; returns the subset filter if only a subset of the list is used."""
        subset, max_connections_each = None, MAX_CONNECTIONS_PER_WORKER
        if self.options.aperture is not None:
            # imported only where a subset is used
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
        """Builds the sources of the endpoint list, and the membership rules over them, where enabled."""
        self.watcher = EndpointWatcher(
            self.setup.discovery, self.workers.update, self.workers.retire, self.machine.connect, subset
        )
        self.watcher.on_settled = self.machine.freeze_objects
        self.membership: MembershipActor | None = None
        self.etcd: EtcdActor | None = None
        if self.options.membership is not None or self.options.etcd is not None:
            self._build_membership(self.options, seed)
        settings = self.setup.settings
        must_subscribe = settings.must_subscribe
        self.watcher.watch_state = rules = WatchState(must_subscribe)
        watchers = settings.dispatchers if must_subscribe else 1
        # a separate generator: a replay must draw the same numbers in the dispatcher core
        random = Random(f"{seed}/discovery")
        self.watcher.backoff = WatchBackoff(watchers, random, rules.reopen_within_s, rules.retry_within_s)

    def _build_intake(self, arrivals: RequestAdmission) -> None:
        """Builds the intake of jobs, with the time limits of a graceful shutdown."""
        self.classes = {c.name for c in self.setup.settings.classes}
        shutdown = GracefulShutdown(max(c.deadline_s for c in self.setup.settings.classes))
        self.intake = JobIntake(
            self.classes,
            self.flows,
            self.decisions,
            self.timers,
            arrivals,
            shutdown,
            self.setup.limits.sockets,
        )

    def _build_reload(self, file: OperatorFile | None) -> None:
        """Builds the reloader of the operator's file, if there is one."""
        self.reloader: ConfigReloader | None = None
        if file is not None:
            self.reloader = ConfigReloader(
                file.loaded, file.read, self.machine.run_in_thread, self._apply_routes
            )
            self.intake.routes = file.loaded.routes

    def _build_controls(self, arrivals: RequestAdmission, peers: "Peers | None") -> ControlEndpoints:
        """Builds the control endpoints of the enabled features."""
        controls = ControlEndpoints(
            self.clock, self.classes, self.options, self.flows.status, arrivals, self.capture
        )
        controls.peers = self.peers
        if self.options.judgement is not None and self.detector is not None:
            # imported only where outlier detection is enabled
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
        """Builds admission control under overload, where enabled."""
        self.admission: Admission | None = None
        if self.options.overload is None:
            return
        settings = self.setup.settings
        limits = self.options.overload.settings(settings.max_retry_after_s)
        self.admission = Admission(
            settings.classes,
            limits,
            seed,
            self.clock,
            self.flows.is_known,
            self.machine,
            self.dispatcher.expected_run_time_s,
        )
        self.decisions.on_job_started = self.admission.record_start

    def _build_clients(self, controls: ControlEndpoints) -> None:
        """Builds the message handler and the listener for client connections."""
        source = self.membership or self.watcher
        handler = RequestHandler(
            self.intake, controls, lambda: source.up, self.workers.handle_callback, self.admission
        )
        limits = self.setup.limits
        self.body_memory = BodyMemory(limits.memory_mb * 1024 * 1024, self.options.memory_bytes())
        self.listener = ClientListener(handler, self.body_memory, limits.sockets)

    def _build_exchange(self, options: PeersOptions, seed: int) -> "Peers":
        """Builds this dispatcher's side of the exchange with its peers."""
        # imported only where peers are configured
        from finchladder.core.peers.exchange import ExchangeSettings, Peers
        from finchladder.core.peers.loads import own_slots_in_flight
        from finchladder.core.peers.membership import Timing

        addresses = options.addresses_including(self.setup.name)
        rule = ExchangeSettings(Timing(options.period_s), options.wave_s if options.counts else 0.0)
        self.exchange = Peers(
            self.setup.name,
            addresses,
            seed,
            int(self.machine.wall() * 1000),
            self.clock(),
            rule,
            lambda: own_slots_in_flight(self.dispatcher.workers.values()),
        )
        return self.exchange

    def _build_detector(self, options: JudgementOptions, exchange: "Peers | None") -> None:
        """Builds the outlier detector, which also uses the reports of peers where these are configured."""
        from finchladder.core.health.detection.detector import DetectorSettings, ReportSource, attach

        rules = DetectorSettings(options.most_out, options.term_s)
        self.detector = attach(self.dispatcher, self.setup.name, rules, self.clock(), logger.info)
        if exchange is not None:
            exchange.evidence = ReportSource(self.detector, self.dispatcher)

    def _shared_bucket(self, budget: str, limit: float) -> "Bucket":
        return self.exchange.register_budget(budget, limit, self.clock(), self.setup.settings.dispatchers)

    def _build_peers_actor(self, options: Options, exchange: "Peers", arrivals: RequestAdmission) -> None:
        from finchladder.core.peers.loads import attach
        from finchladder.features.shared_admission_limits import SharedTokenBuckets
        from finchladder.net.peers.actor import PeersActor

        assert options.peers is not None
        if arrivals.client_limits is not None:
            min_dispatchers = self.setup.settings.dispatchers
            arrivals.client_limits.use_shared(
                options, lambda name, o: SharedTokenBuckets(exchange, name, o, min_dispatchers)
            )
        on_update = None
        if options.peers.counts:
            attach(self.dispatcher)
        if options.peers.counts or options.judgement is not None:
            on_update = self.decisions.submit
        self.peers = PeersActor(
            exchange,
            options.peers.fleet,
            self.setup.listen,
            options.peers.addresses(),
            self.clock,
            on_update,
            self.machine.bind_datagrams,
        )

    def _build_membership(self, options: Options, seed: int) -> None:
        """Builds the membership actor: endpoint lists pass its rules before they are applied."""
        # imported only where membership rules or etcd are configured
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
        """Serves until SIGTERM or SIGINT, and then until all accepted jobs are answered."""
        setup, loop, stopping = self.setup, asyncio.get_running_loop(), asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stopping.set)
        self.machine.allow_descriptors(setup.limits.sockets)
        self.workers.start()
        if self.admission is not None:
            self.admission.start()
        known = setup.known if self.membership is None else await self.membership.load_last_good(setup.known)
        self.watcher.start(known)
        if self.etcd is not None:
            self.etcd.start()
        # an unhandled SIGHUP would end the process and all open flows
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        if self.peers is not None:
            self.peers.start()
        # until the sockets listen, the system refuses connections at once, and clients can go elsewhere
        await self.watcher.wait_for_first_update()
        for listening in self.machine.listen(setup.listen, setup.limits.sockets):
            self.listener.add_socket(listening)
        logger.info("{}: serving at {}:{}", setup.name, *setup.listen)
        if self.reloader is not None:
            loaded = self.reloader.loaded
            logger.info("routes: version {} is in use, {}", loaded.version, count_routes(loaded.routes))
        await stopping.wait()
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
        """Handles SIGHUP: applies a new discovery address, the operator's routes and the list of peers.

        All other settings take effect at the next start.
        """
        if self.reloader is not None:
            self.reloader.request_reload()
        try:
            discovery = self.read_setup().discovery
        except (ValueError, RecursionError) as e:
            logger.error("SIGHUP: {}; the previous settings stay in use", " ".join(str(e).split()))
            return
        logger.info("SIGHUP: discovery is at {}:{}", *discovery)
        self.watcher.follow(discovery)
        if self.peers is not None:
            self._reload_peers(self.peers)

    def _reload_peers(self, peers: "PeersActor") -> None:
        """Reads the list of dispatchers again; an unusable list changes nothing."""
        assert self.options.peers is not None
        try:
            addresses = self.options.peers.addresses_including(self.setup.name)
        except ValueError as e:
            logger.error("SIGHUP: {}; the previous list of dispatchers stays in use", e)
            return
        peers.follow(addresses, self.setup.settings.dispatchers)
        logger.info("SIGHUP: [peers]: {} dispatchers are listed", len(addresses))

    def _apply_routes(self, routes: Routes) -> None:
        """Applies new routes in one step; jobs already accepted under an old route keep it."""
        self.intake.routes = routes
        self.decisions.submit(NewRoutes(routes))
