"""Which model is to be where: demand, plan, ledger of loads."""
