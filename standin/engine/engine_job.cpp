#include "engine/engine_job.h"

#include <algorithm>

namespace samphireway::standin {

engine_job::~engine_job()
{
    if (!this->is_admitted) {
        return;
    }
    engine_counters used;
    used.completed = this->is_complete ? 1 : 0;
    used.prompt_tokens = this->prompt_tokens;
    used.cached_tokens = this->cached_tokens;
    used.output_tokens = this->position - this->resumed_from;
    used.excess_tokens = this->excess_tokens;
    this->batch.leave(this->held_tokens, used);
}

void job_index::add(const std::shared_ptr<engine_job>& job)
{
    const std::lock_guard lock(this->mutex);
    this->jobs.emplace(job->stream_id, job);
    if (this->jobs.size() < this->sweep_size) {
        return;
    }
    std::erase_if(this->jobs, [](const auto& entry) { return entry.second.expired(); });
    this->sweep_size = std::max(minimum_sweep_size, this->jobs.size() * 2);
}

int job_index::cancel(const std::string& stream_id)
{
    const std::lock_guard lock(this->mutex);
    int cancelled = 0;
    const auto [first, last] = this->jobs.equal_range(stream_id);
    for (auto entry = first; entry != last; ++entry) {
        const std::shared_ptr<engine_job> job = entry->second.lock();
        if (job) {
            job->is_cancelled = true;
            ++cancelled;
        }
    }
    this->jobs.erase(first, last);
    return cancelled;
}

} // namespace samphireway::standin
