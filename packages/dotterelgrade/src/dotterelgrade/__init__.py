"""What the processes of dotterelgrade share."""
