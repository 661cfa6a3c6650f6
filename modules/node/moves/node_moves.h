#pragma once

#include "moves/moves.h"
#include "routing/routing.h"
#include "traffic/traffic.h"

#include <functional>
#include <vector>

namespace samphireway::node {

/**
    Returns one sample for each attempt of a request that says something about the version that served
    it. Failures that are no evidence against a version give no sample.
*/
std::vector<moves::sample> samples_from_outcome(const traffic::request_outcome& outcome);

/**
    Connects the move controller of a node to its traffic and its control thread.

    @see moves::move_controller
*/
class node_moves {
public:
    /** `random_to_use` returns a number in [0, 1) and must be callable from any thread. */
    node_moves(moves::move_controller_options options, std::function<double()> random_to_use);

    /** Runs the move controller on the control thread every 200 ms from now on. */
    void start(core::event_loop& control);

    /**
        Chooses a version for a request and removes the candidates that serve other versions. May be
        called from any thread.
    */
    void choose_version(std::vector<routing::candidate>& candidates, const routing::route_request& request);

    /** Records the outcome of a request as evidence on versions. May be called from any thread. */
    void observe(const traffic::request_outcome& outcome);

    /** Returns entry, state, shares, evidence and reason of each move. May be called from any thread. */
    Json::Value report() const;

    /** Handles a peer's notice of a faulty version. Must be called on the control thread. */
    void receive_notice(const Json::Value& notice);

    /** Adds a peer's evidence on a move that this node drives. Must be called on the control thread. */
    void receive_evidence(const Json::Value& evidence);

private:
    void schedule(core::event_loop& control);

    moves::move_controller moves;
    const std::function<double()> random;
};

/** Returns a number in [0, 1) from a generator of the calling thread. */
double thread_random();

} // namespace samphireway::node
