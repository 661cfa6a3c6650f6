#include "gateway/http/event_splitter.h"

namespace samphireway::gateway {

namespace {

constexpr std::string_view id_field = "id:";
constexpr std::string_view data_field = "data";

} // namespace

std::string event_splitter::feed(std::string_view bytes)
{
    std::size_t search = this->pending.size();
    this->pending += bytes;
    std::size_t begin = 0;
    std::size_t line = this->last_line;
    while (true) {
        const std::size_t end = this->pending.find('\n', search);
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
        search = line;
    }
    std::string complete_events = this->pending.substr(0, begin);
    this->pending.erase(0, begin);
    this->last_line = line - begin;
    return complete_events;
}

void event_splitter::discard_partial()
{
    this->pending.clear();
    this->last_line = 0;
}

void event_splitter::record_event(std::string_view event)
{
    bool has_data = false;
    while (!event.empty()) {
        const std::size_t end = event.find('\n');
        std::string_view line = event.substr(0, end);
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        has_data = has_data || line.starts_with(data_field);
        if (line.starts_with(id_field)) {
            line.remove_prefix(id_field.size());
            line.remove_prefix(line.starts_with(' ') ? 1 : 0);
            this->id = line;
        }
    }
    this->events += has_data ? 1 : 0;
}

} // namespace samphireway::gateway
