"""Group membership of the entry VMs: probes, suspicions, and the platform's list of VMs."""
