"""A cluster scheduler for services, batch runs and gang jobs."""

__version__ = '0.1.0'
