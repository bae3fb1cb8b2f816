"""The faults that `mutants` plants: each takes one guard of the control code away."""

from attrs import frozen

QUOTAS = 6  # point of the faults of the quota account


@frozen
class Mutant:
    """`point`: which of the worst days' points its guard belongs to, `QUOTAS` for the quota account;
    `module`: below `finchladder.cluster`. `machines`, `edges`, `quotas`: core machines and dispatchers of the
    world that is to find it, and whether these reserve quota.
    """

    name: str
    point: int
    module: str
    old: str
    new: str
    machines: int = 3
    edges: int = 0
    quotas: bool = False


_GRANT_PROMISE = "granted = may_vote and follows and request.ballot > acceptor.promised"
_GRANT_VOTE = "granted = may_vote and follows and request.ballot >= acceptor.promised"
_STORE_PROMISE = (
    "await self.store.save(acceptor=acceptor)\n                self.acceptor = acceptor\n"
    "            return reply"
)
_STORE_VOTE = (
    "await self.store.save(acceptor=acceptor)\n                self.acceptor = acceptor\n"
    "                self.accepted_at"
)
_VOTE_IN_MEMORY = "self.acceptor = acceptor\n                self.accepted_at"
_PROMISE_IN_MEMORY = "self.acceptor = acceptor\n            return reply"
_STORE_VIEW = "await self.store.save(acceptor=acceptor)\n            self.acceptor = acceptor"
_QUALIFIED = "if position < view.survivors or status.state_view == view.number:"
_IS_TAIL = "if tail is None or tail.disk_id != agreement.me.disk_id or replica.state_view != view.number:"
_CHAIN_ANSWER = "if problem:\n            return Replicated(False, agreement.view, problem=problem)"
_LEASE_WAIT = "return max(0.0, self.renewed_at + self.lease_s + exclusion_s + CLOCK_MARGIN_S - now)"
_EXTEND = (
    "if reply.granted:\n            self.lease.extend(requested_at, reply.token)\n        elif reply.token:"
)

MUTANTS: tuple[Mutant, ...] = (
    # a control machine that is cut off
    Mutant(
        "read without a majority",
        1,
        "process.chain_service",
        "if not await self._view_is_newest(view):",
        "if False:",
    ),
    Mutant(
        "read from one voter",
        1,
        "process.chain_service",
        "return len(agreeing) >= view.quorum",
        "return len(agreeing) >= 1",
    ),
    Mutant(
        "read although a voter has accepted a later view",
        1,
        "process.chain_service",
        " and not pong.has_accepted",
        "",
    ),
    Mutant(
        "drain acknowledged without the chain",
        1,
        "process.retirement_propagation",
        "if not is_stored or not is_known:",
        "if not is_known:",
        edges=4,
    ),
    Mutant(
        "drain acknowledged without a majority and the chain",
        1,
        "process.retirement_propagation",
        "if not is_stored or not is_known:",
        "if False:",
        edges=4,
    ),
    Mutant(
        "drains that were stored are not taken after a restart",
        1,
        "process.core_sessions",
        "self.sessions.apply_retirements(self.control.chain.acknowledged.retirements)",
        "pass",
        edges=4,
    ),
    Mutant(
        "dispatcher waits at a core machine that is not confirmed",
        1,
        "process.update_sources",
        "if self.by_address[m.peer_address].is_confirmed()] or live",
        "] or live",
        edges=4,
    ),
    Mutant(
        "dispatcher goes on while the core has lost its quorum",
        1,
        "process.update_sources",
        "return self._is_quorum_loss_reported() and steady() - since > self.timeouts.unconfirmed_timeout_s",
        "return False",
        machines=5,
        edges=6,
    ),
    Mutant("read by any member", 1, "process.chain_service", _IS_TAIL, "if tail is None:"),
    Mutant(
        "refusal without the chain",
        1,
        "process.configuration_changes",
        "if await self.chain.confirm_locked():",
        "if True:",
    ),
    Mutant(
        "write on what is not confirmed",
        1,
        "process.chain_service",
        "if not is_confirmed and not await self.confirm_locked():",
        "if False:",
    ),
    Mutant(
        "write acknowledged by the head alone",
        1,
        "process.chain_service",
        "if problem:\n            sequence = replica.state.sequence\n",
        "if False:\n            sequence = replica.state.sequence\n",
    ),
    Mutant(
        "member answers for those behind it",
        1,
        "process.chain_service",
        _CHAIN_ANSWER,
        "if False:\n            return Replicated(False, agreement.view, problem=problem)",
    ),
    Mutant("message of another view", 1, "replication.chain", "if request.view != view:", "if False:"),
    Mutant(
        "lease renewed without the chain",
        1,
        "process.placer_lease",
        "if not await self.chain.confirm():",
        "if False:",
    ),
    Mutant("lease not waited for", 1, "replication.lease", _LEASE_WAIT, "return 0.0"),
    Mutant(
        "turn not waited for",
        1,
        "replication.lease",
        "exclusion_s = 0.0 if self.fenced and holder_left else self.exclusion_window_s",
        "exclusion_s = 0.0",
    ),
    Mutant(
        "new head takes the lease for old",
        1,
        "process.chain_service",
        "self.lease.confirm(steady() if self.renewable_until is None else self.renewable_until)",
        "self.lease.confirm(steady() - 100)",
    ),
    Mutant(
        "lease counted from the answer",
        1,
        "process.placer_lease",
        _EXTEND,
        _EXTEND.replace("requested_at", "steady()"),
    ),
    Mutant(
        "token that does not rise",
        1,
        "types.operations",
        "fence_token=operation.token + 1,",
        "fence_token=operation.token,",
    ),
    # orders of the operator
    Mutant(
        "order sent again is not recognised",
        2,
        "process.configuration_changes",
        "if revision.digest == digest:",
        "if False:",
    ),
    Mutant(
        "order sent again is answered with another version",
        2,
        "process.configuration_changes",
        "return Submitted(ACCEPTED, revision.version)",
        "return Submitted(ACCEPTED, state.version)",
    ),
    Mutant(
        "base is not looked at", 2, "process.configuration_changes", "if base != state.version:", "if False:"
    ),
    Mutant("taken orders are forgotten", 2, "types.operations", "MAX_REVISIONS = 1024", "MAX_REVISIONS = 1"),
    Mutant(
        "digest without the base's body",
        2,
        "configuration.changes",
        "return blake2b(head + body, digest_size=16).digest()",
        "return blake2b(head, digest_size=16).digest()",
    ),
    # losses after repairs
    Mutant(
        "votes not stored",
        3,
        "process.view_agreement",
        _STORE_VOTE,
        "self.acceptor = acceptor\n                self.accepted_at",
    ),
    Mutant(
        "promises not stored",
        3,
        "process.view_agreement",
        _STORE_PROMISE,
        "self.acceptor = acceptor\n            return reply",
    ),
    Mutant("view not stored", 3, "process.view_agreement", _STORE_VIEW, "self.acceptor = acceptor"),
    Mutant(
        "view learned while a vote is stored",
        3,
        "process.view_agreement",
        "async with self.lock:\n            acceptor = agreement.learn",
        "if True:\n            acceptor = agreement.learn",
    ),
    Mutant(
        "majority one too small",
        3,
        "process.view_proposer",
        "quorum = len(addresses) // 2 + 1",
        "quorum = len(addresses) // 2",
    ),
    Mutant(
        "view decided by one vote",
        3,
        "process.view_proposer",
        "if sum(reply.granted for reply in accepted) < quorum:",
        "if sum(reply.granted for reply in accepted) < 1:",
    ),
    Mutant("accepted value is not proposed", 3, "replication.agreement", "if not accepted:", "if True:"),
    Mutant(
        "lowest accepted value is proposed",
        3,
        "replication.agreement",
        "return max(accepted,",
        "return min(accepted,",
    ),
    Mutant(
        "promise of a ballot that is too low",
        3,
        "replication.agreement",
        _GRANT_PROMISE,
        "granted = may_vote and follows",
    ),
    Mutant(
        "vote for a ballot that is too low",
        3,
        "replication.agreement",
        _GRANT_VOTE,
        "granted = may_vote and follows",
    ),
    Mutant(
        "vote on a view that does not follow",
        3,
        "replication.agreement",
        "follows = request.view.number == acceptor.view.number + 1",
        "follows = True",
    ),
    Mutant(
        "who is no voter votes",
        3,
        "process.view_agreement",
        "return self.view.has_voter(self.me.disk_id)",
        "return True",
    ),
    Mutant("empty disk founds a system", 3, "process.view_agreement", "return self.founder", "return True"),
    Mutant("chain too short", 3, "replication.membership", "return self.tolerated_losses + 1", "return 1"),
    Mutant(
        "too few voters",
        3,
        "replication.membership",
        "return 2 * self.tolerated_losses + 1",
        "return self.tolerated_losses + 1",
    ),
    Mutant("former incarnation keeps its vote", 3, "replication.membership", "if former:", "if False:"),
    Mutant(
        "no view without survivors",
        3,
        "replication.membership",
        "return _collecting_view(view, alive, limits)",
        "return None",
    ),
    Mutant(
        "collection without the present chain",
        3,
        "replication.membership",
        "groups = _required_groups((view.chain, *view.source_groups))",
        "groups = _required_groups(view.source_groups)",
    ),
    Mutant(
        "collection without the sources",
        3,
        "replication.membership",
        "groups = _required_groups((view.chain, *view.source_groups))",
        "groups = (view.chain,)",
    ),
    Mutant(
        "head of a collection does not collect",
        3,
        "process.chain_service",
        "if own.state_view == view.number or view.survivors:",
        "if True:",
    ),
    Mutant(
        "undecided vote is left",
        3,
        "process.view_proposer",
        "return self.agreement.acceptor.accepted if waited_s > UNDECIDED_TIMEOUT_S else None",
        "return None",
    ),
    Mutant(
        "leaving is not told",
        3,
        "process.view_agreement",
        "shutting_down=self.shutting_down,",
        "shutting_down=False,",
    ),
    # members that were away
    Mutant("anybody survives", 4, "replication.membership", _QUALIFIED, "if True:"),
    Mutant(
        "survivor that got the state one view ago",
        4,
        "replication.membership",
        "status.state_view == view.number:",
        "status.state_view >= view.number - 1:",
    ),
    Mutant(
        "joiner counts as survivor",
        4,
        "replication.membership",
        "return _checked_view(view, alive, chain, len(surviving),",
        "return _checked_view(view, alive, chain, len(chain),",
    ),
    Mutant(
        "joiner leads",
        4,
        "replication.membership",
        "chain = (*surviving, *syncing, *newcomers)",
        "chain = (*newcomers, *surviving, *syncing)",
    ),
    Mutant(
        "survivors in another order",
        4,
        "replication.membership",
        "    return surviving\n",
        "    return surviving[::-1]\n",
    ),
    Mutant(
        "late state is stored",
        4,
        "replication.chain",
        "if replica.state_view == view and request.state.sequence < replica.state.sequence:",
        "if False:",
    ),
    Mutant(
        "gap in the sequence",
        4,
        "replication.chain",
        "if request.operation is None or request.sequence != replica.state.sequence + 1:",
        "if request.operation is None:",
    ),
    Mutant(
        "operation on the state of another view",
        4,
        "replication.chain",
        "if replica.state_view != view:",
        "if False:",
    ),
    Mutant(
        "confirmation of another state",
        4,
        "replication.chain",
        "if request.sequence == replica.state.sequence:",
        "if request.operation is None:",
    ),
    Mutant("oldest replica is taken", 4, "replication.chain", "return max(replicas,", "return min(replicas,"),
    Mutant(
        "member keeps the state in memory",
        4,
        "process.chain_service",
        "await self._store(outcome.replica)",
        "agreement.replica = outcome.replica",
    ),
    Mutant(
        "head keeps the write in memory",
        4,
        "process.chain_service",
        "await self._store(chain.execute(agreement.replica, operation))",
        "agreement.replica = chain.execute(agreement.replica, operation)",
    ),
    Mutant(
        "state shown before those behind have it",
        4,
        "process.chain_service",
        "self.agreement.replica = replica\n",
        "self.agreement.replica = replica\n        self.acknowledged = replica.state\n",
    ),
    Mutant(
        "state shown goes back",
        4,
        "process.chain_service",
        "if replica.state_view != view.number or replica.state.sequence < self.acknowledged.sequence:",
        "if False:",
    ),
    # the quota account
    Mutant(
        "term begins with full buckets",
        QUOTAS,
        "tenancy.quota_account",
        "TokenBucket(limits, 0.0, self.started_at)",
        "TokenBucket(limits, limits.capacity, self.started_at)",
        edges=3,
        quotas=True,
    ),
    Mutant(
        "returns are taken back whatever the term",
        QUOTAS,
        "tenancy.quota_account",
        "if bucket is not None and term == self.term:",
        "if bucket is not None:",
        edges=3,
        quotas=True,
    ),
    Mutant(
        "lease is not looked at when granting",
        QUOTAS,
        "process.quota_service",
        "if lease_service.is_held()",
        "if lease_service.lease.token",
        edges=3,
        quotas=True,
    ),
    Mutant(
        "validity counts from the answer",
        QUOTAS,
        "process.quota_client",
        "reply.term, grant_valid_until(requested_at)",
        "reply.term, grant_valid_until(steady())",
        edges=3,
        quotas=True,
    ),
    Mutant(
        "reservation is spent again after an attempt that ran",
        QUOTAS,
        "process.request_quota",
        "self._spent, self._reservation = self._reservation, None",
        "self._spent = self._reservation",
        edges=3,
        quotas=True,
    ),
    Mutant(
        "holder does not begin a new term",
        QUOTAS,
        "process.quota_service",
        "if self.account.term != term.number:",
        "if not self.account.term:",
        edges=3,
        quotas=True,
    ),
    Mutant(
        "lowered limit keeps the old capacity",
        QUOTAS,
        "tenancy.quota_account",
        "self.limits = limits\n        self.level = min(self.level, limits.capacity)",
        "self.limits = BucketLimits(limits.refill_per_s, self.limits.capacity)",
        edges=3,
        quotas=True,
    ),
)
