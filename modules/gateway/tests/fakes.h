#pragma once
/// Fakes of the interfaces that an exchange uses: timers with virtual time, backend servers that
/// the test controls, and a caller that records its answer.

#include "hickorypost/gateway/exchange.h"

#include <deque>
#include <set>

namespace hickorypost::testing {

/// Timers that run in virtual time.
class fake_scheduler final : public gateway::scheduler {
public:
    std::uint64_t add(instant due, std::function<void()> hook) override
    {
        timers_.emplace(due, std::pair{++last_, std::move(hook)});
        return last_;
    }
    void cancel(std::uint64_t which) override
    {
        std::erase_if(timers_, [&](const auto& it) { return it.second.first == which; });
    }
    /// Advances the time and runs the timers that become due.
    void run_for(millis time)
    {
        const instant end = now + time;
        while (!timers_.empty() && timers_.begin()->first <= end) {
            const auto node = timers_.extract(timers_.begin());
            now = std::max(now, node.key());
            node.mapped().second();
        }
        now = end;
    }
    instant now{millis{100'000}};

private:
    std::multimap<instant, std::pair<std::uint64_t, std::function<void()>>> timers_;
    std::uint64_t last_ = 0;
};

/// Records attempts; the test answers them through their `events`.
class fake_backends final : public gateway::attempt_port {
public:
    struct open_attempt {
        gateway::attempt_target target;
        std::string head;
        gateway::attempt_events* events = nullptr;
        bool cancelled = false;
        bool reading = true;
        bool identifies_answers = false; ///< an earlier answer on its connection bore an id
    };

    std::unique_ptr<gateway::attempt> start(const gateway::attempt_target& target, std::string head,
                                            std::string_view, bool,
                                            gateway::attempt_events& events) override
    {
        auto it = std::make_shared<open_attempt>();
        *it = {target, std::move(head), &events};
        attempts.push_back(it);
        return std::make_unique<handle>(it);
    }

    open_attempt& last() { return *attempts.back(); }
    std::vector<std::shared_ptr<open_attempt>> attempts;

private:
    class handle final : public gateway::attempt {
    public:
        explicit handle(std::shared_ptr<open_attempt> it) : it_{std::move(it)} {}
        ~handle() override { it_->cancelled = true; }
        handle(const handle&) = delete;
        handle& operator=(const handle&) = delete;
        void set_reading(bool on) override { it_->reading = on; }
        void note_identified_answer() override { it_->identifies_answers = true; }
        [[nodiscard]] bool identifies_answers() const override { return it_->identifies_answers; }

    private:
        std::shared_ptr<open_attempt> it_;
    };
};

/// Connection attempts: refused for the backend servers in `ended`, accepted for others, and never
/// finished while `unanswered` is set.
struct fake_dials {
    std::unique_ptr<gateway::dial> open(const gateway::attempt_target& to,
                                        const std::function<void(bool)>& done)
    {
        const bool refused = ended.contains(to.backend);
        if (unanswered) {
            return nullptr;
        }
        timers.add(timers.now, [done, refused] { done(refused); });
        return nullptr;
    }

    fake_scheduler& timers;
    std::set<std::string> ended{};
    bool unanswered = false;
};

/// Records the answer that a caller gets.
class fake_caller final : public gateway::caller_port {
public:
    void respond(http1::response_head head, std::string text) override
    {
        status = head.status;
        retry_after = head.fields.find("Retry-After").has_value();
        body = std::move(text);
        ended = true;
    }
    void begin(http1::response_head head) override { status = head.status; }
    void piece(std::string_view bytes) override { body.append(bytes); }
    void end() override { ended = true; }
    void break_off() override { broken = true; }
    [[nodiscard]] std::size_t unsent() const override { return unsent_bytes; }
    [[nodiscard]] bool is_closed() const override { return false; }
    void confirm_waiting(millis, std::function<void(bool)> done) override { done(true); }

    unsigned status = 0;
    std::string body;
    std::size_t unsent_bytes = 0; ///< as if the caller had not read them yet
    bool retry_after = false;
    bool ended = false;
    bool broken = false;
};

} // namespace hickorypost::testing
