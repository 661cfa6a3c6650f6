#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace samphireway::bench {

/**
    Tracks each plan's remaining budget from the callers' side, to detect false refusals.

    A refusal is false when the plan's budget covers all used tokens, the worst case of all requests in flight
    and the worst case of the refused request.
*/
class budget_tracker {
public:
    /** Takes the tokens that each plan has left before the run; other plans aren't tracked. */
    explicit budget_tracker(std::map<std::string, std::int64_t> available);

    /** Subtracts the worst case of a request that starts. */
    void start_request(const std::string& plan, std::int64_t worst_case);

    /** Replaces the worst case of a request that ended by the tokens it used. */
    void finish_request(const std::string& plan, std::int64_t worst_case, std::int64_t used);

    /** Returns whether a plan is tracked and its remaining budget covers one more request. */
    bool can_cover(const std::string& plan, std::int64_t worst_case) const;

private:
    mutable std::mutex mutex;
    std::map<std::string, std::int64_t>
        remaining; ///< Tokens not used and not assigned to requests in flight.
};

} // namespace samphireway::bench
