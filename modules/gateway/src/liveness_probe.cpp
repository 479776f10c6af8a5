#include "hickorypost/gateway/liveness_probe.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hickorypost::gateway {

/// One question under way, with all who wait for its verdict.
class liveness_probe::question final : public attempt_events {
public:
    question(liveness_probe& of, const attempt_target& to) : of_{of}, backend_{to.backend}
    {
        const auto answered = of_.answered_.find(backend_);
        const instant now = of_.now_();
        if (answered != of_.answered_.end() && now < answered->second + of_.settings_.answer_life) {
            alive_ = true;
            settle_in(millis{0});
            return;
        }
        settle_in(of_.settings_.answer_limit);
        sent_ = of_.backends_.start(to, of_.write_(to), {}, false, *this);
    }
    ~question() override { of_.timers_.cancel(timer_); }
    question(const question&) = delete;
    question& operator=(const question&) = delete;

    bool on_head(http1::response_head&) override
    {
        alive_ = true;
        of_.answered_[backend_] = of_.now_();
        return true;
    }
    void on_body(std::string_view) override {}
    void on_complete() override { end(); }
    /// A connection that is refused or reset ends what runs there by itself. The question is only
    /// about silence.
    void on_fault(attempt_fault) override { end(); }

    std::vector<waiter> waiting;

private:
    void end()
    {
        sent_.reset();
        alive_ = true;
        settle_in(millis{0});
    }
    /// Never at once: the caller may be in the middle of a call of its own.
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
                               clock_fn now, write_fn write, silent_fn silent)
    : settings_{settings}, backends_{backends}, timers_{timers}, now_{std::move(now)},
      write_{std::move(write)}, silent_{std::move(silent)}
{
}

liveness_probe::~liveness_probe() = default;

std::uint64_t liveness_probe::ask(const attempt_target& to, verdict_fn verdict)
{
    auto& it = open_[to.backend];
    if (!it) {
        it = std::make_unique<question>(*this, to);
    }
    it->waiting.emplace_back(++last_, std::move(verdict));
    return last_;
}

void liveness_probe::cancel(std::uint64_t which)
{
    if (which == 0) {
        return;
    }
    const auto is_meant = [&](const auto& it) { return it.first == which; };
    for (auto& [backend, it] : open_) {
        std::erase_if(it->waiting, is_meant);
    }
    std::erase_if(settling_, is_meant);
}

void liveness_probe::settle(const std::string& backend, bool alive)
{
    // Out of the table first: those who hear the verdict may ask again, or cancel for others.
    const auto node = open_.extract(backend);
    std::move(node.mapped()->waiting.begin(), node.mapped()->waiting.end(),
              std::back_inserter(settling_));
    std::erase_if(answered_,
                  [&](const auto& it) { return now_() > it.second + settings_.answer_life; });
    if (!alive) {
        silent_(node.key());
    }
    while (!settling_.empty()) {
        const auto verdict = std::move(settling_.front().second);
        settling_.erase(settling_.begin());
        verdict(alive);
    }
}

} // namespace hickorypost::gateway
