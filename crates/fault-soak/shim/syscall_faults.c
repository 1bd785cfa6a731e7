/* Makes system calls of one process fail in ways that Linux documents, and steps its wall clock.
 *
 * Loaded by LD_PRELOAD only into processes that the fault soak or a test starts. The environment variable
 * SYSCALL_FAULTS holds the settings, a comma-separated list of NAME=VALUE:
 *
 *   seed=N       seed of the random numbers
 *   eintr=P      reads and writes of network sockets, and connects, per 1,000: fail with EINTR before any
 *                effect
 *   short=P      reads and writes of sockets per 1,000: transfer fewer bytes than requested
 *   accept=P     accepts per 1,000: fail with ECONNABORTED, EMFILE, ENFILE, ENOBUFS, ENOMEM, EPROTO or
 *                EHOSTUNREACH
 *   connect=P    connects per 1,000: fail with EADDRNOTAVAIL, ENETUNREACH, ENOBUFS or EAGAIN
 *   socket=P     calls of socket per 1,000: fail with EMFILE, ENFILE, ENOBUFS or ENOMEM
 *   broken=P     reads per 10,000 of connections that this process opened: the connection fails with
 *                ETIMEDOUT or EHOSTUNREACH
 *   config=P     opens of the configuration file per 1,000: fail with EIO or EMFILE
 *   from=T, to=T start and end of the time in which calls fail, in milliseconds of CLOCK_MONOTONIC; without
 *                them calls fail at any time
 *   step=T:S     from T on (milliseconds of CLOCK_MONOTONIC) the wall clock is S milliseconds ahead. Up to
 *                eight steps may be given, ordered by time; the last one that is due applies
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#define MAX_STEPS 8
#define MAX_DESCRIPTORS 65536

struct clock_step {
    int64_t at_ms;
    int64_t ahead_ms;
};

static struct {
    uint64_t random_state;
    int eintr, short_io, accept, connect, socket, broken, config;
    int64_t from_ms, to_ms;
    struct clock_step steps[MAX_STEPS];
    int step_count;
} faults;

/* Descriptors of connections that this process has opened. */
static unsigned char is_outgoing[MAX_DESCRIPTORS];
static pthread_once_t load_once = PTHREAD_ONCE_INIT;

#define NEXT(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))

static int64_t monotonic_ms(void) {
    static int (*next)(clockid_t, struct timespec *);
    struct timespec now;
    if (!next) next = NEXT(clock_gettime);
    next(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static void parse_setting(char *entry) {
    char *value = strchr(entry, '=');
    if (!value) return;
    *value++ = 0;
    int64_t number = strtoll(value, NULL, 10);
    if (!strcmp(entry, "seed")) faults.random_state = (uint64_t)number * 2654435761u + 88172645463325252ull;
    else if (!strcmp(entry, "eintr")) faults.eintr = (int)number;
    else if (!strcmp(entry, "short")) faults.short_io = (int)number;
    else if (!strcmp(entry, "accept")) faults.accept = (int)number;
    else if (!strcmp(entry, "connect")) faults.connect = (int)number;
    else if (!strcmp(entry, "socket")) faults.socket = (int)number;
    else if (!strcmp(entry, "broken")) faults.broken = (int)number;
    else if (!strcmp(entry, "config")) faults.config = (int)number;
    else if (!strcmp(entry, "from")) faults.from_ms = number;
    else if (!strcmp(entry, "to")) faults.to_ms = number;
    else if (!strcmp(entry, "step") && faults.step_count < MAX_STEPS) {
        char *ahead = strchr(value, ':');
        if (!ahead) return;
        faults.steps[faults.step_count++] = (struct clock_step){number, strtoll(ahead + 1, NULL, 10)};
    }
}

static void load_settings(void) {
    faults.random_state = 88172645463325252ull;
    faults.to_ms = INT64_MAX;
    const char *text = getenv("SYSCALL_FAULTS");
    if (!text) return;
    char *copy = strdup(text), *rest = copy, *entry;
    while ((entry = strsep(&rest, ","))) parse_setting(entry);
    free(copy);
}

/* xorshift64*; a race between threads only changes the random numbers. */
static uint64_t next_random(void) {
    uint64_t x = faults.random_state;
    x ^= x >> 12;
    x ^= x << 25;
    x ^= x >> 27;
    faults.random_state = x;
    return x * 2685821657736338717ull;
}

static int should_fail(int chance, int out_of) {
    pthread_once(&load_once, load_settings);
    if (chance <= 0) return 0;
    int64_t now = monotonic_ms();
    if (now < faults.from_ms || now >= faults.to_ms) return 0;
    return (int)(next_random() % (uint64_t)out_of) < chance;
}

/* Excludes the socket pairs with which the async runtime wakes itself for signals: they never block and are
 * not interrupted. */
static int is_network_socket(int fd) {
    int domain = 0;
    socklen_t length = sizeof domain;
    return getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &length) == 0 && (domain == AF_INET || domain == AF_INET6);
}

static int fail(int error) {
    errno = error;
    return -1;
}

static int fail_one_of(const int *errors, int count) {
    return fail(errors[next_random() % (uint64_t)count]);
}

/* Returns -1 and sets errno if a call on a socket must fail; otherwise returns 0, and may reduce *length, the
 * number of bytes that the call transfers. */
static int socket_fault(int fd, size_t *length, int is_read) {
    pthread_once(&load_once, load_settings);
    if (!is_network_socket(fd)) return 0;
    if (should_fail(faults.eintr, 1000)) return fail(EINTR);
    if (is_read && fd >= 0 && fd < MAX_DESCRIPTORS && is_outgoing[fd] && should_fail(faults.broken, 10000)) {
        static const int errors[] = {ETIMEDOUT, EHOSTUNREACH};
        /* Ends both directions of the connection, as a real timeout does; the peer gets a reset. */
        struct linger reset = {1, 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        shutdown(fd, SHUT_RDWR);
        return fail_one_of(errors, 2);
    }
    if (*length > 1 && should_fail(faults.short_io, 1000)) *length = 1 + next_random() % (*length - 1);
    return 0;
}

ssize_t recv(int fd, void *bytes, size_t length, int flags) {
    static ssize_t (*next)(int, void *, size_t, int);
    if (!next) next = NEXT(recv);
    size_t allowed = length;
    if (!(flags & MSG_PEEK) && socket_fault(fd, &allowed, 1)) return -1;
    return next(fd, bytes, allowed, flags);
}

ssize_t send(int fd, const void *bytes, size_t length, int flags) {
    static ssize_t (*next)(int, const void *, size_t, int);
    if (!next) next = NEXT(send);
    size_t allowed = length;
    if (socket_fault(fd, &allowed, 0)) return -1;
    return next(fd, bytes, allowed, flags);
}

ssize_t read(int fd, void *bytes, size_t length) {
    static ssize_t (*next)(int, void *, size_t);
    if (!next) next = NEXT(read);
    size_t allowed = length;
    if (socket_fault(fd, &allowed, 1)) return -1;
    return next(fd, bytes, allowed);
}

ssize_t write(int fd, const void *bytes, size_t length) {
    static ssize_t (*next)(int, const void *, size_t);
    if (!next) next = NEXT(write);
    size_t allowed = length;
    if (socket_fault(fd, &allowed, 0)) return -1;
    return next(fd, bytes, allowed);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    static ssize_t (*next)(int, const struct iovec *, int);
    if (!next) next = NEXT(writev);
    size_t allowed = 2;
    if (socket_fault(fd, &allowed, 0)) return -1;
    /* A short write transfers only the first part. */
    return next(fd, parts, allowed < 2 && count > 1 ? 1 : count);
}

int open64(const char *path, int flags, ...) {
    static int (*next)(const char *, int, ...);
    if (!next) next = NEXT(open64);
    va_list arguments;
    va_start(arguments, flags);
    mode_t mode = flags & (O_CREAT | O_TMPFILE) ? va_arg(arguments, mode_t) : 0;
    va_end(arguments);
    static const int errors[] = {EIO, EMFILE};
    int is_config = strstr(path, "config.json") != NULL;
    if (is_config && should_fail(faults.config, 1000)) return fail_one_of(errors, 2);
    return next(path, flags, mode);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    static int (*next)(int, struct sockaddr *, socklen_t *, int);
    if (!next) next = NEXT(accept4);
    static const int errors[] = {ECONNABORTED, EMFILE, ENFILE, ENOBUFS, ENOMEM, EPROTO, EHOSTUNREACH};
    pthread_once(&load_once, load_settings);
    if (should_fail(faults.accept, 1000)) return fail_one_of(errors, 7);
    int accepted = next(fd, address, length, flags);
    if (accepted >= 0 && accepted < MAX_DESCRIPTORS) is_outgoing[accepted] = 0;
    return accepted;
}

int socket(int domain, int type, int protocol) {
    static int (*next)(int, int, int);
    if (!next) next = NEXT(socket);
    static const int errors[] = {EMFILE, ENFILE, ENOBUFS, ENOMEM};
    pthread_once(&load_once, load_settings);
    if ((type & 0xf) == SOCK_STREAM && should_fail(faults.socket, 1000)) return fail_one_of(errors, 4);
    return next(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    static int (*next)(int, const struct sockaddr *, socklen_t);
    if (!next) next = NEXT(connect);
    static const int errors[] = {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EAGAIN};
    pthread_once(&load_once, load_settings);
    if (should_fail(faults.eintr, 1000)) return fail(EINTR);
    if (should_fail(faults.connect, 1000)) return fail_one_of(errors, 4);
    if (fd >= 0 && fd < MAX_DESCRIPTORS) is_outgoing[fd] = 1;
    return next(fd, address, length);
}

/* Current offset of the wall clock, in milliseconds. */
static int64_t wall_clock_ahead_ms(void) {
    pthread_once(&load_once, load_settings);
    int64_t now = faults.step_count ? monotonic_ms() : 0, ahead = 0;
    for (int i = 0; i < faults.step_count; i++) {
        if (now >= faults.steps[i].at_ms) ahead = faults.steps[i].ahead_ms;
    }
    return ahead;
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    static int (*next)(clockid_t, struct timespec *);
    if (!next) next = NEXT(clock_gettime);
    int result = next(clock, time);
    if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t ahead = wall_clock_ahead_ms();
        int64_t nanos = time->tv_nsec + (ahead % 1000) * 1000000;
        time->tv_sec += ahead / 1000 + (nanos >= 1000000000) - (nanos < 0);
        time->tv_nsec = nanos >= 1000000000 ? nanos - 1000000000 : nanos < 0 ? nanos + 1000000000 : nanos;
    }
    return result;
}
