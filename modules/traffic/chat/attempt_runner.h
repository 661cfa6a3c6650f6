#pragma once

#include "limits/limits.h"
#include "routing/routing.h"
#include "traffic/chat/request_outcome.h"
#include "traffic/retry/retry_budget.h"
#include "traffic/upstream/engine_call.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace samphireway::traffic {

/** Result of a call to an upstream, for health checks. */
enum class call_report {
    succeeded,
    failed, ///< The call failed, but the upstream answers a probe.
    dead,   ///< The call failed, and the upstream answers no probe.
};

/**
    Dependencies and timeouts of an attempt runner. The hooks may be called from any thread.

    @see attempt_runner
*/
struct attempt_services {
    std::function<std::vector<routing::upstream_choice>(const configuration::snapshot&,
                                                        const routing::route_request&)>
        rank; ///< Upstreams that may serve a request, preferred first; empty when none is left.
    /** Receives the result of a call, unless the upstream refused it or the receiver cancelled it. */
    std::function<void(const std::string& upstream, call_report report)> report = [](const std::string&,
                                                                                     call_report) {
    };
    std::function<void(const routing::upstream_choice& target, const routing::route_request& request)>
        on_attempt = [](const routing::upstream_choice&, const routing::route_request&) {
        }; ///< Called before each attempt.
    limits::load_gate* gate = nullptr;
    connection_pool* connections = nullptr;
    deadline_watch* watch = nullptr;
    retry_budget* retries = nullptr;
    std::chrono::milliseconds admission_timeout{2000}; ///< Longest wait in the admission queue.
    std::chrono::milliseconds first_byte_timeout{30000};
    std::chrono::milliseconds gap_timeout{10000};
    std::chrono::milliseconds probe_timeout{500}; ///< Longest wait for the probe after a failed call.
    int maximum_attempts = 3;
    int maximum_resumes = 2; ///< Resumes of an answer that has begun.
};

/** State of a request over all its attempts. @see attempt_runner */
struct attempt_progress {
    std::shared_ptr<const configuration::snapshot> configuration;
    routing::route_request route;
    Json::Value body; ///< As sent by the caller.
    std::string request_id;
    std::string stream_id; ///< Unique, unlike a request id that callers choose.
    core::steady_time deadline;
    std::optional<routing::upstream_choice> pinned; ///< Upstream of the answer that has begun.
    std::int64_t position = 0;                      ///< Count of output tokens received.
    int attempts = 0;
    int resumes = 0;
    core::verdict run = core::verdict::not_run;  ///< Verdict over all attempts so far.
    std::vector<failed_attempt> failed_attempts; ///< Failed attempts in order, without the last attempt.
    std::optional<core::error> last_failure;     ///< Failure of the last attempt.
    std::string upstream;
    std::string version;
};

/**
    Runs a request at upstreams: admission, attempts, retries at other upstreams before the answer has
    begun, and resumes at the exact position afterwards.

    @see call_engine, retry_budget
*/
class attempt_runner {
public:
    explicit attempt_runner(attempt_services services);

    /**
        Runs until the answer is complete, the receiver cancels, or no further attempt is allowed.

        Returns the outcome of the last attempt; its failure carries a verdict over all attempts. After
        a cancelled run, a call with the same progress resumes the answer.
    */
    engine_outcome run(attempt_progress& progress, const chunk_receiver& receive) const;

private:
    struct admitted_upstream {
        routing::upstream_choice choice;
        limits::slot slot;
    };

    core::result<admitted_upstream> admit(const attempt_progress& progress) const;
    engine_outcome attempt(attempt_progress& progress, const admitted_upstream& target,
                           const chunk_receiver& receive) const;
    void report(const routing::upstream_choice& target, const engine_outcome& outcome) const;
    bool may_continue(attempt_progress& progress, const core::error& failure) const;

    const attempt_services services;
};

/** Returns the address, port and use of TLS of an upstream. */
endpoint endpoint_of(const configuration::upstream& upstream);

} // namespace samphireway::traffic
