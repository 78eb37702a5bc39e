"""What the scripts of this review share."""
