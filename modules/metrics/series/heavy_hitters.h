#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace samphireway::metrics {

/**
    Counts occurrences of labels approximately in bounded memory (space-saving algorithm).

    A label with more than 1/capacity of the recent traffic is always kept. Not thread-safe.

    @see bounded_series
*/
class heavy_hitters {
public:
    explicit heavy_hitters(std::size_t capacity);

    /**
        Counts one occurrence of a label.

        When full, a new label replaces one with the smallest count and continues from that count.
    */
    void add(const std::string& label);

    /** Returns the kept labels with their counts, largest first; equal counts in order of label. */
    std::vector<std::pair<std::string, std::uint64_t>> ranking() const;

    /** Halves all counts, so that the ranking follows recent traffic. */
    void halve_counts();

private:
    const std::size_t capacity;
    std::unordered_map<std::string, std::uint64_t> counts;
    std::vector<std::string> replaceable; ///< Labels that had the smallest count at the last scan.
    std::uint64_t smallest_count = 0;
};

} // namespace samphireway::metrics
