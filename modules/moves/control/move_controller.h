#pragma once

#include "configuration/configuration.h"
#include "moves/control/model_versions.h"
#include "moves/control/record_store.h"
#include "moves/evidence/evidence_table.h"
#include "moves/policy/decide.h"
#include "moves/shares/version_router.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace samphireway::moves {

/** Options of a move controller. @see move_controller */
struct move_controller_options {
    std::string node; ///< Incarnation of this node.
    platform::object_store store;
    core::clock time;
    std::function<std::shared_ptr<const configuration::snapshot>()> configuration;
    /// Runs a blocking task on another thread; returns false when it cannot accept one.
    std::function<bool(std::function<void()>)> run_blocking;
    /// Runs a task later on the control thread.
    std::function<void(std::function<void()>)> run_control;

    /// Sends a fault notice to all peers, which pass it to `receive_notice`. Must not block.
    std::function<void(const Json::Value& notice)> notify_peers = [](const Json::Value&) {
    };
    /// Sends evidence to the node that drives the move, which passes it to
    /// `receive_evidence`. Must not block.
    std::function<void(const std::string& node, const Json::Value& evidence)> send_evidence =
        [](const std::string&, const Json::Value&) {
        };
    ramp_limits limits;
};

/** State of a move, for display to operators. @see move_controller::report */
struct move_report {
    configuration::move_entry entry;
    decision current;
    move_record record;
    std::uint64_t new_requests = 0; ///< Requests to the new version that this node knows of.
    std::uint64_t old_requests = 0; ///< Requests to the old version that this node knows of.
};

/**
    Controls all moves at one node.

    When it finds a fault, the controller first changes this node's own shares, then sends a notice to
    its peers, then writes the record to the platform. No action waits for a later one, and the last two
    are repeated until the platform has stored the record. A platform outage therefore delays only the
    record.

    A step of the ramp works in the opposite order: it takes effect only when the platform has stored
    it, so that all nodes follow the same record.

    All functions must be called on the control thread, unless their comment says otherwise.

    @see decide, version_router
*/
class move_controller {
public:
    explicit move_controller(move_controller_options options);

    /**
        Tests the evidence, decides about each move, publishes the shares and starts reads, writes and
        messages whose time has come. Must be called several times a second.
    */
    void tick();

    /** Queues the outcome of an attempt for the next tick. Thread-safe; holds a lock only briefly. */
    void observe(sample observed);

    /** Applies a fault notice from a peer. Ignores invalid and outdated notices. */
    void receive_notice(const Json::Value& notice);

    /** Merges evidence from a peer. Ignores invalid messages and those of another generation. */
    void receive_evidence(const Json::Value& evidence);

    /** Returns the versions for a request. Thread-safe. @see version_router::choose */
    std::vector<std::string> choose_versions(const version_request& request, double random);

    /** Returns the state of all moves as of the last tick. Thread-safe. */
    std::shared_ptr<const std::vector<move_report>> report() const;

private:
    struct tracked_move {
        configuration::move_entry entry;
        move_record record; ///< Latest record known, which may hold a fault not yet stored in the platform.
        evidence_table evidence;
        std::uint64_t evidence_generation = 0;
        int evidence_step = 0;
        std::optional<route_fault> fault;
        core::wall_time suspended_until;      ///< When an unconfirmed fault counts as confirmed.
        core::wall_time peer_suspended_until; ///< End of the suspension that a peer has asked for.
        std::uint64_t sequence = 0;           ///< Sequence of the last evidence message sent.
        core::wall_time first_seen;
        bool is_writing = false;
        bool is_stored = true;    ///< Whether the platform has stored the move's final record.
        bool is_notifier = false; ///< Whether this node ended the move and notifies its peers.
        core::wall_time next_write;
        core::wall_time next_notice;
        std::chrono::milliseconds notice_delay{0};
        core::wall_time next_evidence;
    };
    using move_map = std::map<std::string, tracked_move>;

    void follow_configuration(core::wall_time now);
    void count_samples(core::wall_time now);
    void count(const sample& observed, core::wall_time now);
    void decide_all(core::wall_time now);
    decision decide_one(tracked_move& move, const std::vector<recorded_move>& siblings, core::wall_time now,
                        const configuration::snapshot& snapshot);
    void apply_record(tracked_move& move, const move_record& record);
    void update_fault(tracked_move& move, core::wall_time now);
    static Json::Value make_notice(const tracked_move& move, core::wall_time suspended_until);
    void apply_stored_record(tracked_move& move, const move_record& stored);
    std::chrono::milliseconds claim_delay(const tracked_move& move) const;
    bool may_drive(const tracked_move& move, core::wall_time now) const;
    void start_write(tracked_move& move, const move_record& next, core::wall_time now);
    void complete_write(const std::string& id, const core::result<move_record>& written);
    void start_read(core::wall_time now);
    void send_messages(tracked_move& move, core::wall_time now);
    std::map<std::string, std::vector<recorded_move>> moves_by_model() const;

    const move_controller_options options;
    version_router router;
    move_map moves;
    std::optional<configuration::generation> followed_generation;
    std::map<std::string, move_record> records; ///< Result of the last read from the platform, by move id.
    bool is_reading = false;
    core::wall_time next_read;
    core::published<std::vector<move_report>> reports;

    std::mutex samples_mutex;
    std::vector<sample> samples;
};

} // namespace samphireway::moves
