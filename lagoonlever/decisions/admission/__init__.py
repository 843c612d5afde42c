"""Whether work is taken now: queues, limits, budgets, hedges, prompts that engines can read."""
