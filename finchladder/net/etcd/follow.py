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
    ALIVE_S,
    ANSWER_S,
    PAGE,
    SOURCE,
    Action,
    Alive,
    Check,
    Checked,
    Close,
    Due,
    Event,
    Failed,
    Follower,
    Heard,
    Kind,
    List,
    Log,
    Open,
    Opened,
    Page,
    Pulse,
    Refused,
    Tell,
    Told,
    Wait,
    Watch,
)
from finchladder.net.etcd.wire import TROUBLE, Aside, Link, LoginError, Wires, refused_by_tls, why
from finchladder.net.http1 import Connect

ROOM = 64


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
        aside: Aside,
        clock: Callable[[], float],
        random: Random,
    ) -> None:
        super().__init__("etcd", ROOM)
        self.options, self.report, self.heard, self.clock = options, report, heard, clock
        self.aside = aside
        self.endpoints = options.addresses()
        random.shuffle(self.endpoints)  # so that many dispatchers do not all ask the same member
        self.prefix = f"{options.prefix}/".encode()
        self.follower = Follower(options.prefix, [str(e) for e in self.endpoints], random)
        self.wires = Wires(options, connect, aside)
        self.link: Link | None = None
        self.work: asyncio.Task[None] | None = None  # a call, at most one
        self.watching: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Starts to follow the prefix."""
        self.post(Due())

    def receive(self, event: Event) -> None:
        """Handles one event and carries out the actions that follow from it."""
        for action in self.follower.handle(self.clock(), event):
            self._carry_out(action)

    def failed(self, item: Event) -> None:
        """Treats a fault of this program as a failure of the endpoint, so that it is tried again."""
        self.post(Failed(Kind.BAD, "a fault of this program, see above"))

    def _carry_out(self, action: Action) -> None:
        if isinstance(action, Tell):
            self.report(action.report)
        elif isinstance(action, Heard):
            self.heard(SOURCE, action.in_step)
        elif isinstance(action, Wait):
            self._wait(action.seconds)
        elif isinstance(action, Log):
            self.log.log(action.level.upper(), "{}", action.text)
        elif isinstance(action, Open):
            self._close()
            self.link = Link(self.wires, self.endpoints[action.endpoint], self.options, self.aside)
            self._work(self._open(self.link))
        elif isinstance(action, Close):
            self._close()
        elif isinstance(action, Watch):
            assert self.link is not None
            watch = self._watch(self.link, messages.watch(self.prefix, action.start))
            self.watching = self.spawn(self._guarded(watch))
        else:
            self._call(action)

    def _call(self, action: List | Pulse | Check) -> None:
        assert self.link is not None
        if isinstance(action, List):
            self._end(self.watching)
            self.watching = None
            self._wait(None)
            asked = messages.list_page(self.prefix, action.after, action.revision, PAGE)
        elif isinstance(action, Check):
            asked = messages.newer(self.prefix, action.revision, action.than)
        else:
            asked = messages.get(self.prefix)
        self._work(self._range(self.link, action, asked))

    # --- tasks; one that was cancelled says nothing more

    def _work(self, work: Coroutine[Any, Any, None]) -> None:
        self._end(self.work)
        self.work = self.spawn(self._guarded(work))

    def _end(self, task: asyncio.Task[None] | None) -> None:
        if task is not None and task is not asyncio.current_task():
            task.cancel()

    def _close(self) -> None:
        self._end(self.work)
        self._end(self.watching)
        self.work = self.watching = None
        self._wait(None)
        if self.link is not None:
            self.link.close()
            self.link = None

    def _wait(self, seconds: float | None) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if seconds is not None:
            self.timer = asyncio.get_running_loop().call_later(seconds, self.post, Due())

    async def _guarded(self, work: Coroutine[Any, Any, None]) -> None:
        me = asyncio.current_task()
        try:
            await work
            return
        except LoginError as e:
            event = Failed(Kind.REFUSED, str(e))
        except TimeoutError:
            event = Failed(Kind.SILENT, "no answer in time")
        except TROUBLE as e:
            event = Failed(Kind.REFUSED if refused_by_tls(e) else Kind.LOST, why(e))
        except Exception:  # whatever a peer sent, it must be followed again
            self.log.exception("etcd: a task died")
            event = Failed(Kind.BAD, "a fault of this program, see above")
        if me in (self.work, self.watching):
            self.post(event)

    async def _open(self, link: Link) -> None:
        await link.open()
        self.post(Opened())

    async def _range(self, link: Link, action: List | Pulse | Check, asked: bytes) -> None:
        logins = link.logins
        patience_s = ANSWER_S if isinstance(action, List) else ALIVE_S
        answer = await link.call("kv/range", asked, patience_s)
        if link.logins != logins:
            self.log.info("etcd: {}: the token had ended, logged in again", link.endpoint)
        if answer.refusal is not None:
            self.post(Refused(answer.refusal))
        elif isinstance(action, List):
            self.post(Page(answer))
        else:
            self.post(Alive(answer.header) if isinstance(action, Pulse) else Checked(answer))

    async def _watch(self, link: Link, asked: bytes) -> None:
        me = asyncio.current_task()
        async with aclosing(link.watch(asked)) as told:
            async with asyncio.timeout(ANSWER_S):
                answer = await anext(told, None)
            while answer is not None:
                self.post(Told(answer))
                if me is not self.watching:
                    return
                answer = await anext(told, None)
        self.post(Failed(Kind.LOST, "ended the watch"))
