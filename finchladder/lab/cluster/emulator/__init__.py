"""Days of model workers at virtual time: emulated engines under the real placer and the real choice."""
