#pragma once

#include "gateway/control/object_follower.h"
#include "gateway/quarantine/answered_parts.h"
#include "gateway/quarantine/judge_parts.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace samphireway::gateway {

/** Options and hooks of a quarantine book. @see quarantine_book */
struct quarantine_book_options {
    std::string node;
    const answered_parts& answered;
    /** Publishes the verdicts. */
    std::function<void(std::shared_ptr<const part_verdicts>)> publish;
    /** Stores this node's report on another thread if it has the expected version, then calls the handler on
     * this thread. */
    std::function<void(const Json::Value& report, platform::object_version expected,
                       std::function<void(const core::result<platform::put_outcome>&)> on_done)>
        write;
    core::clock time = {};
};

/**
    Joins what all nodes have seen of crashes, decides which parts of prompts are refused, and stores this
    node's own report. Control thread only.

    Reports stay known when the object API is restored from a backup that lacks them, and each node stores its
    own again.

    The reports last in the object API, so that a restarted node refuses at once what the fleet has learnt. An
    operator clears a part by removing the reports. A quarantine ends after ten minutes without a crash.

    @see judge_parts
*/
class quarantine_book {
public:
    explicit quarantine_book(quarantine_book_options options_to_use);

    /** Takes over reports that a follower has received. */
    void apply(const followed_batch& received);

    /** Records that an upstream crashed while it ran a prompt. */
    void record_crash(const std::string& crash_id, const prompt_parts& prompt);

    /** Forgets old crashes, testifies for suspected parts, judges new evidence and stores the report if it
     * has changed. Call this several times a second. */
    void tick();

private:
    void learn_crashes();
    bool testify();
    bool testify(const std::string& part, const std::set<std::string>& crashes);
    void forget_parts();
    void judge();
    void store();

    const quarantine_book_options options;
    std::map<std::string, crash_report> reports; ///< By node, with this node's own.
    /** Number of answers at this node when it learnt of a crash, by crash. */
    std::map<std::string, std::uint64_t> learnt_at;
    part_verdicts verdicts;
    platform::object_version stored_version = 0; ///< Of this node's report; zero if there is none.
    core::steady_time next_write;
    bool has_changed = false; ///< Whether this node's report differs from the stored one.
    bool is_writing = false;
    bool is_judged = true; ///< Whether the verdicts follow from the reports as they are.
};

} // namespace samphireway::gateway
