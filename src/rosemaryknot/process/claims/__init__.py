"""At-most-once execution on the agent: who may send a request, and what came of it."""
