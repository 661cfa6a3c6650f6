#pragma once

#include "gateway/model/member.h"
#include "gateway/rollout/rollout_messages.h"
#include "gateway/rollout/rollout_schedule.h"
#include "gateway/rollout/version_choice.h"
#include "gateway/rollout/version_judge.h"

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace samphireway::gateway {

/** Occasion of a judgement. Less evidence takes a version back before it gets all traffic or is completed. */
enum class judgement_look { observing, before_shift, final };

/** Hooks and limits of a roll-out controller. @see rollout_controller */
struct rollout_controller_options {
    std::string node;
    std::string process; ///< Id of this process.
    rollout_limits limits;
    std::function<std::shared_ptr<const rollout_table>()> orders;
    std::function<std::shared_ptr<const member_list>()> members;
    std::function<std::shared_ptr<const upstream_table>()> upstreams;
    /** Returns the number of this node's requests that an upstream is serving. */
    std::function<int(const std::string& upstream)> in_flight;
    /** Sends a report to another node and calls the handler once, by the deadline. */
    std::function<void(const member& judge, const rollout_report& report, core::steady_time deadline,
                       std::function<void(core::result<rollout_answer>)> on_answer)>
        send;
    /** Stores the state of an order on another thread, then calls the handler on this thread. */
    std::function<void(const rollout_order& order, rollout_state next,
                       std::function<void(const core::result<platform::put_outcome>&)> on_done)>
        write;
    core::clock time = {};
};

/**
    Carries out the operator's roll-outs at one node: shares out requests between the versions, joins the
    evidence of the nodes, and ends a roll-out. Traffic thread only.

    Each node keeps to the share of the schedule by counting its own requests, without messages. It reports
   its evidence to a few judges, the first nodes in a rendezvous order of the service; a judge that does not
    answer is passed over. A judge that finds the target version bad says so in its answers, which stops the
    nodes at once, and stores the state, which reaches all of them. The state is stored by condition, so that
    two judges cannot contradict each other. A node that hears from no judge judges by its own evidence and
    keeps to the canary's share.

    @see assess_version, make_schedule
*/
class rollout_controller {
public:
    explicit rollout_controller(rollout_controller_options options_to_use);

    /** Follows the orders, judges, and sends reports and writes that are due. Call this several times a
     * second. */
    void tick();

    /** Returns the versions that may serve the next attempt of a request. A further attempt avoids the target
     * version until the roll-out is completed. Empty if the service has none or its orders are unknown. */
    std::optional<version_choice> choose(const std::string& service, bool is_first_attempt);

    /** Returns whether the orders are known, without which versions cannot be told apart. */
    bool is_informed() const;

    /** Counts the outcome of an attempt at an upstream. */
    void observe(const upstream& target, const std::string& route, const moves::sample& observed);

    /** Takes over the report of another node and returns the answer. Fails with `not_found` if this node does
     * not know the order. */
    core::result<rollout_answer> receive(const rollout_report& report);

    /** Number of requests sent to the target version and to the others, by service. */
    struct request_counts {
        std::int64_t target = 0;
        std::int64_t stable = 0;
    };
    const std::map<std::string, request_counts>& counts() const noexcept
    {
        return this->requests;
    }

private:
    struct received_report {
        rollout_report report;
        core::steady_time received_at;
    };
    struct snapshot {
        core::steady_time taken_at;
        version_evidence evidence;
    };
    struct active_rollout {
        known_rollout known;
        rollout_schedule schedule;
        core::steady_time began;   ///< Time of the order, to this node's knowledge.
        bool is_estimated = false; ///< Whether `began` comes from the wall clock, which may be wrong.
        version_evidence own;
        std::map<std::string, received_report> reports; ///< Latest of each other process.
        std::deque<snapshot> history;                   ///< Joint evidence of the last seconds.
        core::steady_time next_look;
        bool is_shift_judged = false; ///< Whether the version was judged before it gets all traffic.
        bool is_bad = false;          ///< The target version was found bad, here or by a judge.
        bool is_suspected = false;    ///< This node alone finds it bad, without a judge to ask.
        core::steady_time counted_from;
        std::int64_t first_attempts = 0; ///< Requests at this node since `counted_from`.
        double credit = 0;               ///< Requests that the target version is owed; spent one by one.
        core::steady_time judged_at;     ///< When a judge last answered.
        core::steady_time next_report;
        core::steady_time next_write;
        bool is_writing = false;
        std::map<std::string, core::steady_time> silent_until; ///< Judges that did not answer.
    };

    void follow_orders(core::steady_time now);
    core::steady_time begin_of(const known_rollout& known, core::steady_time now) const;
    std::chrono::milliseconds age_of(const active_rollout& rollout, core::steady_time now) const;
    std::chrono::milliseconds known_age(const active_rollout& rollout, core::steady_time now) const;
    static void learn_age(active_rollout& rollout, std::chrono::milliseconds age, core::steady_time now);
    double share_of(const active_rollout& rollout, core::steady_time now) const;
    std::vector<member> judges_of(const active_rollout& rollout) const;
    void judge(active_rollout& rollout, core::steady_time now);
    void send_reports(active_rollout& rollout, const std::vector<member>& judges, core::steady_time now);
    void on_answer(const std::string& service, const std::string& target, const std::string& judge_id,
                   const core::result<rollout_answer>& answer);
    void store_lost_states(core::steady_time now);
    void write_state(active_rollout& rollout, std::size_t rank, core::steady_time now);
    bool may_complete(const active_rollout& rollout, core::steady_time now) const;
    std::int64_t stable_in_flight(const active_rollout& rollout) const;
    bool has_target_upstream(const active_rollout& rollout) const;
    version_evidence join_evidence(const active_rollout& rollout) const;
    static version_assessment assess(const active_rollout& rollout, const version_evidence& joint,
                                     core::steady_time now);
    void look_for_fault(active_rollout& rollout, judgement_look look, core::steady_time now);
    static void log_judgement(const active_rollout& rollout, const version_evidence& joint,
                              const version_assessment& assessment, judgement_look look,
                              std::chrono::milliseconds age);
    std::size_t node_count() const;

    const rollout_controller_options options;
    std::shared_ptr<const rollout_table> followed;
    std::map<std::string, core::steady_time>
        lost_states;                                ///< When a lost final state is stored next, by service.
    std::map<std::string, active_rollout> rollouts; ///< Roll-outs that have not ended, by service.
    std::map<std::string, request_counts> requests;
};

} // namespace samphireway::gateway
