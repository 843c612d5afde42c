"""What was seen in a run, and a checker for each promise."""
