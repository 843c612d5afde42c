"""Failure detection for engines by stream silence, and the budget for hedged requests."""
