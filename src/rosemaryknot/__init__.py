"""Serve language models and plain services on instances the cloud may reclaim."""

__all__ = ["__version__"]

__version__ = "0.1.0"
