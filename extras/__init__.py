"""Tools beside the product: code generator, samples, demo, measurements."""
