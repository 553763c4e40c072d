//! Connections between the processes, settings, logs and metrics.
