"""What is decided: times and facts go in, actions come out. No I/O, no clock, no thread, no global."""
