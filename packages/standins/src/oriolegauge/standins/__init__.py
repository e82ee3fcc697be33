"""Small fakes of the outside systems, run as separate processes."""
