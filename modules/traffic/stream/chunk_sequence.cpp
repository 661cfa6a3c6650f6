#include "traffic/stream/chunk_sequence.h"

namespace samphireway::traffic {

chunk_sequence::chunk_sequence(std::string stream_id, std::int64_t first_position)
    : stream(std::move(stream_id)), next(first_position)
{
}

chunk_check chunk_sequence::accept(const std::string& chunk_stream, std::int64_t position)
{
    if (chunk_stream != this->stream) {
        return chunk_check::wrong_stream;
    }
    if (position < this->next) {
        return position < 0 ? chunk_check::gap : chunk_check::duplicate;
    }
    if (position > this->next) {
        return chunk_check::gap;
    }
    ++this->next;
    return chunk_check::accepted;
}

chunk_check chunk_sequence::check_end(const std::string& chunk_stream, std::int64_t position) const
{
    if (chunk_stream != this->stream) {
        return chunk_check::wrong_stream;
    }
    return position == this->next ? chunk_check::accepted : chunk_check::gap;
}

std::int64_t chunk_sequence::next_position() const noexcept
{
    return this->next;
}

} // namespace samphireway::traffic
