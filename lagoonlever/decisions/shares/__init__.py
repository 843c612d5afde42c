"""Fair shares of organisations and the budgets of their retries."""
