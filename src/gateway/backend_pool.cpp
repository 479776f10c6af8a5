#include "gateway/backend_pool.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace hickorypost {

namespace {

constexpr unsigned first_final_status = 200;
constexpr std::int64_t millis_per_second = 1000;

/// The idle timeout that a `Keep-Alive` field names.
std::optional<millis> keep_alive_timeout(const http1::field_list& fields)
{
    const auto text = fields.find("Keep-Alive");
    constexpr std::string_view name = "timeout=";
    const auto at = text ? text->find(name) : std::string_view::npos;
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    const auto digits = text->substr(at + name.size());
    std::int64_t seconds = 0;
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return ec == std::errc{} ? std::optional{millis{seconds * millis_per_second}} : std::nullopt;
}

} // namespace

/// One connection to a backend server, idle or with one request.
class backend_pool::connection {
public:
    connection(backend_pool& pool, gateway::attempt_target target)
        : pool_{pool}, target_{std::move(target)}, idle_limit_{pool.settings_.idle_default}
    {
        ++pool_.count_[target_.backend];
    }

    ~connection()
    {
        pool_.timers_.cancel(timer_);
        const auto count = pool_.count_.find(target_.backend);
        if (--count->second == 0) {
            pool_.count_.erase(count);
        }
    }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    void open()
    {
        const auto to = net::endpoint::parse(target_.address);
        if (!to) {
            arm(millis{0}, [this] { fault(gateway::attempt_fault::not_sent); });
            return;
        }
        ++pool_.opened_;
        stream_ = net::tcp_stream::connect(pool_.poller_, *to, pool_.settings_.silence_limit);
        set_hooks();
        arm(pool_.settings_.connect_limit, [this] { fault(gateway::attempt_fault::not_sent); });
    }

    void begin(std::string_view head, std::string_view body, bool bodyless,
               gateway::attempt_events& events)
    {
        events_ = &events;
        bodyless_ = bodyless;
        head_told_ = false;
        got_bytes_ = false;
        parser_.begin(bodyless);
        if (stream_) {
            stream_->write(head);
            stream_->write(body);
        }
    }

    void set_reading(bool on) const
    {
        if (stream_) {
            stream_->set_reading(on);
        }
    }

    /// The request is given up: the backend server must notice at once, so the connection closes.
    void cancel()
    {
        events_ = nullptr;
        close();
        pool_.drop(this);
    }

    void rest()
    {
        arm(idle_limit_, [this] {
            close();
            pool_.drop(this);
        });
    }

    void leave_rest() { pool_.timers_.cancel(std::exchange(timer_, 0)); }
    /// Ends the request under way without an answer.
    void break_off() { fault(fault_now()); }
    [[nodiscard]] const std::string& backend() const noexcept { return target_.backend; }
    [[nodiscard]] bool usable() const noexcept { return stream_ && stream_->open(); }

private:
    void arm(millis after, std::function<void()> hook)
    {
        pool_.timers_.cancel(timer_);
        timer_ = pool_.timers_.add(pool_.now_() + after, [this, hook = std::move(hook)] {
            timer_ = 0;
            hook();
        });
    }

    void set_hooks()
    {
        net::tcp_stream::hooks hooks;
        hooks.connected = [this] { pool_.timers_.cancel(std::exchange(timer_, 0)); };
        hooks.bytes = [this](std::string_view bytes) { take(bytes); };
        hooks.ended = [this](net::stream_end how) { ended(how); };
        stream_->set_hooks(std::move(hooks));
    }

    void close()
    {
        if (stream_) {
            // Hooks off first: nothing of this connection may reach a later request.
            stream_->set_hooks({});
            stream_->close();
        }
    }

    void take(std::string_view bytes)
    {
        if (events_ == nullptr) {
            close(); // bytes that nobody asked for
            pool_.drop(this);
            return;
        }
        got_bytes_ = true;
        parser_.push(bytes);
        advance();
    }

    void advance()
    {
        while (events_ != nullptr) {
            if (parser_.fault() != http1::parse_fault::none) {
                fault(gateway::attempt_fault::broken);
                return;
            }
            if (!parser_.head_done()) {
                return;
            }
            if (!head_told_ && !tell_head()) {
                if (!skipping_) {
                    return;
                }
            }
            if (!pass_body()) {
                return;
            }
        }
    }

    /// False: there is nothing more to do for now.
    bool tell_head()
    {
        auto& head = parser_.head();
        if (head.status < first_final_status) {
            skipping_ = true; // an interim answer
        } else {
            keep_alive_ = head.keep_alive && head.body != http1::framing::until_close;
            if (const auto timeout = keep_alive_timeout(head.fields)) {
                idle_limit_ = millis{static_cast<std::int64_t>(
                    static_cast<double>(timeout->count()) * pool_.settings_.idle_part)};
            }
            head_told_ = true;
            skipping_ = !events_->on_head(head);
            if (skipping_) {
                head_told_ = false;
            }
        }
        return events_ != nullptr && !skipping_;
    }

    /// True: go on with what the parser still holds.
    bool pass_body()
    {
        if (std::string body = parser_.take_body(); !body.empty() && !skipping_) {
            events_->on_body(body);
            if (events_ == nullptr) {
                return false;
            }
        }
        if (!parser_.done()) {
            return false;
        }
        if (std::exchange(skipping_, false)) {
            parser_.begin(bodyless_);
            return true;
        }
        complete();
        return false;
    }

    void complete()
    {
        auto* const events = std::exchange(events_, nullptr);
        // Unsent bytes: it answered before it had read the request. Extra bytes belong to nobody.
        const bool clean = keep_alive_ && !parser_.has_extra() && stream_ && stream_->open() &&
                           stream_->unsent() == 0;
        if (clean) {
            pool_.finished(this);
        } else {
            close();
            pool_.drop(this);
        }
        events->on_complete();
    }

    void fault(gateway::attempt_fault how)
    {
        auto* const events = std::exchange(events_, nullptr);
        close();
        pool_.drop(this);
        if (events != nullptr) {
            events->on_fault(how);
        }
    }

    void ended(net::stream_end how)
    {
        if (events_ == nullptr) {
            pool_.drop(this);
            return;
        }
        if (how == net::stream_end::finished && parser_.head_done() && head_told_) {
            parser_.finish();
            if (parser_.done()) {
                keep_alive_ = false;
                complete();
                return;
            }
        }
        fault(fault_now());
    }

    /// What it means for the request that its connection ends now.
    [[nodiscard]] gateway::attempt_fault fault_now() const
    {
        if (!stream_ || !stream_->sent_any()) {
            return gateway::attempt_fault::not_sent;
        }
        return got_bytes_ ? gateway::attempt_fault::broken : gateway::attempt_fault::silent;
    }

    backend_pool& pool_;
    gateway::attempt_target target_;
    std::unique_ptr<net::tcp_stream> stream_;
    http1::response_parser parser_;
    gateway::attempt_events* events_ = nullptr;
    std::uint64_t timer_ = 0;
    millis idle_limit_;
    bool bodyless_ = false;
    bool head_told_ = false;
    bool skipping_ = false;
    bool got_bytes_ = false;
    bool keep_alive_ = false;

    friend class backend_pool::running;
};

/// The flow's hold on a request under way.
class backend_pool::running final : public gateway::attempt {
public:
    running(backend_pool& pool, connection* on) : pool_{pool}, on_{on} {}
    ~running() override
    {
        if (const auto it = pool_.busy_.find(on_); it != pool_.busy_.end() && active()) {
            on_->cancel();
        }
    }
    running(const running&) = delete;
    running& operator=(const running&) = delete;

    void set_reading(bool on) override
    {
        if (pool_.busy_.contains(on_) && active()) {
            on_->set_reading(on);
        }
    }

private:
    [[nodiscard]] bool active() const { return on_->events_ != nullptr; }

    backend_pool& pool_;
    connection* on_;
};

/// An attempt for which there was no connection.
class backend_pool::no_attempt final : public gateway::attempt {
public:
    no_attempt(backend_pool& pool, gateway::attempt_events& events)
        : pool_{pool}, timer_{pool.timers_.add(pool.now_(), [this, &events] {
              timer_ = 0;
              events.on_fault(gateway::attempt_fault::no_room);
          })}
    {
    }
    ~no_attempt() override { pool_.timers_.cancel(timer_); }
    no_attempt(const no_attempt&) = delete;
    no_attempt& operator=(const no_attempt&) = delete;
    void set_reading(bool) override {}

private:
    backend_pool& pool_;
    std::uint64_t timer_;
};

backend_pool::backend_pool(net::poller& on, gateway::scheduler& timers, clock_fn now,
                           std::function<std::size_t()> hosts, backend_pool_settings settings)
    : poller_{on}, timers_{timers}, now_{std::move(now)}, hosts_{std::move(hosts)}, settings_{
                                                                                        settings}
{
}

bool backend_pool::has_room(const gateway::attempt_target& target) const
{
    const auto count = count_.find(target.backend);
    if (count == count_.end() || target.max_connections == 0) {
        return true;
    }
    const double share = settings_.used_part * target.max_connections /
                         static_cast<double>(std::max<std::size_t>(1, hosts_()));
    return static_cast<double>(count->second) < std::max(1.0, share);
}

backend_pool::~backend_pool()
{
    timers_.cancel(drop_timer_);
}

std::unique_ptr<backend_pool::connection> backend_pool::take_idle(const std::string& backend)
{
    const auto found = idle_.find(backend);
    while (found != idle_.end() && !found->second.empty()) {
        auto it = std::move(found->second.back());
        found->second.pop_back();
        it->leave_rest();
        if (it->usable()) {
            return it;
        }
    }
    return nullptr;
}

std::unique_ptr<gateway::attempt> backend_pool::start(const gateway::attempt_target& target,
                                                      std::string head, std::string_view body,
                                                      bool bodyless,
                                                      gateway::attempt_events& events)
{
    auto it = take_idle(target.backend);
    if (!it && !has_room(target)) {
        return std::make_unique<no_attempt>(*this, events);
    }
    if (!it) {
        it = std::make_unique<connection>(*this, target);
        it->open();
    }
    connection* const raw = it.get();
    busy_.emplace(raw, std::move(it));
    raw->begin(head, body, bodyless, events);
    return std::make_unique<running>(*this, raw);
}

void backend_pool::finished(connection* it)
{
    const auto found = busy_.find(it);
    auto owned = std::move(found->second);
    busy_.erase(found);
    owned->rest();
    idle_[owned->backend()].push_back(std::move(owned));
}

void backend_pool::drop(connection* it)
{
    std::unique_ptr<connection> owned;
    if (const auto found = busy_.find(it); found != busy_.end()) {
        owned = std::move(found->second);
        busy_.erase(found);
    } else if (const auto list = idle_.find(it->backend()); list != idle_.end()) {
        const auto at = std::find_if(list->second.begin(), list->second.end(),
                                     [&](const auto& known) { return known.get() == it; });
        if (at != list->second.end()) {
            owned = std::move(*at);
            list->second.erase(at);
        }
        if (list->second.empty()) {
            idle_.erase(list);
        }
    }
    if (!owned) {
        return;
    }
    owned->leave_rest();
    // It may be in the middle of one of its own calls.
    dropped_.push_back(std::move(owned));
    if (drop_timer_ == 0) {
        drop_timer_ = timers_.add(now_(), [this] {
            drop_timer_ = 0;
            dropped_.clear();
        });
    }
}

void backend_pool::forget(const std::string& backend)
{
    const auto found = idle_.find(backend);
    if (found == idle_.end()) {
        return;
    }
    auto list = std::move(found->second);
    idle_.erase(found);
    for (auto& it : list) {
        it->leave_rest();
        dropped_.push_back(std::move(it));
    }
    if (drop_timer_ == 0) {
        drop_timer_ = timers_.add(now_(), [this] {
            drop_timer_ = 0;
            dropped_.clear();
        });
    }
}

void backend_pool::lost(const std::string& backend)
{
    forget(backend);
    std::vector<connection*> open;
    for (const auto& [raw, it] : busy_) {
        if (raw->backend() == backend) {
            open.push_back(raw);
        }
    }
    for (auto* const it : open) {
        if (busy_.contains(it)) { // else the one before took it along
            it->break_off();
        }
    }
}

std::size_t backend_pool::idle() const noexcept
{
    std::size_t out = 0;
    for (const auto& [backend, list] : idle_) {
        out += list.size();
    }
    return out;
}

} // namespace hickorypost
