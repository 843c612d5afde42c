"""The VMs of a fleet: which are present, their roles, and the addresses callers are given."""
