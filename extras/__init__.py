"""Development tools: code generators, samples, demo, benchmarks, mutants and the soak test."""
