"""The route that a job matches, and the precedence of a file's values."""

from collections.abc import Sequence

import pytest

from finchladder.config.operator_file import Loaded, load
from finchladder.core.api import NEVER_RAN, Ending, WorkerPool
from finchladder.core.routing.routes import (
    ALL_BUT_OK,
    EMPTY_HEADER_FIELDS,
    NO_ROUTES,
    Backoff,
    Hedge,
    Match,
    Queue,
    QueueOrder,
    RetryBudget,
    Route,
    Routes,
)
from tests.config.platform import PLATFORMS


class Given:
    def __init__(self, **fields: Sequence[str]) -> None:
        self.fields = fields

    def all(self, name: str) -> Sequence[str]:
        return self.fields.get(name.replace("-", "_"), ())


def made(text: str, platform: str = "") -> Routes:
    found = load(text, "a.toml", PLATFORMS[platform])
    assert isinstance(found, Loaded), found
    return found.routes


MATCHES = made("""
route.all = {match = {}}
route.batch = {match = {headers = {X-Batch = "*"}}}
route.view = {class = "view"}
route.post = {match = {class = "view", method = "POST"}}
route.deep = {match = {path = "/view/a/b"}}
route.one = {match = {path = "/view/a/b", headers = {x-a = "1"}}}
route.any = {match = {path = "/view/a/b", headers = {x-a = "*"}}}
route.two = {match = {path = "/view/a/b", headers = {x-a = "1", x-b = "2"}}}
route.keep = {match = {path = "/keep/x"}}
""")


@pytest.mark.parametrize(
    ("method", "path", "headers", "job_class", "name"),
    [
        ("POST", "/view", EMPTY_HEADER_FIELDS, "view", "post"),
        ("", "", EMPTY_HEADER_FIELDS, "view", "view"),  # as for a protocol without paths
        ("POST", "/view/a", EMPTY_HEADER_FIELDS, "view", "post"),
        ("POST", "/view/a/b", EMPTY_HEADER_FIELDS, "view", "deep"),
        ("POST", "/view/a/b?q=/c", EMPTY_HEADER_FIELDS, "view", "deep"),
        ("POST", "/view/a/b/c/d", EMPTY_HEADER_FIELDS, "view", "deep"),
        ("POST", "/view/a/bc", EMPTY_HEADER_FIELDS, "view", "post"),
        ("POST", "/view?/a/b", EMPTY_HEADER_FIELDS, "view", "post"),
        ("POST", "/view/a/b", Given(x_a=["1"]), "view", "one"),
        ("POST", "/view/a/b", Given(x_a=["2"]), "view", "any"),
        ("POST", "/view/a/b", Given(x_a=["1", "1"]), "view", "any"),
        ("POST", "/view/a/b", Given(x_a=["1"], x_b=["2"]), "view", "two"),
        ("POST", "/view/a/b", Given(x_a=["1"], x_b=["3"]), "view", "one"),
        ("POST", "/view/a/b", Given(x_batch=["1"]), "view", "deep"),
        ("POST", "/confirm/a/b", EMPTY_HEADER_FIELDS, "confirm", "all"),
        ("POST", "/confirm", Given(x_batch=["1", "2"]), "confirm", "batch"),
        ("POST", "/keep/x/", EMPTY_HEADER_FIELDS, "keep", "keep"),
        ("POST", "/keep/y/x", EMPTY_HEADER_FIELDS, "keep", "all"),
        ("POST", "/nosuch", EMPTY_HEADER_FIELDS, "nosuch", None),
    ],
)
def test_the_most_specific_route_wins(
    method: str, path: str, headers: Given, job_class: str, name: str | None
) -> None:
    found = MATCHES.find(method, path, headers, job_class)
    assert (found and found.name) == name
    assert found is None or found.job_class == job_class


def test_a_job_without_a_matching_route_has_none() -> None:
    assert not NO_ROUTES
    assert NO_ROUTES.find("POST", "/view", EMPTY_HEADER_FIELDS, "view") is None
    assert made('route.a = {class = "view"}').find("POST", "/keep", EMPTY_HEADER_FIELDS, "keep") is None


def test_routes_that_the_checker_would_reject_are_an_error() -> None:
    with pytest.raises(ValueError, match="another one matches"):
        Routes([Route("a", "view", Match("view")), Route("b", "view", Match(path="/view"))])
    with pytest.raises(ValueError, match="does not begin"):
        Routes([Route("a", "view", Match("view", "/keep/x"))])


def test_a_route_without_settings_has_the_defaults() -> None:
    routes = {r.job_class: r for r in made("route.a = {match = {}}").all}
    assert routes["view"] == Route("a", "view")
    assert routes["view"].resend_on == ALL_BUT_OK
    assert routes["confirm"].resend_on == NEVER_RAN  # as the dispatcher without routes
    assert set(routes) == {c.name for c in PLATFORMS[""].classes}


def test_every_setting_is_converted() -> None:
    [route] = made("""
[route.a]
match = { class = "view", path = "/view/x", method = "POST", headers = { X-A = "1" } }
timeout_s = 4
attempt_timeout_s = 1
attempts = 3
backoff = { base_s = 0.1, most_s = 0.3, jitter = 0.2 }
resend_on = ["void", "timed_out"]
hedge_after = "p97.5"
hedge_most = 0.02
retry_budget = { share = 0.1, least_per_s = 2, window_s = 20 }
concurrency = 7
queue = { length = 9, order = "arrival", longest_wait_s = 2 }
priority = -3
pool = { kinds = ["fast"], zones = ["a", "b"] }
""").all
    assert route == Route(
        "a",
        "view",
        Match("view", "/view/x", "POST", (("x-a", "1"),)),
        4,
        1,
        3,
        Backoff(0.1, 0.3, 0.2),
        frozenset({Ending.VOID, Ending.TIMED_OUT}),
        Hedge(None, 97.5, 0.02),
        RetryBudget(0.1, 2, 20),
        7,
        Queue(9, QueueOrder.ARRIVAL, 2),
        -3,
        WorkerPool(frozenset({"fast"}), frozenset({"a", "b"})),
    )
    assert route.pool.contains("fast", "b")
    assert not route.pool.contains("slow", "b")
    assert not route.pool.contains("fast", "c")
    assert WorkerPool().contains("slow", "c")


LEVELS = """
[defaults]
attempts = 2
hedge_after = "p99"
backoff = { base_s = 0.1, jitter = 0 }
[class.view]
hedge_after_s = 0.2
backoff = { jitter = 1 }
[class.confirm]
hedge_most = 0
[route.a]
class = "view"
attempts = 4
backoff = { most_s = 2 }
[route.b]
match = { headers = { x-b = "1" } }
[route.c]
match = { path = "/view/c" }
attempts = 1
"""


@pytest.mark.parametrize(
    ("name", "job_class", "attempts", "backoff", "hedge"),
    [
        ("a", "view", 4, Backoff(0.1, 2, 1), Hedge(0.2)),
        ("b", "view", 2, Backoff(0.1, 1, 1), Hedge(0.2)),
        ("b", "keep", 2, Backoff(0.1, 1, 0), Hedge(None, 99)),
        ("b", "confirm", 2, Backoff(0.1, 1, 0), None),
        ("c", "view", 1, Backoff(0.1, 1, 1), None),
    ],
)
def test_a_route_overrides_its_class_and_the_defaults(
    name: str, job_class: str, attempts: int, backoff: Backoff, hedge: Hedge | None
) -> None:
    [route] = [r for r in made(LEVELS).all if (r.name, r.job_class) == (name, job_class)]
    assert (route.attempts, route.backoff, route.hedge) == (attempts, backoff, hedge)


def test_the_backoff_doubles_up_to_its_maximum() -> None:
    backoff = Backoff(0.1, 0.5, 0.5)
    assert [round(backoff.wait_s(n), 9) for n in (1, 2, 3, 4, 2000)] == [0.1, 0.2, 0.4, 0.5, 0.5]
    assert backoff.wait_s(2, 1.0) == 0.1
    assert backoff.max_total_wait_s(0) == 0
    assert backoff.max_total_wait_s(4) == pytest.approx(1.2)
    assert Backoff().max_total_wait_s(9) == 0


def test_the_version_identifies_the_content() -> None:
    one, same, other = (load(text, "a.toml", PLATFORMS[""]) for text in ("# 1", b"# 1", "# 2"))
    assert isinstance(one, Loaded)
    assert isinstance(same, Loaded)
    assert isinstance(other, Loaded)
    assert one.version == same.version != other.version
    assert len(one.version) == 12


def test_without_the_platforms_settings_no_routes_are_built() -> None:
    found = load('route.a = {class = "anything", attempts = 50}', "a.toml")
    assert isinstance(found, Loaded)
    assert not found.routes
    assert found.resolved[0].get("attempts") == 50
    found = load("class.anything.attempts = 50\nroute.a = {match = {}}", "a.toml")
    assert isinstance(found, Loaded)
    assert [r.job_class for r in found.resolved] == [None]
