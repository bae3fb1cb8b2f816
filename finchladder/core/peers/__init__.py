"""What dispatchers say to each other, and what each makes of it: pure; times and draws are passed in."""
