"""The etcd actor: carries out the actions of the state machine and returns the results to it."""

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

    `report` and `on_alive` are methods of the membership actor.
    """

    def __init__(
        self,
        options: EtcdOptions,
        report: Callable[[Report], None],
        on_alive: Callable[[str, bool], None],
        connect: Connect,
        run_in_thread: RunInThread,
        clock: Callable[[], float],
        random: Random,
    ) -> None:
        super().__init__("etcd", MAILBOX_SIZE)
        self.options, self.report, self.on_alive, self.clock = options, report, on_alive, clock
        self.run_in_thread = run_in_thread
        self.endpoints = options.addresses()
        random.shuffle(self.endpoints)  # spreads many dispatchers over the members
        self.prefix = f"{options.prefix}/".encode()
        self.follower = Follower(options.prefix, [str(e) for e in self.endpoints], random)
        self.connector = Connector(options, connect, run_in_thread)
        self.endpoint_client: EndpointClient | None = None
        self.call_task: asyncio.Task[None] | None = None  # the current call; there is at most one
        self.watch_task: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Starts following the prefix."""
        self.post(TimerExpired())

    def receive(self, event: Event) -> None:
        """Handles one event and carries out the actions that follow from it."""
        for action in self.follower.handle(self.clock(), event):
            self._carry_out(action)

    def failed(self, item: Event) -> None:
        """Treats a bug in this program as a failure of the endpoint, so that following is retried."""
        self.post(EndpointFailed(Failure.BAD, "internal error, see the log line above"))

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
            body = messages.list_page(self.prefix, action.after, action.revision, KEYS_PER_PAGE)
        elif isinstance(action, Check):
            body = messages.newer_than(self.prefix, action.revision, action.than)
        else:
            body = messages.get(self.prefix)
        self._start_call(self._range(self.endpoint_client, action, body))

    # --- tasks; a canceled one posts no further event

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
        this_task = asyncio.current_task()
        try:
            await work
            return
        except LoginError as e:
            event = EndpointFailed(Failure.REFUSED, str(e))
        except TimeoutError:
            event = EndpointFailed(Failure.SILENT, "no response in time")
        except CONNECTION_ERRORS as e:
            event = EndpointFailed(Failure.REFUSED if refused_by_tls(e) else Failure.LOST, describe_error(e))
        except Exception:  # no input may end the following for good
            self.log.exception("etcd: a task died")
            event = EndpointFailed(Failure.BAD, "internal error, see the log line above")
        if this_task in (self.call_task, self.watch_task):
            self.post(event)

    async def _open(self, client: EndpointClient) -> None:
        await client.open()
        self.post(Opened())

    async def _range(self, client: EndpointClient, action: ReadPage | Probe | Check, body: bytes) -> None:
        logins = client.logins
        timeout_s = RESPONSE_TIMEOUT_S if isinstance(action, ReadPage) else PROBE_TIMEOUT_S
        response = await client.call("kv/range", body, timeout_s)
        if client.logins != logins:
            self.log.info("etcd: {}: the token had expired, logged in again", client.endpoint)
        if response.error is not None:
            self.post(CallFailed(response.error))
        elif isinstance(action, ReadPage):
            self.post(ListPage(response))
        else:
            self.post(ProbeResult(response.header) if isinstance(action, Probe) else CheckResult(response))

    async def _watch(self, client: EndpointClient, body: bytes) -> None:
        this_task = asyncio.current_task()
        async with aclosing(client.watch(body)) as responses:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                response = await anext(responses, None)
            while response is not None:
                self.post(WatchMessage(response))
                if this_task is not self.watch_task:
                    return
                response = await anext(responses, None)
        self.post(EndpointFailed(Failure.LOST, "ended the watch"))
