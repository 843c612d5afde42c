"""Messages between the entry VMs."""
