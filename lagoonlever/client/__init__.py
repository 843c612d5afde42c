"""The caller's library: finds an entry VM, sends, comes back after a loss."""
