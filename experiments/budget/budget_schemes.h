#pragma once

#include "budget/budget.h"
#include "support/fake_object_store.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace samphireway::experiments {

/** The outcome of a request's attempt to reserve. @see budget_scheme */
enum class reserve_outcome { granted, waiting, refused };

/** A request in an experiment. */
struct experiment_request {
    std::size_t node = 0;
    std::size_t plan = 0;
    escrow::amount wanted = 0;
    escrow::amount used = 0;
    std::string id;
    core::steady_time arrived;
    core::steady_time ends; ///< End of the request if it is granted now.
    std::optional<budget::waiting_request> waiting;
    budget::reservation held;
};

/**
    A scheme that distributes plans' budgets among nodes. Runs on an injected clock.

    @see run_workload
*/
class budget_scheme {
public:
    virtual ~budget_scheme() = default;
    budget_scheme() = default;
    budget_scheme(const budget_scheme&) = delete;
    budget_scheme& operator=(const budget_scheme&) = delete;

    /** Deposits a plan's budget, once at the start of a run. */
    virtual void deposit(std::size_t plan, escrow::amount sum) = 0;

    /** Tries to reserve the amount of a new or a waiting request. */
    virtual reserve_outcome reserve(experiment_request& request) = 0;

    /** Ends the reservation of a request with the amount that it used. */
    virtual void settle(const experiment_request& request) = 0;

    /** Performs the work of all nodes that is due now. */
    virtual void step() = 0;

    /** Sets whether a node is cut off from the platform. */
    virtual void set_cut(std::size_t node, bool is_cut) = 0;

    /** Returns the number of platform calls so far, including failed ones. */
    virtual std::uint64_t calls() const = 0;

    /** Returns the size of the largest stored object in bytes. */
    virtual std::size_t object_bytes() = 0;

    /**
        Returns the largest amount of a plan that one node holds, which would be in doubt if that node
        crashed now.
    */
    virtual escrow::amount largest_held(std::size_t plan) = 0;
};

/** The grants of this project, with the production decision code. */
std::unique_ptr<budget_scheme> make_grants(std::size_t nodes, std::uint32_t shards, const core::clock& time);

/** Baseline: one counter per plan, written on each reservation and each settlement. */
std::unique_ptr<budget_scheme> make_counter(std::size_t nodes, std::size_t plans);

/** Baseline: each node gets an equal share of each deposit. */
std::unique_ptr<budget_scheme> make_static_split(std::size_t nodes, std::size_t plans);

} // namespace samphireway::experiments
