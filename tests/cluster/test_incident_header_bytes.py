"""An incident: headers of one request that a dispatcher could not handle held up its other requests."""

import pytest

from finchladder.cluster.configuration.snapshot_builder import build_snapshot
from finchladder.cluster.routing.demand import DemandCounter
from finchladder.cluster.routing.headers import DEADLINE_HEADER, MODEL_HEADER, REQUEST_ID_HEADER
from finchladder.cluster.routing.requests import ClassifiedRequest, classify
from finchladder.cluster.types.messages import DemandReport, encoder, request_decoder

DOCUMENT = b"""{"version": 1, "services": [{"name": "llm"}],
    "routes": [{"name": "r", "host": "a.example", "path_prefix": "/", "service": "llm"}]}"""


def classified(model: str, request_id: str = "id-1") -> ClassifiedRequest:
    """A request with these headers; the HTTP parser decodes a byte that is not UTF-8 as a lone surrogate."""
    route = build_snapshot(DOCUMENT).match("a.example", "/")
    assert route is not None
    return classify({MODEL_HEADER: model, REQUEST_ID_HEADER: request_id}, route, 10.0)


def test_a_request_id_that_is_not_utf8_is_classified() -> None:
    assert classified("m1", "id-\udcff").request_id == "id-\udcff"


@pytest.mark.parametrize("name", ["m\udcff", "m1/a\udcff", "\udcff/\udcff"])
def test_the_demand_for_a_model_name_that_is_not_utf8_is_reported_with_all_others(name: str) -> None:
    # The dispatcher could not encode its report, so the placer learned of no demand while the request waited.
    counter = DemandCounter()
    for request in (classified(name), classified("m1")):
        counter.record_request(request)
        counter.add_queued(request.key, 1)
    report = DemandReport("edge-1", 0.1, counter.collect(10.0))
    assert request_decoder.decode(encoder.encode(report)) == report
    assert "m1" in {demand.model for demand in report.demands}
    assert len(report.demands) == 2


@pytest.mark.parametrize("text", ["nan", "-nan", "inf", "-inf", "1e400", "many", ""])
def test_a_deadline_that_is_no_finite_number_counts_as_missing(text: str) -> None:
    # The event loop orders its timers by time, and NaN is neither before nor after any other one.
    route = build_snapshot(DOCUMENT).match("a.example", "/")
    assert route is not None
    assert classify({DEADLINE_HEADER: text}, route, 10.0) == classify({}, route, 10.0)
