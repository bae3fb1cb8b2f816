"""A router and placer for many models, built round the dispatcher's design in `finchladder.core`."""
