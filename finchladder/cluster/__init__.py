"""Router and placer for many models, based on the design of the dispatcher in `finchladder.core`."""
