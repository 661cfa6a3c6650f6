#pragma once

#include "gateway/model/configuration.h"

#include <sstream>
#include <string>

/** Messages and routes that the gateway's tests share. */
namespace samphireway::testing {

inline const std::string signed_head =
    "HTTP/1.1 200 OK\r\nX-Samphireway-Sw-Attempt-Id: {id}\r\nX-Samphireway-Sw-Signature: 3e1b.07\r\n";
inline const std::string chunked_head = signed_head + "Transfer-Encoding: chunked\r\n\r\n";
inline const std::string tokens = "X-Samphireway-Sw-Token-Usage: 100,50\r\n";
inline const std::string not_run_refusal =
    "HTTP/1.1 503 Service Unavailable\r\nX-Samphireway-Sw-Attempt-Id: {id}\r\n"
    "X-Samphireway-Sw-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

inline std::string whole(const std::string& body)
{
    return signed_head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string chunk(const std::string& bytes)
{
    std::ostringstream text;
    text << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return text.str();
}

inline std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: piece " + std::to_string(id) + "\n\n";
}

inline std::string request(const std::string& id, const std::string& further = {},
                           const std::string& body = {})
{
    return "POST /r/2f HTTP/1.1\r\nHost: shop.example\r\nX-Samphireway-Sw-Attempt-Id: " + id +
           "\r\nX-Samphireway-Sw-Deadline-Ms: 4000\r\nAuthorization: Bearer k1\r\n" + further +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline gateway::route plain_route(gateway::route_kind kind, int attempts)
{
    return gateway::route{.kind = kind,
                          .timeout = std::chrono::milliseconds(3000),
                          .target_latency = std::chrono::milliseconds(300),
                          .longest_gap = std::chrono::milliseconds(400),
                          .maximum_attempts = attempts,
                          .can_resume = kind == gateway::route_kind::stream && attempts > 1};
}

inline bool has(const std::string& response, const std::string& text)
{
    return response.find(text) != std::string::npos;
}

} // namespace samphireway::testing
