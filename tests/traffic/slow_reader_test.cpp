#include "traffic/chat_fixture.h"

#include <criterion/criterion.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

using namespace samphireway;
using testing::scripted_engine;

constexpr std::int64_t chunk_count = 6000;
constexpr std::size_t chunk_size = 1000;

std::string chunk_text(std::int64_t position)
{
    std::string text = std::to_string(position) + ",";
    text.resize(chunk_size, '.');
    return text;
}

/** Sends an answer of 6 MB, which is more than the socket buffers between engine and caller hold. */
bool long_answer(const Json::Value& body, httplib::DataSink& sink)
{
    const std::string stream = body["stream_id"].asString();
    for (std::int64_t position = core::integer_member(body, "resume_from"); position < chunk_count;
         ++position) {
        Json::Value event;
        event["stream_id"] = stream;
        event["position"] = static_cast<Json::Int64>(position);
        event["choices"][0]["delta"]["content"] = chunk_text(position);
        if (!scripted_engine::write(sink, event)) {
            return false;
        }
    }
    return scripted_engine::write_end(sink, stream, chunk_count);
}

/** A caller that sends a request and reads nothing until `read_all` is called. */
struct non_reading_caller {
    non_reading_caller(int port, bool is_streaming)
    {
        this->socket = ::socket(AF_INET, SOCK_STREAM, 0);
        const int small = 4096;
        setsockopt(this->socket, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        cr_assert_eq(connect(this->socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
        const std::string body = testing::chat_fixture::body(is_streaming, chunk_count);
        const std::string message =
            "POST /v1/chat/completions HTTP/1.1\r\nHost: node\r\nConnection: close\r\n"
            "Authorization: Bearer shop.secret\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body;
        cr_assert_eq(send(this->socket, message.data(), message.size(), 0),
                     static_cast<ssize_t>(message.size()));
    }
    non_reading_caller(const non_reading_caller&) = delete;
    non_reading_caller& operator=(const non_reading_caller&) = delete;
    ~non_reading_caller()
    {
        this->disconnect();
    }

    void disconnect()
    {
        if (this->socket >= 0) {
            close(std::exchange(this->socket, -1));
        }
    }

    /** Reads to the end and returns the body without the framing of its HTTP chunks. */
    std::string read_all() const
    {
        std::string raw;
        std::vector<char> buffer(65536);
        for (ssize_t size = 1; size > 0;) {
            size = recv(this->socket, buffer.data(), buffer.size(), 0);
            raw.append(buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(0, size)));
        }
        std::string body;
        std::size_t at = raw.find("\r\n\r\n") + 4;
        while (at < raw.size()) {
            const std::size_t length = std::stoul(raw.substr(at, 16), nullptr, 16);
            at = raw.find("\r\n", at) + 2;
            body += raw.substr(at, length);
            at += length + 2;
        }
        return body;
    }

    int socket = -1;
};

void expect_complete_answer_after_pause(bool is_streaming)
{
    scripted_engine engine(long_answer);
    testing::chat_fixture node({engine.port});
    const non_reading_caller caller(node.port, is_streaming);
    while (engine.cancels == 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    while (node.fixture.gate.in_flight("engine-0") != 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    const auto [text, is_whole] = testing::chat_fixture::read_answer(caller.read_all(), is_streaming);
    std::string expected;
    for (std::int64_t position = 0; position < chunk_count; ++position) {
        expected += chunk_text(position);
    }
    cr_assert(is_whole);
    cr_assert(text == expected);
    cr_assert_leq(node.memory.peak(), 64U << 10U);
    node.wait_until_clean(1);
}

} // namespace

// Guards against a slow reader that keeps an engine busy, buffered text above the limit, and a resume
// that loses or repeats text.
Test(slow_reader, stream_is_cancelled_and_resumed)
{
    expect_complete_answer_after_pause(true);
}

// Guards against unlimited buffering of an answer that is sent as one document.
Test(slow_reader, answer_as_one_document_is_bounded)
{
    expect_complete_answer_after_pause(false);
}

// Guards against a reservation, thread or buffer that is not released after the reader disconnects or
// stops reading.
Test(slow_reader, stopped_reader_releases_its_resources)
{
    scripted_engine engine(long_answer);
    testing::chat_fixture node({engine.port}, std::chrono::milliseconds(300));
    const non_reading_caller silent(node.port, true);
    non_reading_caller leaving(node.port, true);
    while (engine.cancels < 2) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    leaving.disconnect();
    node.wait_until_clean(2);
}

// Guards against a reader that uses memory reserved for another, and against exceeding the node's
// limit.
Test(slow_reader, node_memory_is_divided)
{
    traffic::reader_memory memory({.reader_bytes = 100, .node_bytes = 400, .readers = 4});
    cr_assert(memory.take(0, 100));
    cr_assert(!memory.take(100, 1));
    cr_assert(memory.take(0, 100));
    cr_assert(memory.take(0, 100));
    cr_assert(memory.take(0, 50));
    cr_assert(memory.take(50, 50));
    cr_assert_eq(memory.held(), 400);
    cr_assert(!memory.take(0, 1));
    memory.give_back(100, 100);
    cr_assert(memory.take(0, 50));
}

// Guards against splitting a multi-byte character, which a caller cannot decode.
Test(slow_reader, text_is_split_between_characters)
{
    traffic::reader_memory memory({.reader_bytes = 100});
    traffic::text_buffer buffer(memory);
    cr_assert_eq(buffer.append("a\xC3\xB1o"), traffic::append_result::accepted);
    cr_assert_eq(buffer.take(2, {}), "a");
    cr_assert_eq(buffer.take(2, {}), "\xC3\xB1");
    buffer.confirm_written(3);
    cr_assert_eq(memory.held(), 1);
}
