"""An incident: a configuration that could not be applied stopped the placer for all services."""

from typing import Any

import pytest

from finchladder.cluster.configuration.snapshot import ConfigurationSnapshot, Engine, Service
from finchladder.cluster.process import configuration_reading, placer
from finchladder.cluster.process.service_planner import ServicePlanner
from finchladder.cluster.types.operations import ControlState
from finchladder.lab.cluster.model_workers import StandInWorker
from finchladder.lab.cluster.virtual import run
from tests.cluster.placer_scene import ENGINE, LOAD_S, SNAPSHOT, Scene

UNUSABLE = ControlState(sequence=3, version=2, document=b"{")


async def load_model(scene: Scene) -> None:
    """Runs the placer until it has loaded a model that is asked for."""
    scene.tasks.repeat(scene.placer.run, "placer")
    scene.report_demand("m1")
    await scene.until_usable("m1")
    await scene.tasks.stop()


@pytest.fixture
def events(monkeypatch: pytest.MonkeyPatch) -> list[tuple[str, dict[str, Any]]]:
    logged: list[tuple[str, dict[str, Any]]] = []
    for module in (configuration_reading, placer):
        monkeypatch.setattr(module, "event", lambda kind, **fields: logged.append((kind, fields)))
    return logged


def test_the_placer_goes_on_with_the_former_configuration_if_it_cannot_read_the_newest(
    events: list[tuple[str, dict[str, Any]]],
) -> None:
    # The placer raised the same exception in each pass, so no model was loaded any more.
    async def work() -> None:
        scene = Scene(w1=StandInWorker({"m0"}, LOAD_S))
        scene.updates.state = lambda: UNUSABLE
        await load_model(scene)

    run(work())
    assert [(kind, fields["version"], fields["active_version"]) for kind, fields in events] == [
        ("configuration.activation_failed", 2, SNAPSHOT.version)
    ]


def test_a_service_that_cannot_be_planned_does_not_stop_the_others(
    events: list[tuple[str, dict[str, Any]]], monkeypatch: pytest.MonkeyPatch
) -> None:
    # Services are planned in the order of the configuration, so an error in one stopped all later ones.
    plan = ServicePlanner.plan

    def plan_or_fail(self: ServicePlanner, now: float, service: str, engine: Engine) -> None:
        if service == "broken":
            raise ArithmeticError
        plan(self, now, service, engine)

    monkeypatch.setattr(ServicePlanner, "plan", plan_or_fail)

    async def work() -> None:
        scene = Scene(w1=StandInWorker({"m0"}, LOAD_S))
        broken = Service("broken", 10, "/healthz", ENGINE)
        services = {"broken": broken, **SNAPSHOT.services}
        scene.placer.snapshot = ConfigurationSnapshot(1, {}, services, 15.0, 1 << 20, 1 << 14)
        await load_model(scene)

    run(work())
    assert [(kind, fields["service"]) for kind, fields in events] == [("placer.planning_failed", "broken")]
