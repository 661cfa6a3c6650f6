#include "gateway/http/event_splitter.h"

namespace samphireway::gateway {

namespace {

constexpr std::string_view id_field = "id:";

} // namespace

std::string event_splitter::feed(std::string_view bytes)
{
    const std::size_t previous_size = this->pending.size();
    this->pending += bytes;
    std::size_t begin = 0;
    std::size_t line = 0;
    // An event ends at an empty line, whose first bytes may have been received by an earlier call, so the
    // search begins at the start of the line before the new bytes.
    std::size_t position = previous_size < 3 ? 0 : previous_size - 3;
    while (position > 0 && this->pending[position - 1] != '\n') {
        --position;
    }
    line = position;
    while (true) {
        const std::size_t end = this->pending.find('\n', line);
        if (end == std::string::npos) {
            break;
        }
        const std::size_t length = end - line;
        const bool is_empty = length == 0 || (length == 1 && this->pending[line] == '\r');
        if (is_empty) {
            this->record_event(std::string_view(this->pending).substr(begin, end + 1 - begin));
            begin = end + 1;
        }
        line = end + 1;
    }
    std::string complete_events = this->pending.substr(0, begin);
    this->pending.erase(0, begin);
    return complete_events;
}

void event_splitter::discard_partial()
{
    this->pending.clear();
}

void event_splitter::record_event(std::string_view event)
{
    bool has_field = false;
    while (!event.empty()) {
        const std::size_t end = event.find('\n');
        std::string_view line = event.substr(0, end);
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        has_field = has_field || !line.empty();
        if (line.starts_with(id_field)) {
            line.remove_prefix(id_field.size());
            line.remove_prefix(line.starts_with(' ') ? 1 : 0);
            this->id = line;
        }
    }
    this->events += has_field ? 1 : 0;
}

} // namespace samphireway::gateway
