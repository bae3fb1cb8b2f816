"""Outlier detection from the attempts of all dispatchers; loaded only if [judgement] is configured."""
