"""Programs around the product: demo, measurements, mutants."""
