"""Node program, which runs on each entry VM of a platform without control VMs."""
