"""What the soak over the gateway and the processes that it starts agree on."""

# Links to targets have addresses of this net and of those after it.
FIRST_TARGET_NET = 250
# The file beside a VM's settings while the VM reaches no target.
CUT_SUFFIX = ".cut"
