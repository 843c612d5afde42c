"""Roll-out of a service's new version: its share of requests, the evidence, and the decision."""
