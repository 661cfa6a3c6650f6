#pragma once

#include "gateway/quarantine/crash_report.h"

#include <cstdint>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace samphireway::gateway {

/**
    Remembers which parts of prompts upstreams have answered completely, and in which order. Thread-safe.

    Answers are numbered from 1, so that no clock is needed to tell whether an answer came after an event.
    Memory is bounded: two generations of hashes, of which the older one is forgotten when the newer one is
    full.
*/
class answered_parts {
public:
    /** Records that an upstream has answered a prompt with these parts completely. */
    void add(const prompt_parts& prompt);

    /** Returns the number of answers so far. */
    std::uint64_t count() const;

    /** Returns the number of the last answer to a prompt with a part; empty if none is remembered. */
    std::optional<std::uint64_t> last_answer(const std::string& part) const;

private:
    static constexpr std::size_t generation_size = 1U << 15U;

    mutable std::mutex mutex;
    std::uint64_t answers = 0;
    std::unordered_map<std::uint64_t, std::uint64_t> current; ///< Last answer by the hash of a part.
    std::unordered_map<std::uint64_t, std::uint64_t> previous;
};

} // namespace samphireway::gateway
