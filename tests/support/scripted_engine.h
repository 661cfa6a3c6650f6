#pragma once

#include "core/core.h"

#include <atomic>
#include <functional>
#include <httplib.h>
#include <string>
#include <thread>

namespace samphireway::testing {

/** An engine on a loopback port whose answers are written by a function of the test. */
class scripted_engine {
public:
    /** Writes the events of one answer. Returns false to close the connection early. */
    using script = std::function<bool(const Json::Value& body, httplib::DataSink& sink)>;

    explicit scripted_engine(const script& answer, int refuse_status = 0)
    {
        this->server.Post(
            "/v1/chat/completions",
            [this, answer, refuse_status](const httplib::Request& request, httplib::Response& response) {
                const int call = ++this->calls;
                if (refuse_status != 0) {
                    response.status = refuse_status;
                    return;
                }
                Json::Value body = *core::parse_json(request.body);
                body["call"] = call;
                response.set_chunked_content_provider("text/event-stream",
                                                      [answer, body](std::size_t, httplib::DataSink& sink) {
                                                          const bool is_whole = answer(body, sink);
                                                          if (is_whole) {
                                                              sink.done();
                                                          }
                                                          return is_whole;
                                                      });
            });
        this->server.Post("/v1/streams/.+/cancel",
                          [this](const httplib::Request&, httplib::Response&) { ++this->cancels; });
        this->server.Get("/load", [this](const httplib::Request&, httplib::Response&) { ++this->probes; });
        this->port = this->server.bind_to_any_port("127.0.0.1");
        this->thread = std::thread([this] { this->server.listen_after_bind(); });
        while (!this->server.is_running()) {
            std::this_thread::yield();
        }
    }

    scripted_engine(const scripted_engine&) = delete;
    scripted_engine& operator=(const scripted_engine&) = delete;

    ~scripted_engine()
    {
        this->server.stop();
        this->thread.join();
    }

    static bool write(httplib::DataSink& sink, const Json::Value& event)
    {
        const std::string text = "data: " + core::write_json(event) + "\n\n";
        return sink.write(text.data(), text.size());
    }

    /** Writes the chunk at a position. Its text is the position in brackets. */
    static bool write_chunk(httplib::DataSink& sink, const std::string& stream, std::int64_t position)
    {
        Json::Value event;
        event["stream_id"] = stream;
        event["position"] = static_cast<Json::Int64>(position);
        event["choices"][0]["delta"]["content"] = "[" + std::to_string(position) + "]";
        return write(sink, event);
    }

    /** Writes the final chunk with the usage, then the `[DONE]` event. */
    static bool write_end(httplib::DataSink& sink, const std::string& stream, std::int64_t count)
    {
        Json::Value event;
        event["stream_id"] = stream;
        event["position"] = static_cast<Json::Int64>(count);
        event["choices"][0]["finish_reason"] = "stop";
        event["usage"]["prompt_tokens"] = 1;
        event["usage"]["completion_tokens"] = static_cast<Json::Int64>(count);
        const std::string done = "data: [DONE]\n\n";
        return write(sink, event) && sink.write(done.data(), done.size());
    }

    /** Writes a stream of `count` chunks, from the position in `resume_from` on, and its end. */
    static bool answer_whole(const Json::Value& body, httplib::DataSink& sink, std::int64_t count)
    {
        const std::string stream = body["stream_id"].asString();
        for (std::int64_t position = core::integer_member(body, "resume_from"); position < count;
             ++position) {
            if (!write_chunk(sink, stream, position)) {
                return false;
            }
        }
        return write_end(sink, stream, count);
    }

    /** Returns the complete text of an answer with `count` chunks. */
    static std::string text_of(std::int64_t count)
    {
        std::string text;
        for (std::int64_t position = 0; position < count; ++position) {
            text += "[" + std::to_string(position) + "]";
        }
        return text;
    }

    std::atomic<int> calls = 0;
    std::atomic<int> cancels = 0;
    std::atomic<int> probes = 0;
    int port = 0;

private:
    httplib::Server server;
    std::thread thread;
};

} // namespace samphireway::testing
