"""Protocol between dispatchers: messages and state machines without I/O; time and randomness are inputs."""
