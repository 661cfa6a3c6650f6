#include "traffic/stream/event_decoder.h"

namespace samphireway::traffic {

namespace {

constexpr std::string_view data_prefix = "data:";
constexpr std::size_t maximum_line_bytes = 1U << 20U;

} // namespace

bool event_decoder::feed(std::string_view bytes, const receiver& receive)
{
    while (!bytes.empty()) {
        const std::size_t end = bytes.find('\n');
        this->line += bytes.substr(0, end);
        if (this->line.size() > maximum_line_bytes) {
            return false;
        }
        if (end == std::string_view::npos) {
            return true;
        }
        bytes.remove_prefix(end + 1);
        const std::string complete = std::move(this->line);
        this->line.clear();
        if (!complete.starts_with(data_prefix)) {
            continue;
        }
        std::string_view data = std::string_view(complete).substr(data_prefix.size());
        while (!data.empty() && (data.front() == ' ' || data.back() == '\r')) {
            data.front() == ' ' ? data.remove_prefix(1) : data.remove_suffix(1);
        }
        if (!receive(std::string(data))) {
            return false;
        }
    }
    return true;
}

} // namespace samphireway::traffic
