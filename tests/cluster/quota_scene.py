"""A holder of the quota account that dispatchers call without a network."""

import json
from typing import Any

from attrs import define

from finchladder.cluster.process.quota_service import QuotaService, Term
from finchladder.cluster.tenancy.quota_account import QuotaAccount
from finchladder.cluster.tenancy.quota_rule import QuotaRule
from finchladder.cluster.transport.peers import steady
from finchladder.cluster.types.messages import Reply, Request, ReserveQuota


@define
class AccountHolder:
    """Implements `Peers` by calling the service directly; its term begins with its creation."""

    service: QuotaService

    @classmethod
    def of(cls, rule: QuotaRule, document: dict[str, Any]) -> "AccountHolder":
        term = Term(1, steady())
        encoded = json.dumps(document).encode()
        return cls(QuotaService(lambda: term, lambda: encoded, QuotaAccount(rule)))

    async def call(self, address: str, request: Request, timeout_s: float) -> Reply:
        assert isinstance(request, ReserveQuota)
        return self.service.on_reserve(request)
