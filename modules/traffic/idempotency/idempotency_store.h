#pragma once

#include "core/core.h"
#include "platform/objects/object_store.h"

#include <optional>
#include <string>

namespace samphireway::traffic {

/** A service's answer, as relayed to the caller and stored. */
struct service_answer {
    int status = 0;
    std::string content_type;
    std::string body;
};

/** Identifies one non-idempotent call. @see idempotency_store */
struct idempotent_call {
    std::string workspace;
    std::string key;         ///< Idempotency key as sent by the caller.
    std::string fingerprint; ///< Hash of method, path and body; detects use of the key for another call.
};

/** The right to run a call once. @see idempotency_store::claim */
struct run_claim {
    std::string object_key;
    platform::object_version version = 0;
    std::string attempt; ///< Identifies the own record if the answer to its write was lost.
    std::string fingerprint;
};

/** Either the right to run a call, or the stored answer of an earlier run. */
struct claim_outcome {
    std::optional<run_claim> claim;
    std::optional<service_answer> stored_answer;
};

/**
    Records of non-idempotent calls in the object API.

    A record is created by a conditional write before the call is sent. Its states are `pending`, `kept`
    (with the answer), `unknown` (the answer of the run was lost) and `released` (known not to have run,
    so that a retry may run). A record whose final state cannot be written stays `pending`. While a
    record is `pending` or `unknown`, a retry fails with `may_have_run` and does not run the call again.
*/
class idempotency_store {
public:
    explicit idempotency_store(platform::object_store store, core::clock time = {});

    /**
        Returns the stored answer of an earlier run, without writing; empty when the call may be
        claimed.

        Fails with `duplicate_request`: verdict `may_have_run` when an earlier run is pending or
        unknown, `not_run` when the key was used for another call. Fails with `platform_unavailable`,
        verdict `not_run`.
    */
    core::result<std::optional<service_answer>> find(const idempotent_call& call) const;

    /**
        Claims the right to run a call, or returns the stored answer. Fails as `find` does. Without a
        claim, the call must not be sent.
    */
    core::result<claim_outcome> claim(const idempotent_call& call) const;

    /** Stores the answer of a run. An answer that is too large to store is recorded as `unknown`. */
    void store_answer(const run_claim& claim, const service_answer& answer) const;

    /** Records that the call may have run and that its answer is lost. */
    void mark_unknown(const run_claim& claim) const;

    /** Records that the call did not run, so that a retry may run it. */
    void release(const run_claim& claim) const;

    /** Returns the object key of a call's record. */
    static std::string object_key(const idempotent_call& call);

private:
    core::result<claim_outcome> evaluate_record(const idempotent_call& call, const platform::object& record,
                                                const std::string& attempt) const;
    void write_final_state(const run_claim& claim, Json::Value record) const;

    const platform::object_store objects;
    const core::clock time;
};

} // namespace samphireway::traffic
