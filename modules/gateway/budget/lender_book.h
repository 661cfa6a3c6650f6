#pragma once

#include "core/core.h"
#include "gateway/model/member.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace samphireway::gateway {

/** The lenders to ask for a loan. @see lender_book::choose */
struct lender_choice {
    std::vector<member> lenders;     ///< The best one first.
    bool has_recent_refusal = false; ///< Whether a lender has answered a moment ago that it cannot lend.
};

/**
    Decides which nodes are asked for a loan, from their last answers.

    Ledger writers come first, those that can reach the ledger before the others, in an order of this
    node's own. Then comes another node that is in contact with the object API: in a cut of most of the
    fleet, one connected node lends to all. A node that refused is not asked again for the
    same workspace for a short time, and one that did not answer is not asked at all for longer.

    @see loan_client, contact_book
*/
class lender_book {
public:
    explicit lender_book(std::string node_to_use) : node(std::move(node_to_use)) {}

    /** Records that a node did not answer. */
    void record_silence(const std::string& lender, core::steady_time now);

    /** Records that a node refused a loan of a workspace. */
    void record_refusal(const std::string& lender, const std::string& workspace, core::steady_time now);

    /** Records whether a node that answered can reach the ledger. */
    void record_contact(const std::string& lender, bool has_contact, core::steady_time now);

    /** Returns the nodes to ask. `in_contact` are ids of nodes that can reach the object API. */
    lender_choice choose(const member_list& known, const std::vector<std::string>& in_contact,
                         const std::string& workspace, core::steady_time now) const;

private:
    bool is_skipped(const std::string& key, core::steady_time now) const;
    bool has_lost_contact(const std::string& lender, core::steady_time now) const;

    const std::string node;
    std::unordered_map<std::string, core::steady_time> skipped_until; ///< By node, or node and workspace.
    std::unordered_map<std::string, core::steady_time> without_contact_until; ///< By node.
};

} // namespace samphireway::gateway
