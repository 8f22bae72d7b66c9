"""Makes many VMs act as one: membership, evidence, configuration."""
