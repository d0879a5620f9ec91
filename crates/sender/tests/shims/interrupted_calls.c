/* Interrupts every INTERRUPT_EVERY-th call on a socket: it fails with EINTR and has done nothing, as Linux documents. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <sys/uio.h>

static int interrupted(void) {
    static unsigned calls, every;
    if (!every) {
        const char *text = getenv("INTERRUPT_EVERY");
        every = text ? (unsigned)atoi(text) : 1000000;
    }
    if (++calls % every)
        return 0;
    errno = EINTR;
    return 1;
}

#define REAL(type, name, ...) \
    static type (*real)(__VA_ARGS__); \
    if (!real) \
        real = (type (*)(__VA_ARGS__))dlsym(RTLD_NEXT, name)

ssize_t recv(int fd, void *bytes, size_t count, int flags) {
    REAL(ssize_t, "recv", int, void *, size_t, int);
    return interrupted() ? -1 : real(fd, bytes, count, flags);
}

ssize_t send(int fd, const void *bytes, size_t count, int flags) {
    REAL(ssize_t, "send", int, const void *, size_t, int);
    return interrupted() ? -1 : real(fd, bytes, count, flags);
}

ssize_t writev(int fd, const struct iovec *pieces, int count) {
    REAL(ssize_t, "writev", int, const struct iovec *, int);
    return interrupted() ? -1 : real(fd, pieces, count);
}

ssize_t sendmsg(int fd, const struct msghdr *message, int flags) {
    REAL(ssize_t, "sendmsg", int, const struct msghdr *, int);
    return interrupted() ? -1 : real(fd, message, flags);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    REAL(int, "accept4", int, struct sockaddr *, socklen_t *, int);
    return interrupted() ? -1 : real(fd, address, length, flags);
}
