"""Tenants of the configuration, their API keys, and the quotas that all dispatchers share."""
