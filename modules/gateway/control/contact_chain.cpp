#include "gateway/control/contact_chain.h"

#include <algorithm>

namespace samphireway::gateway {

namespace {

using std::chrono::milliseconds;

// Shorter than an upstream's report interval, so that no upstream can have missed two reports.
constexpr milliseconds tolerated_absence{1000};
// A node without a current relay asks the object API itself within this time. Where no call has failed, only
// the relay was silent.
constexpr milliseconds tolerated_pause{2400};

} // namespace

void contact_chain::record_call(const alive_span& call)
{
    this->extend(call, this->has_failed ? tolerated_absence : tolerated_pause, call.until);
    this->has_failed = false;
}

void contact_chain::record_contact(const alive_span& contact)
{
    this->extend(contact, tolerated_absence, contact.from);
}

void contact_chain::record_failure()
{
    this->has_failed = true;
}

void contact_chain::extend(const alive_span& span, milliseconds tolerated, core::steady_time since_if_new)
{
    if (!this->since) {
        this->since = since_if_new;
        this->alive_until = span.until;
        return;
    }
    if (span.until <= this->alive_until) {
        return;
    }
    if (span.from > this->alive_until + tolerated) {
        this->since = since_if_new;
    }
    this->alive_until = span.until;
}

} // namespace samphireway::gateway
