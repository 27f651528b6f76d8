"""Admission control: load shedding and retry budgets."""
