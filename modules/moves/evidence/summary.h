#pragma once

#include "core/core.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace samphireway::moves {

/** Outcome and latencies of one attempt at a version. @see summary */
struct sample {
    std::string workspace;
    std::string plan;
    std::string model;
    std::string version;
    bool is_error = false;
    bool is_empty = false;                    ///< Succeeded without any output token.
    std::chrono::microseconds first_token{0}; ///< Time to the first token; zero if not measured.
    std::chrono::microseconds mean_gap{0};    ///< Mean time between tokens; zero if not measured.
    /**
        Ratio of the latency to the old version's mean on the route: the smaller of the ratios of
        `first_token` and `mean_gap`. Zero if it is not known. Set by `evidence_table`.
    */
    double slowdown = 0;
};

/**
    Counts of latencies in buckets whose limits start at 1 ms and grow by a factor of the square root of
    two.

    Histograms are merged by addition. The last bucket holds all latencies above its lower limit of 33
    s.
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

/**
    Latency that represents a slowdown of one in a histogram. It is 16 ms, a power of two times the
    first limit, so that the limits of buckets are slowdowns that are powers of the square root of two.

    @see summary
*/
inline constexpr std::chrono::microseconds slowdown_unit{16000};

/**
    Outcomes of one version on one route over a period. Has a fixed size and is merged by addition.

    @see evidence_table
*/
struct summary {
    std::uint32_t requests = 0;
    std::uint32_t errors = 0;
    std::uint32_t empty_answers = 0;
    histogram first_token;
    histogram gap;
    histogram slowdown; ///< Ratios, counted as multiples of `slowdown_unit`.

    /** Counts one sample. */
    void add(const sample& observed) noexcept;

    /** Adds another summary's counts. */
    void merge(const summary& other) noexcept;
};

/** Returns the compact JSON form: the counts and the non-empty buckets. */
Json::Value to_json(const summary& value);

/** Reads a summary; missing members are zero and counts out of range are clamped. @see to_json */
summary summary_from_json(const Json::Value& json);

} // namespace samphireway::moves
