"""Small stand-ins of the systems that rosemaryknot meets, for demo and tests."""
