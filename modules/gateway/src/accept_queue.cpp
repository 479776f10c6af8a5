#include "hickorypost/gateway/accept_queue.h"

#include <algorithm>
#include <utility>

namespace hickorypost::gateway {

namespace {

/// Weight of the latest interval in the moving average is one in this many.
constexpr int average_divisor = 8;

} // namespace

void accept_queue::update(instant now)
{
    const micros passed = now - std::exchange(updated_, now);
    const bool is_late =
        !waiting_.empty() && now >= waiting_.front().accepted + settings_.late_after;
    late_ = is_late ? late_ + std::min<micros>(passed, settings_.max_counted_turn) : micros{0};
    const bool was_overloaded = last_overloaded_ && now < *last_overloaded_ + settings_.memory;
    overloaded_ = !waiting_.empty() && (was_overloaded || late_ >= settings_.min_time);
    if (overloaded_ && (is_late || expected_wait() >= settings_.max_wait)) {
        last_overloaded_ = now;
    }
}

void accept_queue::push(int fd, instant now)
{
    update(now);
    waiting_.push_back({fd, now});
}

bool accept_queue::is_full() const noexcept
{
    return is_overloaded() && expected_wait() >= settings_.max_wait;
}

bool accept_queue::has_room() const noexcept
{
    return !is_overloaded() || expected_wait() * 2 <= settings_.max_wait;
}

std::optional<int> accept_queue::pop(micros turn, instant now)
{
    update(now);
    if (waiting_.empty() || (!may_read(turn) && now < last_read_ + settings_.max_pause)) {
        return std::nullopt;
    }
    const micros interval = now - std::exchange(last_read_, now);
    if (!overloaded_) {
        read_interval_ = {};
    } else if (read_interval_ == micros{0}) {
        read_interval_ = interval;
    } else {
        read_interval_ += (interval - read_interval_) / average_divisor;
    }
    const int out = waiting_.front().fd;
    waiting_.pop_front();
    return out;
}

std::vector<int> accept_queue::take_excess(instant now)
{
    update(now);
    std::vector<int> out;
    while (is_overloaded() && expected_wait() > settings_.max_wait &&
           out.size() < settings_.max_closed) {
        out.push_back(waiting_.back().fd);
        waiting_.pop_back();
    }
    return out;
}

std::vector<int> accept_queue::take_all()
{
    std::vector<int> out;
    for (const auto& it : std::exchange(waiting_, {})) {
        out.push_back(it.fd);
    }
    return out;
}

} // namespace hickorypost::gateway
