"""Durable state of a control host, in files of one data folder."""
