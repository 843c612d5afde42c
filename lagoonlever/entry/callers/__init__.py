"""What callers reach: completions, their streams, checks and outcomes."""
