"""Decisions on when work starts: queues, limits, retry budgets, hedges, prompt admission."""
