"""What commands print: produce, format, write."""
