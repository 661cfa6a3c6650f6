#include "fuzz/mutation.h"
#include "traffic/stream/event_decoder.h"

#include <criterion/criterion.h>
#include <vector>

namespace {

using namespace samphireway;

constexpr int rounds = 5000;

std::vector<std::string> decode(const std::string& stream, tests::mutation& random, bool is_split)
{
    traffic::event_decoder decoder;
    std::vector<std::string> events;
    std::size_t start = 0;
    while (start < stream.size()) {
        const std::size_t size = is_split ? 1 + random.below(7) : stream.size();
        const bool should_continue =
            decoder.feed(std::string_view(stream).substr(start, size), [&](const std::string& data) {
                events.push_back(data);
                return true;
            });
        cr_assert(should_continue);
        start += size;
    }
    return events;
}

} // namespace

// Guards against events that depend on how the network splits the stream, for valid and invalid input.
Test(fuzz_event_decoder, split_stream_gives_the_same_events)
{
    const std::string stream =
        "data: {\"position\":0}\n\ndata:{\"x\":\"data: y\"}\r\n\r\n: comment\nid: 7\ndata: "
        "[DONE]\n\n";
    tests::mutation random(42);
    for (int round = 0; round < rounds; ++round) {
        const std::string mutated = random(stream);
        cr_assert(decode(mutated, random, false) == decode(mutated, random, true));
    }
}

// Guards against an upstream that exhausts the memory by sending a line without an end.
Test(fuzz_event_decoder, endless_line_is_refused)
{
    traffic::event_decoder decoder;
    const std::string piece(65536, 'x');
    std::size_t accepted_bytes = 0;
    while (accepted_bytes < (8U << 20U) && decoder.feed(piece, [](const std::string&) { return true; })) {
        accepted_bytes += piece.size();
    }
    cr_assert(accepted_bytes < (8U << 20U), "the decoder accepted 8 MiB without an end of line");
}

// Guards against delivering further events after the receiver has returned false.
Test(fuzz_event_decoder, stops_when_the_receiver_stops)
{
    traffic::event_decoder decoder;
    int received = 0;
    const bool should_continue = decoder.feed("data: 1\ndata: 2\n", [&](const std::string&) {
        ++received;
        return false;
    });
    cr_assert_not(should_continue);
    cr_assert_eq(received, 1);
}
