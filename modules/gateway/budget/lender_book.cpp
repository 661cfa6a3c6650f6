#include "gateway/budget/lender_book.h"

#include <algorithm>
#include <optional>
#include <tuple>

namespace samphireway::gateway {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds pause_after_silence{1000};
// Within this time a lender that lacked budget of a workspace has drawn again, if it can.
constexpr milliseconds pause_after_refusal{300};
// A cut from the object API lasts seconds; a shorter memory would ask all writers again and again.
constexpr milliseconds memory_of_lost_contact{3000};
// Asking more lenders would use up the requester's time. One connected node is asked after them.
constexpr std::size_t maximum_writers_asked = 3;

std::string lender_workspace_key(const std::string& lender, const std::string& workspace)
{
    return lender + "/" + workspace;
}

} // namespace

void lender_book::record_silence(const std::string& lender, core::steady_time now)
{
    this->skipped_until[lender] = now + pause_after_silence;
}

void lender_book::record_refusal(const std::string& lender, const std::string& workspace,
                                 core::steady_time now)
{
    this->skipped_until[lender_workspace_key(lender, workspace)] = now + pause_after_refusal;
}

void lender_book::record_contact(const std::string& lender, bool has_contact, core::steady_time now)
{
    if (has_contact) {
        this->without_contact_until.erase(lender);
        return;
    }
    this->without_contact_until[lender] = now + memory_of_lost_contact;
}

lender_choice lender_book::choose(const member_list& known, const std::vector<std::string>& in_contact,
                                  const std::string& workspace, core::steady_time now) const
{
    const auto is_writer = [&known](const member& candidate) {
        return std::any_of(known.ledger_writers.begin(), known.ledger_writers.end(),
                           [&candidate](const member& writer) { return writer.id == candidate.id; });
    };
    const auto is_in_contact = [&in_contact](const std::string& id) {
        return std::find(in_contact.begin(), in_contact.end(), id) != in_contact.end();
    };
    lender_choice result;
    // Writers hold grants, so they are asked even when they cannot draw; those that can come first.
    std::vector<std::tuple<bool, std::uint64_t, member>> writers;
    std::optional<member> connected;
    for (const member& candidate : known.members) {
        const bool can_lend = is_writer(candidate);
        const bool is_connected = is_in_contact(candidate.id) && !this->has_lost_contact(candidate.id, now);
        if (candidate.id == this->node || (!can_lend && !is_connected)) {
            continue;
        }
        const bool is_short = this->is_skipped(lender_workspace_key(candidate.id, workspace), now);
        result.has_recent_refusal = result.has_recent_refusal || is_short;
        if (is_short || this->is_skipped(candidate.id, now)) {
            continue;
        }
        if (!can_lend) {
            connected = candidate;
            continue;
        }
        // Each borrower prefers the same lenders, so its leftover tokens come from few loans and its
        // reports go to few nodes.
        writers.emplace_back(this->has_lost_contact(candidate.id, now),
                             core::hash64(candidate.id + this->node), candidate);
    }
    std::sort(writers.begin(), writers.end(), [](const auto& left, const auto& right) {
        return std::tie(std::get<0>(left), std::get<1>(left)) <
               std::tie(std::get<0>(right), std::get<1>(right));
    });
    for (std::size_t index = 0; index < std::min(writers.size(), maximum_writers_asked); ++index) {
        result.lenders.push_back(std::move(std::get<2>(writers[index])));
    }
    if (connected) {
        result.lenders.push_back(std::move(*connected));
    }
    return result;
}

bool lender_book::is_skipped(const std::string& key, core::steady_time now) const
{
    const auto found = this->skipped_until.find(key);
    return found != this->skipped_until.end() && now < found->second;
}

bool lender_book::has_lost_contact(const std::string& lender, core::steady_time now) const
{
    const auto found = this->without_contact_until.find(lender);
    return found != this->without_contact_until.end() && now < found->second;
}

} // namespace samphireway::gateway
