#pragma once

#include "metrics/series/heavy_hitters.h"

#include <map>
#include <string>
#include <utility>

namespace samphireway::metrics {

/** Label of the series shared by all labels without their own series. It is not a valid id. */
inline const std::string shared_label = "(other)";

/**
    Keeps one record for each of at most `maximum_labels` labels, and one record shared by all other
    labels.

    `promote` gives the labels with the most recent traffic their own record. It merges the record of a
    label that it removes into the shared one, so that totals never decrease. `Record` needs
    `merge(const Record&)`. Not thread-safe: callers must lock.

    @see heavy_hitters
*/
template<typename Record> class bounded_series {
public:
    explicit bounded_series(std::size_t maximum_labels)
        : maximum(maximum_labels), traffic(maximum_labels * sketch_capacity_factor)
    {
    }

    /** Counts one occurrence of a label and returns the record to which its values are added. */
    Record& record(const std::string& label)
    {
        this->traffic.add(label);
        const auto found = this->own_records.find(label);
        if (found != this->own_records.end()) {
            return found->second;
        }
        return this->own_records.size() < this->maximum ? this->own_records[label] : this->shared_record;
    }

    /** Gives the labels with the most recent traffic their own records. Call at regular intervals. */
    void promote()
    {
        std::map<std::string, Record> next;
        for (const auto& [label, count] : this->traffic.ranking()) {
            if (next.size() == this->maximum) {
                break;
            }
            auto node = this->own_records.extract(label);
            if (node.empty()) {
                next.try_emplace(label);
            }
            else {
                next.insert(std::move(node));
            }
        }
        for (const auto& [label, record] : this->own_records) {
            this->shared_record.merge(record);
        }
        this->own_records = std::move(next);
        this->traffic.halve_counts();
    }

    /** Calls `visit(label, record)` for every series, the shared one last. */
    template<typename Visitor> void for_each(const Visitor& visit) const
    {
        for (const auto& [label, record] : this->own_records) {
            visit(label, record);
        }
        visit(shared_label, this->shared_record);
    }

private:
    // The sketch counts more labels than there are series, so that a label near the limit is ranked by
    // its own traffic, not by a count that it took over from a label it replaced.
    static constexpr std::size_t sketch_capacity_factor = 4;

    const std::size_t maximum;
    heavy_hitters traffic;
    std::map<std::string, Record> own_records;
    Record shared_record;
};

} // namespace samphireway::metrics
