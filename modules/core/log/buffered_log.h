#pragma once

#include "core/log/log.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace samphireway::core {

/** Limits of the buffered log. @see initialize_buffered_log */
struct buffered_log_options {
    log_level minimum = log_level::info;
    std::size_t maximum_bytes = 256U << 10U; ///< Bytes buffered at most while standard output blocks.
    /** Average lines per second. A busy node logs each failed request and one in 16 of the others. */
    double lines_per_second = 300;
    double burst_lines = 1500; ///< Lines allowed at once, for startup and the first second of a fault.
};

/**
    Directs log lines to a buffer in memory, from which `flush_buffered_log` writes them to standard output.

    Logging never blocks on output. Lines above the rate limit or beyond the buffer size are dropped and
    counted, and the next flush writes a line with the total. Makes standard output non-blocking. Call
    once at startup instead of `initialize_log`.
*/
void initialize_buffered_log(const buffered_log_options& options);

/**
    Writes buffered lines until standard output would block; the remaining ones wait for the next call.

    Call often, from one thread.
*/
void flush_buffered_log();

/** Returns the number of lines dropped since startup. */
std::uint64_t dropped_log_lines();

} // namespace samphireway::core
