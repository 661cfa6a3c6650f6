#include "gateway/http/event_splitter.h"

#include <criterion/criterion.h>
#include <random>

namespace {

using samphireway::gateway::event_splitter;

const std::string stream =
    "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n: comment\n\ndata: c\nid: 7\n\nid: 8\ndata: pa";

} // namespace

// Guards against a forwarded part of an event, after which no other upstream could continue the stream.
Test(event_splitter, only_complete_events_are_forwarded)
{
    event_splitter splitter;
    const std::string complete_events = splitter.feed(stream);
    cr_assert_eq(complete_events + splitter.partial(), stream);
    cr_assert(complete_events.ends_with("id: 7\n\n"));
    cr_assert_eq(splitter.last_id(), "7");
    cr_assert_eq(splitter.count(), 3, "a comment is no event");
    splitter.discard_partial();
    cr_assert_eq(splitter.feed("id: 8\ndata: part\n\n"), "id: 8\ndata: part\n\n");
    cr_assert_eq(splitter.last_id(), "8");
}

// Guards against events that are lost, duplicated or cut where received bytes are split. Uses 500 fixed
// seeds.
Test(event_splitter, result_does_not_depend_on_received_pieces)
{
    for (unsigned seed = 0; seed < 500; ++seed) {
        std::mt19937 random(seed);
        event_splitter splitter;
        std::string forwarded;
        std::size_t position = 0;
        while (position < stream.size()) {
            const std::size_t length = 1 + random() % 9;
            forwarded += splitter.feed(std::string_view(stream).substr(position, length));
            position += length;
        }
        cr_assert_eq(forwarded + splitter.partial(), stream, "seed %u", seed);
        cr_assert_eq(splitter.count(), 3, "seed %u", seed);
        cr_assert_eq(splitter.last_id(), "7", "seed %u", seed);
    }
}
