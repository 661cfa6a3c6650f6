#pragma once

#include "core/core.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace samphireway::moves {

/** What one attempt at a version shows. @see summary */
struct sample {
    std::string workspace;
    std::string plan;
    std::string model;
    std::string version;
    bool is_error = false;
    bool is_empty = false;                    ///< Succeeded without any output token.
    std::chrono::microseconds first_token{0}; ///< Zero when there was none.
    std::chrono::microseconds mean_gap{0}; ///< Mean time between tokens; zero when there were fewer than two.
    /** How many times as long as the old version's mean on the route the request took, by the smaller of
     * first token and gap; zero when that is not known. Filled in by `evidence_table`. */
    double slowdown = 0;
};

/**
    Counts of a latency in buckets whose limits grow by the square root of two, from 1 ms.

    Two histograms merge by addition. The last bucket holds everything above its lower limit (46 s).
*/
struct histogram {
    static constexpr std::size_t buckets = 32;
    std::array<std::uint32_t, buckets> counts{};

    /** Counts one latency. */
    void add(std::chrono::microseconds latency) noexcept;

    /** Adds another histogram's counts. */
    void merge(const histogram& other) noexcept;

    /** Returns the number of latencies in bucket `first` and above. */
    std::uint64_t count_from(std::size_t first) const noexcept;
};

/** The latency that stands for a slowdown of one; a power of two, so that buckets end at powers of the square
 * root of two. @see summary */
inline constexpr std::chrono::microseconds slowdown_unit{16000};

/**
    What is known of one version on one route in a span of time. Mergeable by addition and of fixed size.

    @see evidence_table
*/
struct summary {
    std::uint32_t requests = 0;
    std::uint32_t errors = 0;
    std::uint32_t empty_answers = 0;
    histogram first_token;
    histogram gap;
    histogram slowdown; ///< A ratio of one is counted as `slowdown_unit`.

    /** Counts one sample. */
    void add(const sample& observed) noexcept;

    /** Adds another summary's counts. */
    void merge(const summary& other) noexcept;
};

/** Returns the compact stored form: counts and the non-empty buckets. */
Json::Value to_json(const summary& value);

/** Reads a summary; members that are missing or out of range count as zero. @see to_json */
summary summary_from_json(const Json::Value& json);

} // namespace samphireway::moves
