#pragma once

#include "core/core.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace samphireway::testing {

/** One event of a request history, as observed by a caller or an upstream. @see check_history */
struct history_event {
    enum class kind {
        asked,    ///< A caller sent a request. `text` is the complete expected answer.
        answered, ///< A caller received a complete answer with `text`.
        refused,  ///< A caller received an error with `verdict`.
        started,  ///< An upstream started to run a request.
        ended     ///< A run of a request ended at an upstream, with or without success.
    };

    kind what = kind::asked;
    std::string request;
    std::string upstream;
    std::string text;
    bool is_idempotent = true;
    core::verdict verdict = core::verdict::not_run;
    std::int64_t tokens = 0; ///< Tokens that the request uses at the upstream while it runs.
};

/** Maximum concurrent load of an upstream, as agreed with its owner. */
struct agreed_limits {
    std::int64_t requests = 0;
    std::int64_t tokens = 0;
};

namespace detail {

/** State of one request while a history is checked. */
struct request_record {
    std::string expected;
    bool is_asked = false;
    bool is_idempotent = true;
    bool is_refused_as_not_run = false;
    int runs = 0;
};

} // namespace detail

/**
    Checks the invariants of the traffic path on a history in order of time. Returns descriptions of the
    violations.

    An answer is complete and belongs to its request; a request refused with `not_run` has not run; a request
    that isn't idempotent runs at most once; an upstream's load stays within the agreed limits.
*/
inline std::vector<std::string> check_history(const std::vector<history_event>& history,
                                              const std::map<std::string, agreed_limits>& agreed)
{
    std::vector<std::string> violations;
    std::map<std::string, detail::request_record> requests;
    std::map<std::string, agreed_limits> running;
    for (const history_event& event : history) {
        detail::request_record& record = requests[event.request];
        const bool is_report =
            event.what == history_event::kind::answered || event.what == history_event::kind::refused;
        if (is_report && !record.is_asked) {
            violations.push_back("answer without a request: " + event.request);
        }
        switch (event.what) {
        case history_event::kind::asked:
            record.is_asked = true;
            record.expected = event.text;
            record.is_idempotent = event.is_idempotent;
            break;
        case history_event::kind::answered:
            if (event.text != record.expected) {
                violations.push_back("answer is wrong or truncated: " + event.request);
            }
            if (record.runs == 0) {
                violations.push_back("answer without a run: " + event.request);
            }
            break;
        case history_event::kind::refused:
            record.is_refused_as_not_run = event.verdict == core::verdict::not_run;
            if (record.is_refused_as_not_run && record.runs > 0) {
                violations.push_back("not_run is false: " + event.request);
            }
            break;
        case history_event::kind::started: {
            ++record.runs;
            // A caller's retry is a new `asked` event, so a run after `not_run` without one contradicts it.
            if (record.is_refused_as_not_run) {
                violations.push_back("not_run is false: " + event.request);
            }
            if (!record.is_idempotent && record.runs > 1) {
                violations.push_back("ran more than once: " + event.request);
            }
            agreed_limits& load = running[event.upstream];
            ++load.requests;
            load.tokens += event.tokens;
            const auto limit = agreed.find(event.upstream);
            if (limit == agreed.end() || load.requests > limit->second.requests ||
                load.tokens > limit->second.tokens) {
                violations.push_back("agreed load is exceeded: " + event.upstream);
            }
            break;
        }
        case history_event::kind::ended:
            --running[event.upstream].requests;
            running[event.upstream].tokens -= event.tokens;
            break;
        }
        if (event.what == history_event::kind::asked) {
            record.is_refused_as_not_run = false;
        }
    }
    return violations;
}

} // namespace samphireway::testing
