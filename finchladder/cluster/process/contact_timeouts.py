"""Timeouts for detecting a loss of contact, as fractions of the deployment's setting `contact_ms`.

A dispatcher may receive updates only from processes that the chain no longer confirms. It then serves for
`confirmation_validity_s`, because a source may have had a recent confirmation when it replied, and for
another `unconfirmed_timeout_s`. After the sum, `contact_s`, a dispatcher need not count as connected.
"""

from attrs import frozen

CONFIRMATION_FRACTION = 2 / 3
UNCONFIRMED_FRACTION = 1 - CONFIRMATION_FRACTION
CONFIRMATIONS_PER_CONTACT_PERIOD = 10
MAX_CONFIRM_INTERVAL_S = 0.3
MAX_LONG_POLL_S = 1.0
# The maximum intervals and timeouts of pulls apply from a `contact_s` of FULL_LENGTH_CONTACT_S on; below it,
# all of them are reduced by the same factor.
MIN_UNSCALED_CONTACT_S = 3.0
MAX_PULL_TIMEOUT_S = 1.8
MAX_SOURCE_TIMEOUT_S = 2.0
MAX_POLL_INTERVAL_S = 0.5
MAX_RETRY_INTERVAL_S = 0.2
MAX_SOURCE_UPDATE_INTERVAL_S = 0.2


@frozen
class ContactTimeouts:
    """Timeouts of one deployment. `contact_s`: time without contact after which a process is disconnected."""

    contact_s: float

    @property
    def confirmation_validity_s(self) -> float:
        """Time for which the last confirmation by the chain is valid in a control process."""
        return CONFIRMATION_FRACTION * self.contact_s

    @property
    def unconfirmed_timeout_s(self) -> float:
        """Time for which a dispatcher serves without a confirmation once the core has lost its quorum."""
        return UNCONFIRMED_FRACTION * self.contact_s

    @property
    def status_validity_s(self) -> float:
        """Time for which a dispatcher relies on the last status of a control process."""
        return self.contact_s

    @property
    def confirm_interval_s(self) -> float:
        """Interval between two confirmations of the chain by its head."""
        return min(MAX_CONFIRM_INTERVAL_S, self.contact_s / CONFIRMATIONS_PER_CONTACT_PERIOD)

    @property
    def pull_timeout_s(self) -> float:
        """Timeout of a pull."""
        return self._scaled(MAX_PULL_TIMEOUT_S)

    @property
    def source_timeout_s(self) -> float:
        """Time without an update after which another source becomes the primary."""
        return self._scaled(MAX_SOURCE_TIMEOUT_S)

    @property
    def poll_interval_s(self) -> float:
        """Interval between two polls of a source that is not long-polled."""
        return self._scaled(MAX_POLL_INTERVAL_S)

    @property
    def retry_interval_s(self) -> float:
        """Interval between a failed pull and the next one."""
        return self._scaled(MAX_RETRY_INTERVAL_S)

    @property
    def source_update_interval_s(self) -> float:
        """Interval between two updates of the set of sources."""
        return self._scaled(MAX_SOURCE_UPDATE_INTERVAL_S)

    def _scaled(self, max_s: float) -> float:
        return max_s * min(1.0, self.contact_s / MIN_UNSCALED_CONTACT_S)

    @property
    def long_poll_s(self) -> float:
        """Maximum duration of a long poll; a reply without changes also confirms its source."""
        return min(MAX_LONG_POLL_S, self.unconfirmed_timeout_s)
