"""Timeouts for detecting a loss of contact, derived from the deployment's setting `contact_ms`.

If all control processes that a dispatcher reaches have lost contact with the chain, they still report it as
confirmed for up to `confirmation_validity_s` after its last confirmation. The dispatcher serves for another
`unconfirmed_timeout_s`. The sum is `contact_s`, after which a dispatcher need not count as connected.
"""

from attrs import frozen

CONFIRMATION_FRACTION = 2 / 3
UNCONFIRMED_FRACTION = 1 - CONFIRMATION_FRACTION
CONFIRMATIONS_PER_CONTACT_PERIOD = 10
MAX_CONFIRM_INTERVAL_S = 0.3
MAX_LONG_POLL_S = 1.0
# The following maximum intervals and timeouts apply if `contact_s` is at least MIN_UNSCALED_CONTACT_S.
# Otherwise they are multiplied by `contact_s` / MIN_UNSCALED_CONTACT_S.
MIN_UNSCALED_CONTACT_S = 3.0
MAX_PULL_TIMEOUT_S = 1.8
MAX_SOURCE_TIMEOUT_S = 2.0
MAX_POLL_INTERVAL_S = 0.5
MAX_RETRY_INTERVAL_S = 0.2
MAX_SOURCE_UPDATE_INTERVAL_S = 0.2


@frozen
class ContactTimeouts:
    """Timeouts of one deployment.

    `contact_s`: seconds without contact after which a process counts as disconnected.
    """

    contact_s: float

    @property
    def confirmation_validity_s(self) -> float:
        """Seconds for which a control process reports the last confirmation by the chain as recent."""
        return CONFIRMATION_FRACTION * self.contact_s

    @property
    def unconfirmed_timeout_s(self) -> float:
        """Seconds for which a dispatcher serves after the last report of a recent confirmation."""
        return UNCONFIRMED_FRACTION * self.contact_s

    @property
    def status_validity_s(self) -> float:
        """Seconds for which a dispatcher uses the last status that it received from a control process."""
        return self.contact_s

    @property
    def confirm_interval_s(self) -> float:
        """Seconds between two confirmations of the chain by its head."""
        return min(MAX_CONFIRM_INTERVAL_S, self.contact_s / CONFIRMATIONS_PER_CONTACT_PERIOD)

    @property
    def pull_timeout_s(self) -> float:
        """Timeout of a pull in seconds."""
        return self._scaled(MAX_PULL_TIMEOUT_S)

    @property
    def source_timeout_s(self) -> float:
        """Seconds without an update from the primary source after which another one replaces it."""
        return self._scaled(MAX_SOURCE_TIMEOUT_S)

    @property
    def poll_interval_s(self) -> float:
        """Seconds between two polls of a source that is not long-polled."""
        return self._scaled(MAX_POLL_INTERVAL_S)

    @property
    def retry_interval_s(self) -> float:
        """Seconds between a failed pull and the next one."""
        return self._scaled(MAX_RETRY_INTERVAL_S)

    @property
    def source_update_interval_s(self) -> float:
        """Seconds between two updates of the set of sources."""
        return self._scaled(MAX_SOURCE_UPDATE_INTERVAL_S)

    def _scaled(self, max_s: float) -> float:
        return max_s * min(1.0, self.contact_s / MIN_UNSCALED_CONTACT_S)

    @property
    def long_poll_s(self) -> float:
        """Maximum duration of a long poll in seconds.

        It is at most `unconfirmed_timeout_s`, because a reply without changes also reports a confirmation.
        """
        return min(MAX_LONG_POLL_S, self.unconfirmed_timeout_s)
