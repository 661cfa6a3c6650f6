#include "configuration/editing/reference_check.h"

#include <algorithm>

namespace samphireway::configuration {

namespace {

bool serves(const upstream& candidate, const access_entry& entry)
{
    if (candidate.kind == upstream_kind::service && candidate.service == entry.model) {
        return true;
    }
    return std::any_of(
        candidate.models.begin(), candidate.models.end(), [&entry](const served_model& served) {
            return served.model == entry.model && (entry.version == "*" || entry.version == served.version);
        });
}

tl::unexpected<core::error> invalid_reference(std::size_t index, const std::string& field,
                                              const std::string& found)
{
    return core::failure(core::error_code::invalid_argument,
                         "field access[" + std::to_string(index) + "]." + field + ": " + found);
}

} // namespace

core::result<void> check_access_references(const std::vector<access_entry>& entries,
                                           const Json::Value& upstreams)
{
    std::vector<upstream> known_upstreams;
    for (auto entry = upstreams.begin(); entry != upstreams.end(); ++entry) {
        core::result<upstream> parsed = upstream_from_json(entry.name(), *entry);
        if (parsed) {
            known_upstreams.push_back(std::move(*parsed));
        }
    }
    for (std::size_t index = 0; index < entries.size(); ++index) {
        const access_entry& entry = entries[index];
        const auto is_named = [&entry](const upstream& candidate) {
            return entry.upstream == "*" || entry.upstream == candidate.id;
        };
        if (std::none_of(known_upstreams.begin(), known_upstreams.end(), is_named)) {
            return invalid_reference(index, "upstream", "no upstream " + entry.upstream);
        }
        const bool is_served =
            std::any_of(known_upstreams.begin(), known_upstreams.end(), [&](const upstream& candidate) {
                return is_named(candidate) && serves(candidate, entry);
            });
        if (!is_served) {
            return invalid_reference(index, "model",
                                     "no upstream serves " + entry.model + " at version " + entry.version);
        }
    }
    return {};
}

core::result<void> check_upstream_unreferenced(const snapshot& in_force, const std::string& upstream)
{
    for (const std::shared_ptr<const access_shard>& shard : in_force.access_shards) {
        const std::vector<std::vector<access_entry>>& lists = shard->distinct_lists();
        for (std::size_t index = 0; index < lists.size(); ++index) {
            const bool is_named =
                std::any_of(lists[index].begin(), lists[index].end(),
                            [&upstream](const access_entry& entry) { return entry.upstream == upstream; });
            if (is_named) {
                return core::failure(core::error_code::conflict,
                                     "upstream " + upstream + " is named by the access entries of plan " +
                                         shard->example_plan(index) + "; change these entries first");
            }
        }
    }
    return {};
}

} // namespace samphireway::configuration
