#include "traffic/stream/text_buffer.h"

namespace samphireway::traffic {

namespace {

// A stream resumes when a quarter of the buffer is left to read, so that the reader does not run out of
// text while the stream resumes.
constexpr std::size_t resume_threshold_divisor = 4;
// An empty buffer keeps its allocation up to this size; a larger allocation is freed.
constexpr std::size_t retained_capacity_bytes = 4096;

bool is_continuation_byte(char byte)
{
    return (static_cast<unsigned char>(byte) & 0xC0U) == 0x80U;
}

std::size_t whole_character_length(const std::string& text, std::size_t maximum)
{
    if (text.size() <= maximum) {
        return text.size();
    }
    std::size_t length = maximum;
    while (length > 0 && is_continuation_byte(text[length])) {
        --length;
    }
    return length == 0 ? maximum : length;
}

} // namespace

text_buffer::text_buffer(reader_memory& node_memory) : memory(node_memory) {}

text_buffer::~text_buffer()
{
    this->memory.give_back(this->held_locked(), this->held_locked());
}

append_result text_buffer::append(const std::string& piece)
{
    const std::lock_guard lock(this->mutex);
    if (this->is_cancelled) {
        return append_result::reader_gone;
    }
    if (!this->memory.take(this->held_locked(), piece.size())) {
        return append_result::full;
    }
    this->text += piece;
    this->is_started = true;
    this->changed.notify_all();
    return append_result::accepted;
}

bool text_buffer::pause(core::steady_time not_before)
{
    const std::lock_guard lock(this->mutex);
    if (this->is_cancelled) {
        return false;
    }
    this->paused_until = not_before;
    this->changed.notify_all();
    return true;
}

bool text_buffer::try_resume(core::steady_time now)
{
    const std::lock_guard lock(this->mutex);
    const bool has_caught_up = this->held_locked() <= this->memory.reader_limit() / resume_threshold_divisor;
    if (!this->paused_until || now < *this->paused_until || !has_caught_up) {
        return false;
    }
    this->paused_until.reset();
    return true;
}

void text_buffer::end(stream_end end_outcome)
{
    const std::lock_guard lock(this->mutex);
    this->outcome = std::move(end_outcome);
    this->changed.notify_all();
}

bool text_buffer::cancel()
{
    const std::lock_guard lock(this->mutex);
    const bool was_paused = !this->is_cancelled && this->paused_until.has_value();
    this->is_cancelled = true;
    this->changed.notify_all();
    return was_paused;
}

std::string text_buffer::take(std::size_t maximum, core::steady_time deadline)
{
    std::unique_lock lock(this->mutex);
    this->changed.wait_until(lock, deadline,
                             [this] { return !this->text.empty() || this->outcome || this->paused_until; });
    const std::size_t length = whole_character_length(this->text, maximum);
    std::string taken = this->text.substr(0, length);
    this->text.erase(0, length);
    if (this->text.empty() && this->text.capacity() > retained_capacity_bytes) {
        this->text.shrink_to_fit();
    }
    this->unwritten_bytes += length;
    return taken;
}

void text_buffer::confirm_written(std::size_t bytes)
{
    const std::lock_guard lock(this->mutex);
    this->memory.give_back(this->held_locked(), bytes);
    this->unwritten_bytes -= bytes;
}

bool text_buffer::wait_for_text(core::steady_time deadline)
{
    std::unique_lock lock(this->mutex);
    return this->changed.wait_until(
        lock, deadline, [this] { return this->is_started || this->outcome || this->paused_until; });
}

bool text_buffer::wait_until_half_full(core::steady_time deadline)
{
    std::unique_lock lock(this->mutex);
    return this->changed.wait_until(lock, deadline, [this] {
        return this->outcome || this->paused_until || this->text.size() >= this->memory.reader_limit() / 2;
    });
}

std::optional<stream_end> text_buffer::end_if_drained() const
{
    const std::lock_guard lock(this->mutex);
    return this->text.empty() ? this->outcome : std::nullopt;
}

std::optional<stream_end> text_buffer::end_if_known() const
{
    const std::lock_guard lock(this->mutex);
    return this->outcome;
}

bool text_buffer::has_started() const
{
    const std::lock_guard lock(this->mutex);
    return this->is_started;
}

bool text_buffer::is_paused() const
{
    const std::lock_guard lock(this->mutex);
    return this->paused_until.has_value();
}

std::size_t text_buffer::held_locked() const noexcept
{
    return this->text.size() + this->unwritten_bytes;
}

} // namespace samphireway::traffic
