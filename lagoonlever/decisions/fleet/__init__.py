"""The VMs of a gateway fleet: who is there, who tells whom, addresses for callers."""
