"""How soon a loss of contact is noticed, as shares of the deployment's own bound `contact_ms`.

A dispatcher that hears from processes which the chain has not confirmed serves for `confirmation_validity_s`
by the last confirmation, which its source may have had when it answered, and then `unconfirmed_timeout_s`
more: `contact_s` in all, after which it need not count as in touch.
"""

from attrs import frozen

CONFIRMATION_SHARE = 2 / 3
UNCONFIRMED_SHARE = 1 - CONFIRMATION_SHARE
CONFIRMS_PER_CONTACT = 10
MAX_CONFIRM_INTERVAL_S = 0.3
MAX_LONG_POLL_S = 1.0
# Longest intervals and timeouts of pulls; where contact is lost sooner than FULL_LENGTH_CONTACT_S, all are
# shorter by the same factor.
FULL_LENGTH_CONTACT_S = 3.0
MAX_PULL_TIMEOUT_S = 1.8
MAX_SOURCE_TIMEOUT_S = 2.0
MAX_POLL_INTERVAL_S = 0.5
MAX_RETRY_INTERVAL_S = 0.2
MAX_SOURCE_UPDATE_INTERVAL_S = 0.2


@frozen
class ContactTimeouts:
    """Timeouts of one deployment. `contact_s`: after so long without contact a process is not in touch."""

    contact_s: float

    @property
    def confirmation_validity_s(self) -> float:
        """How long the chain's last confirmation holds in a control process."""
        return CONFIRMATION_SHARE * self.contact_s

    @property
    def unconfirmed_timeout_s(self) -> float:
        """How long a dispatcher serves without a confirmation once the core has lost its quorum."""
        return UNCONFIRMED_SHARE * self.contact_s

    @property
    def status_validity_s(self) -> float:
        """How long a dispatcher believes what a control process has told it."""
        return self.contact_s

    @property
    def confirm_interval_s(self) -> float:
        """Between two confirmations of the chain by its head."""
        return min(MAX_CONFIRM_INTERVAL_S, self.contact_s / CONFIRMS_PER_CONTACT)

    @property
    def pull_timeout_s(self) -> float:
        """Until a pull without an answer is given up."""
        return self._shortened(MAX_PULL_TIMEOUT_S)

    @property
    def source_timeout_s(self) -> float:
        """Without an update for so long another source becomes the primary."""
        return self._shortened(MAX_SOURCE_TIMEOUT_S)

    @property
    def poll_interval_s(self) -> float:
        """Between two polls of a source that is not long-polled."""
        return self._shortened(MAX_POLL_INTERVAL_S)

    @property
    def retry_interval_s(self) -> float:
        """Between a pull that has failed and the next."""
        return self._shortened(MAX_RETRY_INTERVAL_S)

    @property
    def source_update_interval_s(self) -> float:
        """Between two looks at which sources to pull from."""
        return self._shortened(MAX_SOURCE_UPDATE_INTERVAL_S)

    def _shortened(self, longest_s: float) -> float:
        return longest_s * min(1.0, self.contact_s / FULL_LENGTH_CONTACT_S)

    @property
    def long_poll_s(self) -> float:
        """How long a pull waits for news: an answer without news confirms its source, too."""
        return min(MAX_LONG_POLL_S, self.unconfirmed_timeout_s)
