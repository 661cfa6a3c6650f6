#include "membership/membership.h"

#include <criterion/criterion.h>
#include <random>

namespace {

using namespace samphireway;
using namespace std::chrono_literals;

const std::string old_key = "an-old-key-of-the-fleet";
const std::string new_key = "a-new-key-of-the-fleet";

struct peer {
    explicit peer(const std::string& id, const std::vector<std::string>& keys,
                  const std::string& suffix = "1")
        : identity{.id = id, .incarnation = id + "." + suffix}, writer(identity, keys, this->time()),
          reader(identity, keys, this->time())
    {
    }

    core::clock time()
    {
        return {.now = [this] { return this->now; },
                .steady =
                    [] {
                        return core::steady_time{};
                    }};
    }

    core::wall_time now = core::from_unix_ms(1000000);
    membership::peer_identity identity;
    membership::envelope_writer writer;
    membership::envelope_reader reader;
};

const std::vector<membership::peer_call> push{{.method = "push", .parameters = Json::Value(7)}};

} // namespace

// Guards against accepting a message twice, at another node or at a later incarnation of the receiver.
Test(envelope, is_accepted_once_by_its_receiver_only)
{
    peer sender("a", {old_key});
    peer receiver("b", {old_key});
    peer other("c", {old_key});
    peer restarted("b", {old_key}, "2");
    const Json::Value message = sender.writer.write(receiver.identity, push);
    cr_assert(!other.reader.read(message).has_value());
    cr_assert(!restarted.reader.read(message).has_value());
    const core::result<membership::envelope> accepted = receiver.reader.read(message);
    cr_assert(accepted.has_value());
    cr_assert(accepted->sender == sender.identity);
    cr_assert(!receiver.reader.read(message).has_value());
}

// Guards against a replay at a restarted node of a recorded message that names no receiver incarnation.
Test(envelope, only_a_heartbeat_may_leave_out_the_incarnation)
{
    peer sender("a", {old_key});
    peer receiver("b", {old_key});
    const membership::peer_identity unknown{.id = "b", .incarnation = ""};
    cr_assert(!receiver.reader.read(sender.writer.write(unknown, push)).has_value());
    cr_assert(receiver.reader.read(sender.writer.write(unknown, {{.method = "heartbeat", .parameters = {}}}))
                  .has_value());
}

// Guards against refusing messages of peers whose clocks differ by seconds, and against accepting old
// messages.
Test(envelope, bounds_the_age_of_a_message)
{
    peer sender("a", {old_key});
    peer receiver("b", {old_key});
    sender.now = receiver.now + 5s;
    cr_assert(receiver.reader.read(sender.writer.write(receiver.identity, push)).has_value());
    sender.now = receiver.now - 5s;
    cr_assert(receiver.reader.read(sender.writer.write(receiver.identity, push)).has_value());
    const Json::Value message = sender.writer.write(receiver.identity, push);
    receiver.now += 1min;
    cr_assert(!receiver.reader.read(message).has_value());
}

// Guards against refusing messages between nodes at different stages of a rotation of the peer keys.
Test(envelope, keys_rotate_without_interruption)
{
    peer first("a", {old_key, new_key});
    peer second("b", {new_key, old_key});
    peer last("c", {new_key});
    cr_assert(second.reader.read(first.writer.write(second.identity, push)).has_value());
    cr_assert(first.reader.read(second.writer.write(first.identity, push)).has_value());
    cr_assert(last.reader.read(second.writer.write(last.identity, push)).has_value());
    cr_assert(!last.reader.read(first.writer.write(last.identity, push)).has_value());
}

// Guards against accepting a forged answer or the answer to another request.
Test(envelope, answer_is_bound_to_its_request)
{
    peer sender("a", {old_key});
    peer receiver("b", {old_key});
    const Json::Value first = sender.writer.write(receiver.identity, push);
    const Json::Value second = sender.writer.write(receiver.identity, push);
    const Json::Value answer = receiver.writer.write_answer(*receiver.reader.read(first), {Json::Value(8)});
    membership::peer_identity responder;
    cr_assert(!sender.reader.read_answer(answer, second, responder).has_value());
    Json::Value forged = answer;
    forged["p"][0] = 9;
    cr_assert(!sender.reader.read_answer(forged, first, responder).has_value());
    const auto results = sender.reader.read_answer(answer, first, responder);
    cr_assert(results.has_value());
    cr_assert_eq(results->at(0).asInt(), 8);
    cr_assert(responder == receiver.identity);
}

// Guards against a crash on, or the acceptance of, a message with randomly changed bytes.
Test(envelope, changed_messages_are_refused)
{
    std::mt19937_64 random(20261204);
    peer sender("a", {old_key});
    peer receiver("b", {old_key});
    const std::string text = core::write_json(sender.writer.write(receiver.identity, push));
    for (int round = 0; round < 20000; ++round) {
        std::string changed = text;
        const std::size_t edits = 1 + random() % 3;
        for (std::size_t edit = 0; edit < edits; ++edit) {
            changed[random() % changed.size()] = static_cast<char>(random());
        }
        const core::result<Json::Value> parsed = core::parse_json(changed);
        if (!parsed || core::write_json(*parsed) == text) {
            continue;
        }
        cr_assert(!receiver.reader.read(*parsed).has_value(), "accepted: %s", changed.c_str());
    }
    cr_assert(receiver.reader.read(*core::parse_json(text)).has_value());
}

// Guards against calls that fail or hang over HTTP, with a valid key, a wrong key or a stopped server.
Test(peer_rpc, calls_run_over_http)
{
    peer sender("a", {old_key});
    peer receiver("b", {old_key});
    membership::peer_server server({.address = "127.0.0.1", .port = 0}, receiver.writer, receiver.reader);
    server.add_method("push", [](const membership::peer_identity& from, const Json::Value& parameters) {
        return Json::Value(from.id + std::to_string(parameters.asInt()));
    });
    cr_assert(server.start().has_value());
    membership::peer_client client(sender.writer, sender.reader);
    const membership::peer_endpoint endpoint{
        .identity = receiver.identity, .address = "127.0.0.1", .port = server.port()};
    for (int round = 0; round < 3; ++round) {
        const core::result<membership::peer_answer> answer = client.call(endpoint, {push[0], push[0]});
        cr_assert(answer.has_value(), "%s", answer ? "" : answer.error().message.c_str());
        cr_assert_eq(answer->results.at(1).asString(), "a7");
    }
    peer stranger("d", {new_key});
    membership::peer_client foreign(stranger.writer, stranger.reader);
    cr_assert(!foreign.call(endpoint, push).has_value());
    server.stop();
    cr_assert(!client.call(endpoint, push).has_value());
}
