"""The VM among the others: membership, addresses, claims."""
