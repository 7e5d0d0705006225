"""A node of the scheduler: threads and queues around the decisions."""
