#include "membership/messages/envelope.h"

#include <algorithm>

namespace samphireway::membership {

namespace {

// A node sends several messages a second, so the member names of a signed message are one letter long.
constexpr const char* sender_member = "s";
constexpr const char* receiver_member = "r";
constexpr const char* receiver_incarnation_member = "i";
constexpr const char* counter_member = "c";
constexpr const char* time_member = "t";
constexpr const char* content_member = "p";
constexpr const char* authentication_member = "h";

// A message with more calls is refused before any of them is read.
constexpr Json::ArrayIndex maximum_calls = 64;

void append_field(std::string& text, const std::string& field)
{
    text += std::to_string(field.size());
    text += ':';
    text += field;
}

std::string signed_text(const Json::Value& message, const std::string& reply_to)
{
    std::string text;
    append_field(text, core::string_member(message, sender_member));
    append_field(text, core::string_member(message, receiver_member));
    append_field(text, core::string_member(message, receiver_incarnation_member));
    append_field(text, std::to_string(core::integer_member(message, counter_member)));
    append_field(text, std::to_string(core::integer_member(message, time_member)));
    append_field(text, reply_to);
    append_field(text, core::write_json(message[content_member]));
    return text;
}

// Hexadecimal digits of the HMAC that are sent: 128 bits, since RFC 2104 allows half of the output. This
// makes each message 32 bytes smaller.
constexpr std::size_t authentication_digits = 32;

std::string authenticate(const std::string& key, const std::string& text)
{
    return core::hmac_sha256_hex(key, text).substr(0, authentication_digits);
}

std::string node_id_of(const std::string& incarnation)
{
    return incarnation.substr(0, incarnation.rfind('.'));
}

core::result<std::vector<peer_call>> read_calls(const Json::Value& content)
{
    if (!content.isArray() || content.size() > maximum_calls) {
        return core::failure(core::error_code::invalid_argument,
                             "peer message: content is not a list of calls, or has too many");
    }
    std::vector<peer_call> calls;
    for (const Json::Value& entry : content) {
        if (!entry.isArray() || entry.size() != 2 || !entry[0].isString()) {
            return core::failure(core::error_code::invalid_argument,
                                 "peer message: a call is not a list of method name and parameters");
        }
        calls.push_back(peer_call{.method = entry[0].asString(), .parameters = entry[1]});
    }
    return calls;
}

bool are_all_heartbeats(const std::vector<peer_call>& calls)
{
    return std::all_of(calls.begin(), calls.end(),
                       [](const peer_call& call) { return call.method == heartbeat_method; });
}

} // namespace

envelope_writer::envelope_writer(peer_identity self_to_use, std::vector<std::string> keys_to_use,
                                 core::clock time_to_use)
    : self(std::move(self_to_use)), keys(std::move(keys_to_use)), time(std::move(time_to_use))
{
}

Json::Value envelope_writer::write(const peer_identity& receiver, const std::vector<peer_call>& calls)
{
    Json::Value content(Json::arrayValue);
    for (const peer_call& call : calls) {
        Json::Value& entry = content.append(Json::Value(Json::arrayValue));
        entry.append(call.method);
        entry.append(call.parameters);
    }
    return this->sign(receiver, "", std::move(content));
}

Json::Value envelope_writer::write_answer(const envelope& request, const std::vector<Json::Value>& results)
{
    Json::Value content(Json::arrayValue);
    for (const Json::Value& result : results) {
        content.append(result);
    }
    return this->sign(request.sender, request.authentication, std::move(content));
}

const peer_identity& envelope_writer::identity() const
{
    return this->self;
}

Json::Value envelope_writer::sign(const peer_identity& receiver, const std::string& reply_to,
                                  Json::Value content)
{
    Json::Value message(Json::objectValue);
    message[sender_member] = this->self.incarnation;
    message[receiver_member] = receiver.id;
    if (!receiver.incarnation.empty()) {
        message[receiver_incarnation_member] = receiver.incarnation;
    }
    message[counter_member] = static_cast<Json::UInt64>(++this->counter);
    message[time_member] = static_cast<Json::Int64>(core::to_unix_ms(this->time.now()));
    message[content_member] = std::move(content);
    if (!this->keys.empty()) {
        message[authentication_member] = authenticate(this->keys.front(), signed_text(message, reply_to));
    }
    return message;
}

envelope_reader::envelope_reader(peer_identity self_to_use, std::vector<std::string> keys_to_use,
                                 core::clock time_to_use, std::string address_to_use)
    : self(std::move(self_to_use)), keys(std::move(keys_to_use)), time(std::move(time_to_use)),
      address(std::move(address_to_use))
{
}

core::result<envelope> envelope_reader::check(const Json::Value& message, const std::string& reply_to) const
{
    if (!message.isObject()) {
        return core::failure(core::error_code::invalid_argument, "peer message: not a JSON object");
    }
    const std::string authentication = core::string_member(message, authentication_member);
    const std::string text = signed_text(message, reply_to);
    const bool is_signed = std::any_of(this->keys.begin(), this->keys.end(), [&](const std::string& key) {
        return core::equal_in_constant_time(authenticate(key, text), authentication);
    });
    if (!is_signed) {
        return core::failure(core::error_code::unauthenticated,
                             "peer message: signature matches none of the peer keys");
    }
    envelope accepted;
    accepted.authentication = authentication;
    accepted.sender.incarnation = core::string_member(message, sender_member);
    accepted.sender.id = node_id_of(accepted.sender.incarnation);
    accepted.receiver.id = core::string_member(message, receiver_member);
    accepted.receiver.incarnation = core::string_member(message, receiver_incarnation_member);
    const bool is_other_incarnation =
        !accepted.receiver.incarnation.empty() && accepted.receiver.incarnation != this->self.incarnation;
    const bool is_addressed_by_endpoint = !this->address.empty() && accepted.receiver.incarnation.empty() &&
                                          accepted.receiver.id == this->address;
    if ((accepted.receiver.id != this->self.id && !is_addressed_by_endpoint) || is_other_incarnation ||
        accepted.sender.incarnation == this->self.incarnation) {
        return core::failure(core::error_code::forbidden,
                             "peer message: not addressed to this incarnation, or sent by it");
    }
    const core::wall_time sent = core::from_unix_ms(core::integer_member(message, time_member));
    const core::wall_time now = this->time.now();
    if (sent < now - maximum_age || sent > now + maximum_age) {
        return core::failure(core::error_code::forbidden,
                             "peer message: sending time differs too much from this node's clock");
    }
    return accepted;
}

core::result<envelope> envelope_reader::read(const Json::Value& message)
{
    core::result<envelope> accepted = this->check(message, "");
    if (!accepted) {
        return accepted;
    }
    core::result<std::vector<peer_call>> calls = read_calls(message[content_member]);
    if (!calls) {
        return tl::unexpected(calls.error());
    }
    accepted->calls = std::move(*calls);
    if (accepted->receiver.incarnation.empty() && !are_all_heartbeats(accepted->calls)) {
        return core::failure(core::error_code::forbidden,
                             "peer message: receiver incarnation is missing, which only a heartbeat allows");
    }
    const auto counter = static_cast<std::uint64_t>(core::integer_member(message, counter_member));
    const core::wall_time now = this->time.now();
    this->window.remove_senders_before(now - 2 * maximum_age);
    if (!this->window.accept(accepted->sender.incarnation, counter, now)) {
        return core::failure(core::error_code::forbidden,
                             "peer message: counter was already accepted or is too old");
    }
    return accepted;
}

core::result<std::vector<Json::Value>>
envelope_reader::read_answer(const Json::Value& message, const Json::Value& request, peer_identity& responder)
{
    const core::result<envelope> accepted =
        this->check(message, core::string_member(request, authentication_member));
    if (!accepted) {
        return tl::unexpected(accepted.error());
    }
    // A node id contains no colon. A receiver with a colon was addressed by `address:port`, and may have any
    // id.
    const std::string addressed_receiver = core::string_member(request, receiver_member);
    if (accepted->sender.id != addressed_receiver && addressed_receiver.find(':') == std::string::npos) {
        return core::failure(core::error_code::forbidden,
                             "peer answer: sent by another node than the one called");
    }
    const Json::Value& content = message[content_member];
    if (!content.isArray() || content.size() != request[content_member].size()) {
        return core::failure(core::error_code::invalid_argument,
                             "peer answer: content is not a list of one result per call");
    }
    responder = accepted->sender;
    return std::vector<Json::Value>(content.begin(), content.end());
}

} // namespace samphireway::membership
