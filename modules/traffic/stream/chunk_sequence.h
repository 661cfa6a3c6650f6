#pragma once

#include <cstdint>
#include <string>

namespace samphireway::traffic {

/** Result of checking a received chunk. @see chunk_sequence */
enum class chunk_check { accepted, duplicate, gap, wrong_stream };

/**
    Checks the stream id and position of the chunks of a stream.

    Chunks may arrive again after a resume. A chunk of another stream, or a chunk after a missing
    position, would make the answer wrong.

    @see call_engine
*/
class chunk_sequence {
public:
    /**
        Expects chunks of `stream_id`. The first position is the count of output tokens already
        received.
    */
    chunk_sequence(std::string stream_id, std::int64_t first_position);

    /** Checks a chunk that carries text; an accepted chunk advances the expected position. */
    chunk_check accept(const std::string& chunk_stream, std::int64_t position);

    /** Checks the final chunk, whose position is the count of all output tokens. */
    chunk_check check_end(const std::string& chunk_stream, std::int64_t position) const;

    /** Returns the position of the next chunk. */
    std::int64_t next_position() const noexcept;

private:
    std::string stream;
    std::int64_t next;
};

} // namespace samphireway::traffic
