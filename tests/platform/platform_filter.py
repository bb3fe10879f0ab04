"""A program that starts the gateway under the platform's system-call filter."""

# The filter makes the kernel refuse what the platform refuses: executing programs, fork, io_uring,
# splice, sendfile and sockets other than IPv4. The program first tries a fork, so that a filter
# without effect is noticed.
FILTERED_GATEWAY = """
import ctypes, errno, os, platform, runpy, struct, sys
refused, clone, socket = {
    "x86_64": ((57, 58, 59, 322, 275, 40, 425, 426, 427, 435), 56, 41),
    "aarch64": ((221, 281, 76, 71, 425, 426, 427, 435), 220, 198)}[platform.machine()]
no, yes = (6, 0, 0, 0x50000 | errno.ENOSYS), (6, 0, 0, 0x7fff0000)
number, first = (0x20, 0, 0, 0), (0x20, 0, 0, 16)
lines = [number]
for call in refused:
    lines += [(0x15, 0, 1, call), no]
lines += [(0x15, 0, 4, clone), first, (0x45, 1, 0, 0x10000), no, yes]     # threads only
lines += [(0x15, 0, 4, socket), first, (0x15, 1, 0, 2), no, yes, yes]      # IPv4 only
code = ctypes.create_string_buffer(b"".join(struct.pack("HBBI", *line) for line in lines))
program = ctypes.create_string_buffer(struct.pack("HP", len(lines), ctypes.addressof(code)))
libc = ctypes.CDLL(None, use_errno=True)
pointer = ctypes.c_void_p(ctypes.addressof(program))
if libc.prctl(38, 1, 0, 0, 0) or libc.prctl(22, 2, pointer, 0, 0):
    sys.exit("no filter: " + os.strerror(ctypes.get_errno()))
try:
    if os.fork() == 0:
        os._exit(0)
    sys.exit("the filter let a fork pass")
except OSError as error:
    assert error.errno == errno.ENOSYS, error
sys.argv[1:] = ["platform"]
runpy.run_module("cherrydoor", run_name="__main__", alter_sys=True)
"""
