"""etcd's users, roles and tokens. Roles allow reading or writing within keys; `root` may do all."""

from collections.abc import Iterable
from typing import Literal, NamedTuple

from finchladder.lab.etcd.store import DENIED, INVALID, PRECONDITION, UNAUTHENTICATED, Keys, Refused

TOKEN_S = 300.0  # a simple token's life since it was last used, as etcd's --auth-token-ttl
ROOT = "root"


class Permission(NamedTuple):
    kind: Literal["READ", "WRITE", "READWRITE"]
    keys: Keys


class Auth:
    def __init__(self, token_s: float = TOKEN_S) -> None:
        self.on = False
        self.token_s = token_s
        self.revision = 1
        self.passwords: dict[str, str] = {}
        self.roles_of: dict[str, list[str]] = {}
        self.roles: dict[str, list[Permission]] = {}
        self.tokens: dict[str, tuple[str, float]] = {}  # user, and when it ends
        self.count = 0

    def add_user(self, name: str, password: str, roles: Iterable[str] = ()) -> None:
        self.passwords[name], self.roles_of[name] = password, list(roles)
        self.revision += 1

    def add_role(self, name: str, *permissions: Permission) -> None:
        self.roles.setdefault(name, []).extend(permissions)
        self.revision += 1

    def enable(self) -> None:
        if ROOT not in self.passwords or ROOT not in self.roles_of[ROOT]:
            raise Refused(PRECONDITION, "etcdserver: root user does not have root role")
        self.on = True

    def authenticate(self, now: float, name: str, password: str) -> str:
        if not self.on:
            raise Refused(PRECONDITION, "etcdserver: authentication is not enabled")
        if not name or self.passwords.get(name) != password:
            raise Refused(INVALID, "etcdserver: authentication failed, invalid user ID or password")
        self.count += 1
        token = f"stand-in-{self.count:08x}.{self.revision}"
        self.tokens[token] = name, now + self.token_s
        return token

    def expire(self) -> None:
        """All tokens end now."""
        self.tokens.clear()

    def user(self, now: float, token: str) -> str:
        """Whose it is; its life begins anew. Refused: none, or an ended one."""
        if not token:
            raise Refused(INVALID, "etcdserver: user name is empty")
        name, ends = self.tokens.get(token, ("", 0.0))
        if ends <= now:
            self.tokens.pop(token, None)
            raise Refused(UNAUTHENTICATED, "etcdserver: invalid auth token")
        self.tokens[token] = name, now + self.token_s
        return name

    def check(self, now: float, token: str, keys: Keys | None, writes: bool = False) -> None:
        """Refused: that token may not do so. `keys` None: any user may."""
        if not self.on:
            return
        name = self.user(now, token)
        if keys is None or ROOT in self.roles_of[name]:
            return
        for role in self.roles_of[name]:
            for p in self.roles.get(role, []):
                if p.kind in ("READWRITE", "WRITE" if writes else "READ") and _covers(p.keys, keys):
                    return
        raise Refused(DENIED, "etcdserver: permission denied")


def _covers(outer: Keys, inner: Keys) -> bool:
    if not inner.end or not outer.end:
        return inner.key in outer and (not inner.end or inner == outer)
    return outer.key <= inner.key and (outer.end == b"\0" or (inner.end != b"\0" and inner.end <= outer.end))
