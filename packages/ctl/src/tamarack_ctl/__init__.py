"""The tamarack command line for operators."""
