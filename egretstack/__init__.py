"""A serving system for LLM generations of unknown output length on highly loaded engines."""

__version__ = "0.1.0"
