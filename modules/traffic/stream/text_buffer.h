#pragma once

#include "core/core.h"
#include "traffic/stream/reader_memory.h"

#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <string>

namespace samphireway::traffic {

/** Tokens used by a request as the upstream reports them. */
struct token_usage {
    std::int64_t prompt = 0;
    std::int64_t output = 0;
};

/** Result of a stream that the upstream's side has ended. @see text_buffer */
struct stream_end {
    std::optional<core::error> failure; ///< Empty when the answer is complete.
    token_usage usage;
    std::string finish_reason;
};

/** Result of appending text. @see text_buffer::append */
enum class append_result { accepted, full, reader_gone };

/**
    Bounded buffer between an upstream's stream and its caller.

    Holds text without framing, so that its size is the text that the caller has yet to read. The
    upstream's side never blocks: when the buffer is full, it stops the stream and pauses. The reader's
    side resumes the stream at its position when it has caught up. The two sides may run on different
    threads.

    @see reader_memory, stream_end
*/
class text_buffer {
public:
    explicit text_buffer(reader_memory& memory);
    ~text_buffer();
    text_buffer(const text_buffer&) = delete;
    text_buffer& operator=(const text_buffer&) = delete;

    /**
        Appends text without blocking. Text that does not fit is not stored and must be requested again.
    */
    append_result append(const std::string& text);

    /**
        Marks the upstream's side as paused; `try_resume` refuses before `not_before`. Returns false
        when the reader has cancelled.
    */
    bool pause(core::steady_time not_before);

    /**
        Ends the pause if the reader has caught up and the earliest end of the pause has passed; returns
        whether it ended the pause.
    */
    bool try_resume(core::steady_time now);

    /** Marks the upstream's side as ended. */
    void end(stream_end outcome);

    /**
        Marks the reader's side as cancelled. The first call returns true if the upstream's side is
        paused: then no thread runs it, and the caller of this function must settle the request.
    */
    bool cancel();

    /**
        Removes and returns up to `maximum` bytes, in whole characters. Waits until the deadline for
        text, a pause or the end.

        The text counts as held until `confirm_written` is called for it.
    */
    std::string take(std::size_t maximum, core::steady_time deadline);

    /** Releases the memory of text that was taken and has been written to the caller. */
    void confirm_written(std::size_t bytes);

    /**
        Waits until the buffer has received text, is paused or has ended; returns false when the
        deadline passes first.
    */
    bool wait_for_text(core::steady_time deadline);

    /**
        Waits until the buffer is half full, is paused or has ended; returns false when the deadline
        passes first.
    */
    bool wait_until_half_full(core::steady_time deadline);

    /** Returns the end of the stream once all text is taken, else nothing. */
    std::optional<stream_end> end_if_drained() const;

    /** Returns the end of the stream once it is known, even if text is left to take. */
    std::optional<stream_end> end_if_known() const;

    /** Returns whether any text was ever appended. */
    bool has_started() const;

    /** Returns whether the upstream's side is paused. */
    bool is_paused() const;

private:
    std::size_t held_locked() const noexcept;

    reader_memory& memory;
    mutable std::mutex mutex;
    std::condition_variable changed;
    std::string text;
    std::size_t unwritten_bytes = 0; ///< Bytes taken by the reader and not yet written to the caller.
    std::optional<stream_end> outcome;
    std::optional<core::steady_time> paused_until;
    bool is_started = false;
    bool is_cancelled = false;
};

} // namespace samphireway::traffic
