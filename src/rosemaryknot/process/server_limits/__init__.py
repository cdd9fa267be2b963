"""Rate limits that servers state: who knows them, and who spends them."""
