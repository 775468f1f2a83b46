"""The program that runs on each entry VM of a platform without control VMs."""
