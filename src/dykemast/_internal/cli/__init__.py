"""Command line: parses arguments and maps errors to exit codes."""
