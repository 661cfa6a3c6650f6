#include "moves/control/model_versions.h"

#include <algorithm>
#include <tuple>

namespace samphireway::moves {

namespace {

/** Returns whether the record belongs to the generation in the move's configuration. */
bool is_current(const recorded_move& move)
{
    return move.record.generation == move.entry.generation;
}

bool is_in_force(const recorded_move& move)
{
    return is_current(move) && move.record.has_begun() && !move.record.is_final();
}

bool is_ended(const recorded_move& move)
{
    return move.record.is_final() && move.record.has_begun();
}

bool is_pending(const recorded_move& move)
{
    return !is_in_force(move) && !(is_current(move) && move.record.is_final()) && !move.entry.is_aborted;
}

bool has_earlier_deadline(const recorded_move& left, const recorded_move& right)
{
    return std::tie(left.entry.deadline, left.entry.id) < std::tie(right.entry.deadline, right.entry.id);
}

const recorded_move* find_in_force(const std::vector<recorded_move>& moves)
{
    const recorded_move* first = nullptr;
    for (const recorded_move& move : moves) {
        if (is_in_force(move) && (first == nullptr || move.record.begun < first->record.begun)) {
            first = &move;
        }
    }
    return first;
}

const recorded_move* find_last_ended(const std::vector<recorded_move>& moves)
{
    const recorded_move* last = nullptr;
    for (const recorded_move& move : moves) {
        if (is_ended(move) && (last == nullptr || move.record.finished > last->record.finished)) {
            last = &move;
        }
    }
    return last;
}

std::string version_after(const recorded_move& ended)
{
    return ended.record.state == move_state::done ? ended.record.to_version : ended.record.from_version;
}

} // namespace

std::string find_blocking_reason(const recorded_move& move, const std::vector<recorded_move>& moves_of_model)
{
    const recorded_move* in_force = find_in_force(moves_of_model);
    if (in_force != nullptr && in_force->entry.id != move.entry.id) {
        return "move " + in_force->entry.id + " of the model is in force";
    }
    const recorded_move* ended = find_last_ended(moves_of_model);
    const bool is_itself = ended != nullptr && ended->entry.id == move.entry.id && is_current(*ended);
    if (ended != nullptr && !is_itself && version_after(*ended) != move.entry.from_version) {
        return "version " + version_after(*ended) + " is in force, not from_version";
    }
    for (const recorded_move& other : moves_of_model) {
        if (is_pending(other) && has_earlier_deadline(other, move)) {
            return "move " + other.entry.id + " of the model comes first";
        }
    }
    return {};
}

model_shares resolve_versions(const std::vector<recorded_move>& moves_of_model,
                              const configuration::snapshot& configuration)
{
    if (const recorded_move* move = find_in_force(moves_of_model)) {
        const version_shares shares = shares_from_record(move->entry, move->record);
        return model_shares{.move = move->entry.id,
                            .generation = move->entry.generation,
                            .stable_version = move->entry.from_version,
                            .new_version = move->entry.to_version,
                            .fallback_version =
                                shares.uncleared >= full_share ? move->entry.to_version : std::string(),
                            .cleared_share = shares.cleared,
                            .uncleared_share = shares.uncleared,
                            .cleared = move->record.cleared};
    }
    if (const recorded_move* move = find_last_ended(moves_of_model)) {
        const bool is_done = move->record.state == move_state::done;
        return model_shares{.move = move->entry.id,
                            .generation = move->entry.generation,
                            .stable_version = version_after(*move),
                            .fallback_version = is_done ? move->record.from_version : std::string()};
    }
    const auto first = std::min_element(moves_of_model.begin(), moves_of_model.end(), has_earlier_deadline);
    const configuration::move_entry& entry = first->entry;
    const bool is_old_served = is_served(configuration, entry.model, entry.from_version) || entry.is_aborted;
    return model_shares{.move = entry.id,
                        .generation = entry.generation,
                        .stable_version = entry.from_version,
                        .fallback_version = is_old_served ? std::string() : entry.to_version};
}

bool is_served(const configuration::snapshot& configuration, const std::string& model,
               const std::string& version)
{
    for (const auto& [id, upstream] : configuration.upstreams->upstreams) {
        const bool serves = std::any_of(upstream.models.begin(), upstream.models.end(),
                                        [&](const configuration::served_model& served) {
                                            return served.model == model && served.version == version;
                                        });
        if (serves && !upstream.is_leaving) {
            return true;
        }
    }
    return false;
}

} // namespace samphireway::moves
