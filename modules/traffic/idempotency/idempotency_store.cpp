#include "traffic/idempotency/idempotency_store.h"

namespace samphireway::traffic {

namespace {

// Each attempt can write and, if the answer is lost, read the record again. More attempts would
// delay the caller for longer than a retry takes.
constexpr int maximum_write_attempts = 3;
// The platform stores values up to 1 MB; escaping can double the size of a text.
constexpr std::size_t maximum_stored_body_bytes = 400000;

Json::Value make_record(const std::string& state, const std::string& attempt, const std::string& fingerprint)
{
    Json::Value record(Json::objectValue);
    record["state"] = state;
    record["attempt"] = attempt;
    record["fingerprint"] = fingerprint;
    return record;
}

core::error record_failure(const core::error& cause)
{
    return core::error{.code = core::error_code::platform_unavailable,
                       .message = "the idempotency record cannot be read or written: " + cause.message,
                       .run = core::verdict::not_run,
                       .retry_after = cause.retry_after};
}

} // namespace

idempotency_store::idempotency_store(platform::object_store store, core::clock clock)
    : objects(std::move(store)), time(std::move(clock))
{
}

std::string idempotency_store::object_key(const idempotent_call& call)
{
    return "idempotency/" + call.workspace + "/" + core::sha256_hex(call.key);
}

core::result<std::optional<service_answer>> idempotency_store::find(const idempotent_call& call) const
{
    const core::result<platform::object_reading> reading = this->objects.get(object_key(call));
    if (!reading) {
        return tl::unexpected(record_failure(reading.error()));
    }
    const std::optional<platform::object>& found = reading->found;
    if (!found || found->value.isNull()) {
        return std::nullopt;
    }
    core::result<claim_outcome> outcome = this->evaluate_record(call, *found, "");
    if (!outcome) {
        return tl::unexpected(outcome.error());
    }
    return std::move(outcome->stored_answer);
}

core::result<claim_outcome> idempotency_store::evaluate_record(const idempotent_call& call,
                                                               const platform::object& record,
                                                               const std::string& attempt) const
{
    const Json::Value& value = record.value;
    const std::string state = core::string_member(value, "state");
    if (core::string_member(value, "fingerprint") != call.fingerprint) {
        return core::failure(core::error_code::duplicate_request,
                             "Idempotency-Key: already used for another call");
    }
    const run_claim claim{.object_key = record.key,
                          .version = record.version,
                          .attempt = attempt,
                          .fingerprint = call.fingerprint};
    if (state == "released") {
        return claim_outcome{.claim = claim, .stored_answer = {}};
    }
    if (state == "kept") {
        return claim_outcome{
            .claim = {},
            .stored_answer = service_answer{.status = static_cast<int>(core::integer_member(value, "status")),
                                            .content_type = core::string_member(value, "content_type"),
                                            .body = core::string_member(value, "body")}};
    }
    if (!attempt.empty() && state == "pending" && core::string_member(value, "attempt") == attempt) {
        return claim_outcome{.claim = claim, .stored_answer = {}};
    }
    return core::failure(core::error_code::duplicate_request,
                         "Idempotency-Key: the outcome of an earlier call with this key is unknown",
                         core::verdict::may_have_run);
}

core::result<claim_outcome> idempotency_store::claim(const idempotent_call& call) const
{
    const std::string key = object_key(call);
    const std::string attempt = core::random_identifier();
    Json::Value record = make_record("pending", attempt, call.fingerprint);
    record["created_ms"] = static_cast<Json::Int64>(core::to_unix_ms(this->time.now()));
    platform::object_version expected = 0;
    core::error last;
    for (int write_attempts = 0; write_attempts < maximum_write_attempts; ++write_attempts) {
        const core::result<platform::put_outcome> written = this->objects.put(key, record, expected);
        if (written && written->applied) {
            return claim_outcome{.claim = run_claim{.object_key = key,
                                                    .version = written->version,
                                                    .attempt = attempt,
                                                    .fingerprint = call.fingerprint},
                                 .stored_answer = {}};
        }
        std::optional<platform::object> current;
        if (written) {
            current = written->current;
        }
        else if (written.error().run == core::verdict::not_run) {
            return tl::unexpected(record_failure(written.error()));
        }
        else {
            last = written.error();
            const core::result<platform::object_reading> reading = this->objects.get(key);
            if (!reading) {
                return tl::unexpected(record_failure(reading.error()));
            }
            current = reading->found;
        }
        if (!current) {
            expected = 0;
            continue;
        }
        if (current->value.isNull()) {
            expected = current->version;
            continue;
        }
        const core::result<claim_outcome> outcome = this->evaluate_record(call, *current, attempt);
        const bool is_released = core::string_member(current->value, "state") == "released";
        if (!outcome || !is_released) {
            return outcome;
        }
        expected = current->version;
    }
    return tl::unexpected(record_failure(last));
}

void idempotency_store::store_answer(const run_claim& claim, const service_answer& answer) const
{
    if (answer.body.size() > maximum_stored_body_bytes) {
        this->mark_unknown(claim);
        return;
    }
    Json::Value record = make_record("kept", claim.attempt, claim.fingerprint);
    record["status"] = answer.status;
    record["content_type"] = answer.content_type;
    record["body"] = answer.body;
    this->write_final_state(claim, std::move(record));
}

void idempotency_store::mark_unknown(const run_claim& claim) const
{
    this->write_final_state(claim, make_record("unknown", claim.attempt, claim.fingerprint));
}

void idempotency_store::release(const run_claim& claim) const
{
    this->write_final_state(claim, make_record("released", claim.attempt, claim.fingerprint));
}

void idempotency_store::write_final_state(const run_claim& claim, Json::Value record) const
{
    record["created_ms"] = static_cast<Json::Int64>(core::to_unix_ms(this->time.now()));
    for (int write_attempts = 0; write_attempts < maximum_write_attempts; ++write_attempts) {
        // Only the owner of the claim writes at this version, so a conflict means that an earlier try
        // of this loop took effect.
        const core::result<platform::put_outcome> written =
            this->objects.put(claim.object_key, record, claim.version);
        if (written) {
            return;
        }
    }
    core::log_event(core::log_level::warning, "idempotency_record_not_concluded",
                    {{"key", claim.object_key}, {"state", core::string_member(record, "state")}});
}

} // namespace samphireway::traffic
