#include "hickorypost/admission/admission_queue.h"

#include <algorithm>

namespace hickorypost::admission {

namespace {

/// Weight of the newest service time in the moving average.
constexpr double service_time_gain = 0.1;
constexpr millis min_retry_after{50};

} // namespace

admission_queue::admission_queue(queue_options options) : options_{options} {}

micros admission_queue::service_time(std::size_t cls) const
{
    const micros measured = queues_[cls].service_time;
    return measured > micros{0} ? measured : options_.first_service_time;
}

micros admission_queue::estimated_wait(wire::priority urgency) const
{
    // Waiting jobs of the same or a more urgent class run first. If no slot is free, the jobs that
    // run now must finish as well.
    const std::size_t own = index_of(urgency);
    std::int64_t work_ahead = 0;
    for (std::size_t cls = 0; cls <= own; ++cls) {
        work_ahead += static_cast<std::int64_t>(queues_[cls].waiting) * service_time(cls).count();
    }
    const std::int64_t slots = std::max<std::int64_t>(1, options_.slots);
    const bool busy = running_ >= options_.slots;
    const std::int64_t residual = busy ? service_time(own).count() / (2 * slots) : 0;
    return micros{work_ahead / slots + residual};
}

offer_answer admission_queue::offer(const waiting_job& job, instant now)
{
    if (job.deadline <= now) {
        return {offer_verdict::past_deadline, millis{0}};
    }
    const micros wait = estimated_wait(job.urgency);
    if (now + wait >= job.deadline || class_of_.size() >= options_.max_waiting) {
        // A queued job would miss its deadline and delay the jobs behind it. After an immediate
        // refusal, the caller can try another backend server or retry when the queue has drained.
        const millis retry = std::chrono::duration_cast<millis>(wait);
        return {offer_verdict::overloaded, std::max(retry, min_retry_after)};
    }
    class_queue& queue = queues_[index_of(job.urgency)];
    account_queue& account = queue.accounts[job.account];
    const double start = std::max(queue.virtual_time, account.finish_tag);
    account.finish_tag = start + 1.0 / std::max(1U, job.weight);
    account.jobs.emplace_back(start, job);
    ++queue.waiting;
    class_of_[job.attempt] = index_of(job.urgency);
    return {};
}

bool admission_queue::may_start(std::size_t cls) const
{
    if (running_ >= options_.slots) {
        return false;
    }
    if (cls != index_of(wire::priority::bulk)) {
        return true;
    }
    const auto reserve = static_cast<std::uint32_t>(options_.interactive_reserve *
                                                    static_cast<double>(options_.slots));
    return running_bulk_ + reserve < options_.slots || options_.slots == 1;
}

std::optional<std::size_t> admission_queue::pick_class()
{
    std::optional<std::size_t> selected;
    for (std::size_t cls = 0; cls < classes; ++cls) {
        if (queues_[cls].waiting == 0 || !may_start(cls)) {
            continue;
        }
        if (!selected) {
            selected = cls;
            continue;
        }
        if (++queues_[cls].skipped_turns >= options_.max_skipped_turns) {
            selected = cls;
            break;
        }
    }
    if (selected) {
        queues_[*selected].skipped_turns = 0;
    }
    return selected;
}

waiting_job admission_queue::take_from(class_queue& queue)
{
    auto best = queue.accounts.end();
    for (auto it = queue.accounts.begin(); it != queue.accounts.end(); ++it) {
        if (!it->second.jobs.empty() &&
            (best == queue.accounts.end() ||
             it->second.jobs.front().first < best->second.jobs.front().first)) {
            best = it;
        }
    }
    auto [tag, job] = std::move(best->second.jobs.front());
    best->second.jobs.pop_front();
    queue.virtual_time = std::max(queue.virtual_time, tag);
    if (best->second.jobs.empty() && best->second.finish_tag <= queue.virtual_time) {
        queue.accounts.erase(best);
    }
    --queue.waiting;
    return std::move(job);
}

std::optional<waiting_job> admission_queue::next()
{
    const auto cls = pick_class();
    if (!cls) {
        return std::nullopt;
    }
    waiting_job job = take_from(queues_[*cls]);
    class_of_.erase(job.attempt);
    ++running_;
    running_bulk_ += job.urgency == wire::priority::bulk ? 1U : 0U;
    return job;
}

void admission_queue::released(wire::priority urgency)
{
    --running_;
    running_bulk_ -= urgency == wire::priority::bulk ? 1U : 0U;
}

void admission_queue::finished(wire::priority urgency, micros ran)
{
    released(urgency);
    micros& mean = queues_[index_of(urgency)].service_time;
    if (mean == micros{0}) {
        mean = std::max(ran, micros{1});
        return;
    }
    const double next = static_cast<double>(mean.count()) * (1.0 - service_time_gain) +
                        static_cast<double>(ran.count()) * service_time_gain;
    mean = micros{std::max<std::int64_t>(1, static_cast<std::int64_t>(next))};
}

bool admission_queue::cancel(attempt_id attempt)
{
    const auto found = class_of_.find(attempt);
    if (found == class_of_.end()) {
        return false;
    }
    class_queue& queue = queues_[found->second];
    class_of_.erase(found);
    for (auto& [name, account] : queue.accounts) {
        const auto removed = std::erase_if(
            account.jobs, [&](const auto& it) { return it.second.attempt == attempt; });
        queue.waiting -= removed;
        if (removed > 0) {
            break;
        }
    }
    return true;
}

std::vector<waiting_job> admission_queue::expire(instant now)
{
    std::vector<waiting_job> out;
    for (auto& queue : queues_) {
        for (auto& [name, account] : queue.accounts) {
            std::erase_if(account.jobs, [&](const auto& it) {
                const bool expired = it.second.deadline <= now;
                if (expired) {
                    out.push_back(it.second);
                }
                return expired;
            });
        }
    }
    for (const auto& it : out) {
        --queues_[index_of(it.urgency)].waiting;
        class_of_.erase(it.attempt);
    }
    return out;
}

} // namespace hickorypost::admission
