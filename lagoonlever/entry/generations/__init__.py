"""The generations of this VM: admission, attempts, recovery, orphans."""
