"""Stand-ins and process control that the cases of the second review share."""
