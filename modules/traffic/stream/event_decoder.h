#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace samphireway::traffic {

/**
    Splits a server-sent event stream into the data of its events.

    @see engine_call
*/
class event_decoder {
public:
    /** Receives the data of one event; returns false to stop. */
    using receiver = std::function<bool(const std::string& data)>;

    /**
        Decodes the next bytes of the stream; returns false when the receiver stopped or a line is
        longer than 1 MiB.
    */
    bool feed(std::string_view bytes, const receiver& receive);

private:
    std::string line;
};

} // namespace samphireway::traffic
