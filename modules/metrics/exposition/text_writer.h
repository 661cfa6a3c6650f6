#pragma once

#include "metrics/histogram/duration_histogram.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace samphireway::metrics {

/** Labels of one series as pairs of name and value. */
using labels = std::vector<std::pair<std::string_view, std::string_view>>;

/**
    Writes metrics in the Prometheus text exposition format, version 0.0.4.

    Call `begin` once for each metric, then add all series of that metric.
*/
class text_writer {
public:
    /** Starts a metric; `type` is `counter`, `gauge` or `histogram`. */
    void begin(std::string_view name, std::string_view type, std::string_view help);

    /** Adds a series of a counter or gauge. */
    void add(const labels& series, std::int64_t value);

    /** Adds a series of a histogram. */
    void add(const labels& series, const histogram_reading& reading);

    /** Returns the text written so far. */
    const std::string& text() const;

private:
    void add_line(std::string_view suffix, const labels& series, std::string_view bound,
                  std::string_view value);

    std::string name;
    std::string output;
};

} // namespace samphireway::metrics
