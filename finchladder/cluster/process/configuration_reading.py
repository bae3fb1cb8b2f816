"""Reads received configurations; one that cannot be read is logged and does not stop its receiver."""

from collections.abc import Callable

from finchladder.cluster.configuration.snapshot import ConfigurationSnapshot
from finchladder.cluster.configuration.snapshot_builder import build_snapshot
from finchladder.cluster.process.log import event
from finchladder.cluster.types.errors import error_kind, error_location


def read_configuration(
    version: int, active_version: int, document: Callable[[], bytes], key_salt: bytes
) -> ConfigurationSnapshot | None:
    """Builds the snapshot of a received configuration; returns None if the configuration cannot be read.

    Args:
        version: Version of the configuration.
        active_version: Version that stays active if this one cannot be read.
        document: Returns the configuration as JSON.
        key_salt: Random bytes of this process for the digests of API keys.
    """
    try:
        return build_snapshot(document(), key_salt)
    # catches any error, because a configuration must not stop the other work of its receiver
    except Exception as error:  # noqa: BLE001
        event(
            "configuration.activation_failed",
            version=version,
            active_version=active_version,
            error=error_kind(error),
            place=error_location(error),
        )
        return None
