#pragma once

#include "moves/moves.h"

#include <optional>
#include <string>
#include <vector>

namespace samphireway::testing {

/** One event of a move's history: a request sent to the new version or a record written to the platform. */
struct move_event {
    enum class event_kind { record, sent_new };
    event_kind kind = event_kind::record;
    core::wall_time time;
    moves::move_record record;    ///< The written record; unused for a request.
    std::uint64_t generation = 0; ///< For a request: generation of the move that its sender followed.
};

/** Returns a description of the first invariant that the history of one move violates, or an empty text. The
    events must be in order of time; requests may follow for `stop_time` after a move is taken back. */
inline std::string find_violation(const std::vector<move_event>& history, std::chrono::seconds stop_time)
{
    std::optional<move_event> last;
    for (const move_event& event : history) {
        if (event.kind == move_event::event_kind::sent_new) {
            const bool is_stopped = last && last->record.state == moves::move_state::taken_back &&
                                    last->record.generation >= event.generation;
            if (is_stopped && event.time > last->time + stop_time) {
                return "sent to a version that was taken back";
            }
            continue;
        }
        if (event.record.state == moves::move_state::taken_back && !event.record.fault) {
            return "taken back without evidence";
        }
        if (event.record.is_final() && event.record.reason.empty()) {
            return "ended without a reason";
        }
        const bool is_same_generation = last && last->record.generation == event.record.generation;
        if (last && event.record.generation < last->record.generation) {
            return "an earlier generation returned";
        }
        if (is_same_generation && last->record.is_final() && event.record.state != last->record.state &&
            event.record.state != moves::move_state::taken_back) {
            return "a final state was left";
        }
        if (is_same_generation && event.record.step < last->record.step && !event.record.is_final()) {
            return "the ramp went back";
        }
        if (is_same_generation && event.record.step > last->record.step + 1) {
            return "the ramp skipped a step";
        }
        last = event;
    }
    return {};
}

} // namespace samphireway::testing
