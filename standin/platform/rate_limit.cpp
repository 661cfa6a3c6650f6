#include "platform/rate_limit.h"

#include <algorithm>

namespace samphireway::standin {

bool rate_limit::try_take(std::int64_t calls_per_second, core::steady_time now)
{
    if (calls_per_second <= 0) {
        return true;
    }
    const std::lock_guard lock(this->mutex);
    const auto rate = static_cast<double>(calls_per_second);
    const double elapsed = std::chrono::duration<double>(now - this->refilled_at).count();
    this->tokens = this->tokens < 0 ? rate : std::min(rate, this->tokens + elapsed * rate);
    this->refilled_at = now;
    if (this->tokens < 1) {
        return false;
    }
    this->tokens -= 1;
    return true;
}

} // namespace samphireway::standin
