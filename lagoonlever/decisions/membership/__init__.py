"""Gossip of the entry VMs: probes, suspicions, listings."""
