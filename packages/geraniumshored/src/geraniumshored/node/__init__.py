"""A scheduler node: the threads, queues and calls that carry out decisions."""
