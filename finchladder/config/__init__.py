"""Every file that a person writes: read, checked, and told in one line what is wrong with it."""
