#include "gateway/control/contact_chain.h"

#include <criterion/criterion.h>

namespace {

using namespace samphireway;
using namespace std::chrono_literals;

constexpr core::steady_time start{1h};

/** A contact that began at `start` and was answered last two seconds later. */
gateway::contact_chain make_chain()
{
    gateway::contact_chain chain;
    chain.record_call({.from = start - 1s, .until = start});
    chain.record_call({.from = start, .until = start + 2s});
    return chain;
}

} // namespace

// Guards against removals that are held as after an outage, since a waiting watch was cut off.
Test(contact_chain, cut_watches_interrupt_no_contact)
{
    gateway::contact_chain chain = make_chain();
    for (core::steady_time time = start + 2s; time < start + 60s; time += 900ms) {
        chain.record_call({.from = time, .until = time + 850ms}); // Cut off.
        chain.record_call({.from = time + 860ms, .until = time + 870ms});
    }
    cr_assert(chain.connected_since() == start);
}

// Guards against the same when two calls in a row fail within a moment.
Test(contact_chain, short_failure_interrupts_no_contact)
{
    gateway::contact_chain chain = make_chain();
    chain.record_failure();
    chain.record_call({.from = start + 2500ms, .until = start + 2600ms});
    cr_assert(chain.connected_since() == start);
}

// Guards against the loss of upstreams whose entries expired during an outage: the contact starts anew.
Test(contact_chain, outage_interrupts_the_contact)
{
    gateway::contact_chain chain = make_chain();
    chain.record_failure();
    chain.record_call({.from = start + 4s, .until = start + 5s});
    cr_assert(chain.connected_since() == start + 5s);
    gateway::contact_chain silent = make_chain();
    silent.record_call({.from = start + 9s, .until = start + 10s});
    cr_assert(silent.connected_since() == start + 10s);
}

// Guards against removals that are held since the node asks the object API itself after a relay fell silent.
Test(contact_chain, change_from_a_relay_to_the_object_api_interrupts_no_contact)
{
    gateway::contact_chain chain;
    chain.record_contact({.from = start, .until = start + 10s});
    chain.record_call({.from = start + 11900ms, .until = start + 12s});
    cr_assert(chain.connected_since() == start);
}

// Guards against an outage that a node behind a relay does not notice.
Test(contact_chain, outage_of_a_relay_interrupts_the_contact)
{
    gateway::contact_chain chain;
    chain.record_contact({.from = start, .until = start + 10s});
    chain.record_contact({.from = start + 12s, .until = start + 13s});
    cr_assert(chain.connected_since() == start + 12s);
}
