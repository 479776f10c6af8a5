#include "hickorypost/gateway/liveness_probe.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hickorypost::gateway {

/// A probe in flight, with its subscribers.
class liveness_probe::probe final : public attempt_events {
public:
    probe(liveness_probe& owner, const attempt_target& to) : owner_{owner}, backend_{to.backend}
    {
        const auto last_answer = owner_.last_answer_at_.find(backend_);
        const instant now = owner_.now_();
        if (last_answer != owner_.last_answer_at_.end() &&
            now < last_answer->second + owner_.settings_.result_lifetime) {
            alive_ = true;
            finish_after(millis{0});
            return;
        }
        finish_after(owner_.settings_.probe_timeout);
        attempt_ = owner_.backends_.start(to, owner_.write_probe_(to), {}, false, *this);
    }
    ~probe() override { owner_.timers_.cancel(timer_); }
    probe(const probe&) = delete;
    probe& operator=(const probe&) = delete;

    bool on_head(http1::response_head& head) override
    {
        alive_ = true;
        owner_.on_answered_(backend_, head);
        owner_.last_answer_at_[backend_] = owner_.now_();
        return true;
    }
    void on_body(std::string_view) override {}
    void on_complete() override { end(); }
    /// Not reported as unresponsive: if connections are refused or reset, the attempts on this
    /// backend server fail without a probe.
    void on_fault(attempt_fault) override { end(); }

    std::vector<subscriber> subscribers;

private:
    void end()
    {
        attempt_.reset();
        alive_ = true;
        finish_after(millis{0});
    }
    /// Uses a timer even without a delay, so that `result` is never called from within `start`.
    void finish_after(millis delay)
    {
        owner_.timers_.cancel(timer_);
        timer_ = owner_.timers_.add(owner_.now_() + delay, [this] {
            timer_ = 0;
            owner_.finish_probe(backend_, alive_);
        });
    }

    liveness_probe& owner_;
    std::string backend_;
    std::unique_ptr<attempt> attempt_;
    std::uint64_t timer_ = 0;
    bool alive_ = false;
};

liveness_probe::liveness_probe(probe_settings settings, attempt_port& backends, scheduler& timers,
                               clock_fn now, write_fn write_probe, unresponsive_fn on_unresponsive,
                               answered_fn on_answered)
    : settings_{settings}, backends_{backends}, timers_{timers}, now_{std::move(now)},
      write_probe_{std::move(write_probe)}, on_unresponsive_{std::move(on_unresponsive)},
      on_answered_{std::move(on_answered)}
{
}

liveness_probe::~liveness_probe() = default;

std::uint64_t liveness_probe::start(const attempt_target& to, result_fn result)
{
    auto& it = probes_[to.backend];
    if (!it) {
        it = std::make_unique<probe>(*this, to);
    }
    it->subscribers.emplace_back(++last_id_, std::move(result));
    return last_id_;
}

void liveness_probe::cancel(std::uint64_t subscription)
{
    if (subscription == 0) {
        return;
    }
    const auto matches = [&](const auto& it) { return it.first == subscription; };
    for (auto& [backend, it] : probes_) {
        std::erase_if(it->subscribers, matches);
    }
    std::erase_if(notifying_, matches);
}

void liveness_probe::finish_probe(const std::string& backend, bool alive)
{
    // The probe is removed first, as a subscriber may start another probe or cancel others.
    const auto node = probes_.extract(backend);
    std::move(node.mapped()->subscribers.begin(), node.mapped()->subscribers.end(),
              std::back_inserter(notifying_));
    std::erase_if(last_answer_at_,
                  [&](const auto& it) { return now_() > it.second + settings_.result_lifetime; });
    if (!alive) {
        on_unresponsive_(node.key());
    }
    while (!notifying_.empty()) {
        const auto result = std::move(notifying_.front().second);
        notifying_.erase(notifying_.begin());
        result(alive);
    }
}

} // namespace hickorypost::gateway
