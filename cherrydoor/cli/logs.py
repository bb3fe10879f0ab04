"""Structured logs on standard error: readable lines on a terminal, otherwise JSON."""

import logging
import sys

import structlog


def set_up(level="info"):
    """Configures logging.

    Args:
        level: Lowest level that is logged.
    """
    renderers = (
        [structlog.dev.ConsoleRenderer()]
        if sys.stderr.isatty()
        else [structlog.processors.dict_tracebacks, structlog.processors.JSONRenderer()]
    )
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            *renderers,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.WriteLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
