#include "hickorypost/gateway/liveness_probe.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hickorypost::gateway {

/// A probe in flight, with its subscribers.
class liveness_probe::probe final : public attempt_events {
public:
    probe(liveness_probe& of, const attempt_target& to) : of_{of}, backend_{to.backend}
    {
        const auto answered = of_.answered_.find(backend_);
        const instant now = of_.now_();
        if (answered != of_.answered_.end() &&
            now < answered->second + of_.settings_.result_lifetime) {
            alive_ = true;
            settle_in(millis{0});
            return;
        }
        settle_in(of_.settings_.probe_timeout);
        sent_ = of_.backends_.start(to, of_.write_(to), {}, false, *this);
    }
    ~probe() override { of_.timers_.cancel(timer_); }
    probe(const probe&) = delete;
    probe& operator=(const probe&) = delete;

    bool on_head(http1::response_head&) override
    {
        alive_ = true;
        of_.answered_[backend_] = of_.now_();
        return true;
    }
    void on_body(std::string_view) override {}
    void on_complete() override { end(); }
    /// A refused or reset connection ends the attempts there by itself.
    void on_fault(attempt_fault) override { end(); }

    std::vector<subscriber> subscribers;

private:
    void end()
    {
        sent_.reset();
        alive_ = true;
        settle_in(millis{0});
    }
    /// Never synchronous, as the caller may be in a call of its own.
    void settle_in(millis after)
    {
        of_.timers_.cancel(timer_);
        timer_ = of_.timers_.add(of_.now_() + after, [this] {
            timer_ = 0;
            of_.settle(backend_, alive_);
        });
    }

    liveness_probe& of_;
    std::string backend_;
    std::unique_ptr<attempt> sent_;
    std::uint64_t timer_ = 0;
    bool alive_ = false;
};

liveness_probe::liveness_probe(probe_settings settings, attempt_port& backends, scheduler& timers,
                               clock_fn now, write_fn write, unresponsive_fn unresponsive)
    : settings_{settings}, backends_{backends}, timers_{timers}, now_{std::move(now)},
      write_{std::move(write)}, unresponsive_{std::move(unresponsive)}
{
}

liveness_probe::~liveness_probe() = default;

std::uint64_t liveness_probe::start(const attempt_target& to, result_fn result)
{
    auto& it = open_[to.backend];
    if (!it) {
        it = std::make_unique<probe>(*this, to);
    }
    it->subscribers.emplace_back(++last_, std::move(result));
    return last_;
}

void liveness_probe::cancel(std::uint64_t which)
{
    if (which == 0) {
        return;
    }
    const auto is_meant = [&](const auto& it) { return it.first == which; };
    for (auto& [backend, it] : open_) {
        std::erase_if(it->subscribers, is_meant);
    }
    std::erase_if(settling_, is_meant);
}

void liveness_probe::settle(const std::string& backend, bool alive)
{
    // Removed first: a subscriber may start another probe or cancel others.
    const auto node = open_.extract(backend);
    std::move(node.mapped()->subscribers.begin(), node.mapped()->subscribers.end(),
              std::back_inserter(settling_));
    std::erase_if(answered_,
                  [&](const auto& it) { return now_() > it.second + settings_.result_lifetime; });
    if (!alive) {
        unresponsive_(node.key());
    }
    while (!settling_.empty()) {
        const auto result = std::move(settling_.front().second);
        settling_.erase(settling_.begin());
        result(alive);
    }
}

} // namespace hickorypost::gateway
