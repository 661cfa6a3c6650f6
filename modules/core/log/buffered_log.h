#pragma once

#include "core/log/log.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace samphireway::core {

/** Bounds of the buffered log. @see initialize_buffered_log */
struct buffered_log_options {
    log_level minimum = log_level::info;
    std::size_t maximum_bytes = 256U << 10U; ///< Kept while standard output takes nothing.
    /** Sustained lines a second: a busy node logs each failed request and one in 16 others. */
    double lines_per_second = 300;
    double burst_lines = 1500; ///< Start-up and the first second of a fault.
};

/**
    Directs log lines to a buffer in memory, from which `flush_buffered_log` writes them to standard output.

    Logging never blocks: lines over the rate or beyond the buffer are dropped and counted, and the next flush
    writes a line with their number. Call once at start instead of `initialize_log`.
*/
void initialize_buffered_log(const buffered_log_options& options);

/** Writes buffered lines as far as standard output takes them at once. Call often, from one thread. */
void flush_buffered_log();

/** Returns the number of lines dropped so far. */
std::uint64_t dropped_log_lines();

} // namespace samphireway::core
