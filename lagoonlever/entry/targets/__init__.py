"""The list of targets and the probes of each."""
