"""Which target a generation goes to, by prefix and load."""
