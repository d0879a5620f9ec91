/* While the file FAILING_FOLDER_SWITCH exists, writes to the journal stop half-way and fail, and so does cutting it. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

static int fails(int fd) {
    char link[64], path[4096];
    const char *file = getenv("FAILING_FOLDER_SWITCH");
    if (!file || access(file, F_OK) != 0)
        return 0;
    snprintf(link, sizeof link, "/proc/self/fd/%d", fd);
    ssize_t length = readlink(link, path, sizeof path - 1);
    if (length <= 0)
        return 0;
    path[length] = 0;
    return strstr(path, "/state/journal") != NULL;
}

ssize_t write(int fd, const void *bytes, size_t count) {
    static ssize_t (*real)(int, const void *, size_t);
    static int stopped;
    if (!real)
        real = (ssize_t (*)(int, const void *, size_t))dlsym(RTLD_NEXT, "write");
    if (!fails(fd))
        return real(fd, bytes, count);
    stopped = !stopped;
    if (stopped && count > 1)
        return real(fd, bytes, count / 2);
    errno = ENOSPC;
    return -1;
}

int ftruncate64(int fd, off64_t length) {
    static int (*real)(int, off64_t);
    if (!real)
        real = (int (*)(int, off64_t))dlsym(RTLD_NEXT, "ftruncate64");
    if (fails(fd)) {
        errno = EIO;
        return -1;
    }
    return real(fd, length);
}
