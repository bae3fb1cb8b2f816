"""The reader of an etcd: carries out what its state says is next, and hands on what comes."""

import asyncio
from collections.abc import Callable, Coroutine
from contextlib import aclosing
from random import Random
from typing import Any

from finchladder.config.options import EtcdOptions
from finchladder.core.membership.decisions import Report
from finchladder.net.actor import Actor
from finchladder.net.etcd import messages
from finchladder.net.etcd.state import (
    KEYS_PER_PAGE,
    PROBE_TIMEOUT_S,
    RESPONSE_TIMEOUT_S,
    SOURCE,
    Action,
    CallFailed,
    Check,
    CheckResult,
    Close,
    EndpointFailed,
    Event,
    Failure,
    Follower,
    ListPage,
    Log,
    Open,
    Opened,
    Probe,
    ProbeResult,
    ReadPage,
    ReportAlive,
    ReportList,
    SetTimer,
    StartWatch,
    TimerExpired,
    WatchMessage,
)
from finchladder.net.etcd.wire import (
    CONNECTION_ERRORS,
    Connector,
    EndpointClient,
    LoginError,
    RunInThread,
    describe_error,
    refused_by_tls,
)
from finchladder.net.http1 import Connect

MAILBOX_SIZE = 64


class EtcdActor(Actor[Event]):
    """Carries out the actions of a `Follower` and posts their results to it.

    `report` and `heard` are the membership actor's.
    """

    def __init__(
        self,
        options: EtcdOptions,
        report: Callable[[Report], None],
        heard: Callable[[str, bool], None],
        connect: Connect,
        aside: RunInThread,
        clock: Callable[[], float],
        random: Random,
    ) -> None:
        super().__init__("etcd", MAILBOX_SIZE)
        self.options, self.report, self.on_alive, self.clock = options, report, heard, clock
        self.run_in_thread = aside
        self.endpoints = options.addresses()
        random.shuffle(self.endpoints)  # so that many dispatchers do not all ask the same member
        self.prefix = f"{options.prefix}/".encode()
        self.follower = Follower(options.prefix, [str(e) for e in self.endpoints], random)
        self.connector = Connector(options, connect, aside)
        self.endpoint_client: EndpointClient | None = None
        self.call_task: asyncio.Task[None] | None = None  # a call, at most one
        self.watch_task: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Starts to follow the prefix."""
        self.post(TimerExpired())

    def receive(self, event: Event) -> None:
        """Handles one event and carries out the actions that follow from it."""
        for action in self.follower.handle(self.clock(), event):
            self._carry_out(action)

    def failed(self, item: Event) -> None:
        """Treats a fault of this program as a failure of the endpoint, so that it is tried again."""
        self.post(EndpointFailed(Failure.BAD, "a fault of this program, see above"))

    def _carry_out(self, action: Action) -> None:
        if isinstance(action, ReportList):
            self.report(action.report)
        elif isinstance(action, ReportAlive):
            self.on_alive(SOURCE, action.in_step)
        elif isinstance(action, SetTimer):
            self._set_timer(action.seconds)
        elif isinstance(action, Log):
            self.log.log(action.level.upper(), "{}", action.text)
        elif isinstance(action, Open):
            self._close()
            self.endpoint_client = EndpointClient(
                self.connector, self.endpoints[action.endpoint], self.options, self.run_in_thread
            )
            self._start_call(self._open(self.endpoint_client))
        elif isinstance(action, Close):
            self._close()
        elif isinstance(action, StartWatch):
            assert self.endpoint_client is not None
            watch = self._watch(self.endpoint_client, messages.watch(self.prefix, action.start))
            self.watch_task = self.spawn(self._run_guarded(watch))
        else:
            self._send_call(action)

    def _send_call(self, action: ReadPage | Probe | Check) -> None:
        assert self.endpoint_client is not None
        if isinstance(action, ReadPage):
            self._cancel(self.watch_task)
            self.watch_task = None
            self._set_timer(None)
            asked = messages.list_page(self.prefix, action.after, action.revision, KEYS_PER_PAGE)
        elif isinstance(action, Check):
            asked = messages.newer_than(self.prefix, action.revision, action.than)
        else:
            asked = messages.get(self.prefix)
        self._start_call(self._range(self.endpoint_client, action, asked))

    # --- tasks; one that was cancelled says nothing more

    def _start_call(self, work: Coroutine[Any, Any, None]) -> None:
        self._cancel(self.call_task)
        self.call_task = self.spawn(self._run_guarded(work))

    def _cancel(self, task: asyncio.Task[None] | None) -> None:
        if task is not None and task is not asyncio.current_task():
            task.cancel()

    def _close(self) -> None:
        self._cancel(self.call_task)
        self._cancel(self.watch_task)
        self.call_task = self.watch_task = None
        self._set_timer(None)
        if self.endpoint_client is not None:
            self.endpoint_client.close()
            self.endpoint_client = None

    def _set_timer(self, seconds: float | None) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if seconds is not None:
            self.timer = asyncio.get_running_loop().call_later(seconds, self.post, TimerExpired())

    async def _run_guarded(self, work: Coroutine[Any, Any, None]) -> None:
        me = asyncio.current_task()
        try:
            await work
            return
        except LoginError as e:
            event = EndpointFailed(Failure.REFUSED, str(e))
        except TimeoutError:
            event = EndpointFailed(Failure.SILENT, "no answer in time")
        except CONNECTION_ERRORS as e:
            event = EndpointFailed(Failure.REFUSED if refused_by_tls(e) else Failure.LOST, describe_error(e))
        except Exception:  # whatever a peer sent, it must be followed again
            self.log.exception("etcd: a task died")
            event = EndpointFailed(Failure.BAD, "a fault of this program, see above")
        if me in (self.call_task, self.watch_task):
            self.post(event)

    async def _open(self, link: EndpointClient) -> None:
        await link.open()
        self.post(Opened())

    async def _range(self, link: EndpointClient, action: ReadPage | Probe | Check, asked: bytes) -> None:
        logins = link.logins
        patience_s = RESPONSE_TIMEOUT_S if isinstance(action, ReadPage) else PROBE_TIMEOUT_S
        answer = await link.call("kv/range", asked, patience_s)
        if link.logins != logins:
            self.log.info("etcd: {}: the token had ended, logged in again", link.endpoint)
        if answer.error is not None:
            self.post(CallFailed(answer.error))
        elif isinstance(action, ReadPage):
            self.post(ListPage(answer))
        else:
            self.post(ProbeResult(answer.header) if isinstance(action, Probe) else CheckResult(answer))

    async def _watch(self, link: EndpointClient, asked: bytes) -> None:
        me = asyncio.current_task()
        async with aclosing(link.watch(asked)) as told:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                answer = await anext(told, None)
            while answer is not None:
                self.post(WatchMessage(answer))
                if me is not self.watch_task:
                    return
                answer = await anext(told, None)
        self.post(EndpointFailed(Failure.LOST, "ended the watch"))
