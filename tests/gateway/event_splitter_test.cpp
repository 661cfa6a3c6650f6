#include "gateway/http/event_splitter.h"

#include <criterion/criterion.h>
#include <random>

namespace {

using samphireway::gateway::event_splitter;

const std::string stream =
    "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n: comment\n\ndata: c\nid: 7\n\nid: 8\ndata: pa";

} // namespace

// Guards against half an event that is passed on, since the stream could then not go on at another upstream.
Test(event_splitter, only_whole_events_are_passed_on)
{
    event_splitter splitter;
    const std::string whole = splitter.feed(stream);
    cr_assert_eq(whole + splitter.partial(), stream);
    cr_assert(whole.ends_with("id: 7\n\n"));
    cr_assert_eq(splitter.last_id(), "7");
    cr_assert_eq(splitter.count(), 4);
    splitter.drop_partial();
    cr_assert_eq(splitter.feed("id: 8\ndata: part\n\n"), "id: 8\ndata: part\n\n");
    cr_assert_eq(splitter.last_id(), "8");
}

// Guards against events that are lost, doubled or cut where the network splits them; 500 fixed splits.
Test(event_splitter, splits_of_the_network_do_not_matter)
{
    for (unsigned seed = 0; seed < 500; ++seed) {
        std::mt19937 random(seed);
        event_splitter splitter;
        std::string passed;
        std::size_t position = 0;
        while (position < stream.size()) {
            const std::size_t length = 1 + random() % 9;
            passed += splitter.feed(std::string_view(stream).substr(position, length));
            position += length;
        }
        cr_assert_eq(passed + splitter.partial(), stream, "seed %u", seed);
        cr_assert_eq(splitter.count(), 4, "seed %u", seed);
        cr_assert_eq(splitter.last_id(), "7", "seed %u", seed);
    }
}
