"""Plans which worker loads which model, from demand and load limits; without I/O and clock."""
