"""A seeded fuzz of all doors of an instance, beside usual calls."""
