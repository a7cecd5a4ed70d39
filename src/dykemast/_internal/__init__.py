"""Private parts of dykemast; nothing here is a public interface."""
