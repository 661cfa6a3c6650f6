#pragma once

#include "gateway/model/member.h"

#include <cstddef>
#include <string>
#include <vector>

namespace samphireway::gateway {

/**
    Returns the nodes in an order that depends only on a key, their ids and their capacities, best first.

    Weighted rendezvous hashing: a node is first with a probability in proportion to its capacity, and a
    node that joins or leaves does not change the order of the others.
*/
std::vector<member> rank_by_capacity(std::vector<member> nodes, const std::string& key);

/** The node whose sources are chosen, and the limits of the choice. @see order_relays */
struct relay_order_options {
    std::string node;
    std::string availability_zone;
    int relays_per_zone = 1;          ///< Nodes of a zone that watch the object API for the others.
    std::size_t minimum_nodes = 16;   ///< In a smaller fleet each node watches the object API itself.
    std::size_t alternatives = 3;     ///< Further nodes of the zone that are asked when its relays fail.
    std::size_t relays_elsewhere = 2; ///< Relays of other zones that are asked last.
};

/** From whom a node learns what the object API holds. @see order_relays */
struct relay_order {
    bool is_relay = true;           ///< Whether this node watches the object API itself.
    std::vector<member> candidates; ///< Nodes to ask, best first; never this node.
};

/**
    Returns a node's sources: the relays of its zone, the next nodes of the zone, and relays of other
    zones, in an order of its own so that the nodes of a zone spread when their relay fails.

    Nothing depends on all nodes agreeing: two nodes that both act as a relay only make more calls, and
    without a relay that is up to date each node watches the object API itself.

    @see relay_subscription
*/
relay_order order_relays(const member_list* known, const relay_order_options& options);

} // namespace samphireway::gateway
