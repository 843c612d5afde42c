"""Orders to engines under a lease, and the state that is wanted."""
