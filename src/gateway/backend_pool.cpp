#include "gateway/backend_pool.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace hickorypost {

namespace {

constexpr unsigned min_final_status = 200;
constexpr std::int64_t millis_per_second = 1000;
/// An answer is large from this size on, in bytes.
constexpr std::size_t large_answer_bytes = std::size_t{64} << 10U;

/// Parses the `timeout` parameter of the `Keep-Alive` header field.
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

/// A connection to a backend server: idle, or busy with one request.
class backend_pool::connection {
public:
    connection(backend_pool& pool, gateway::attempt_target target)
        : pool_{pool}, target_{std::move(target)},
          idle_timeout_{pool.settings_.default_idle_timeout},
          answer_share_{pool.settings_.answer_buffers}, raised_share_{pool.settings_.raised_buffers}
    {
        pool_.count_open(target_.backend, 1);
    }

    ~connection()
    {
        pool_.timers_.cancel(timer_);
        pool_.count_open(target_.backend, -1);
    }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    void open()
    {
        const auto address = net::endpoint::parse(target_.address);
        if (!address) {
            set_timer(millis{0}, [this] { fail(gateway::attempt_fault::not_sent); });
            return;
        }
        ++pool_.opened_;
        stream_ = net::tcp_stream::connect(pool_.poller_, *address,
                                           pool_.settings_.unacknowledged_timeout,
                                           {.receive = pool_.settings_.receive_buffer});
        set_hooks();
        set_timer(pool_.settings_.connect_timeout,
                  [this] { fail(gateway::attempt_fault::not_sent); });
    }

    void begin(std::string_view head, std::string_view body, bool bodyless,
               gateway::attempt_events& events)
    {
        events_ = &events;
        bodyless_ = bodyless;
        head_delivered_ = false;
        received_bytes_ = 0;
        interim_responses_ = 0;
        parser_.begin(bodyless);
        if (stream_) {
            sent_before_ = stream_->sent_bytes();
            begun_at_ = pool_.now_();
            // The answer before may have ended while reading was paused for its caller.
            stream_->set_reading(true);
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

    /// Abandons the request. Closing the connection tells the backend server at once.
    void cancel()
    {
        events_ = nullptr;
        close();
        pool_.remove(this);
    }

    /// Starts the idle timeout.
    void on_idle()
    {
        reused_ = true;
        set_timer(idle_timeout_, [this] {
            close();
            pool_.remove(this);
        });
    }

    void cancel_idle_timer() { pool_.timers_.cancel(std::exchange(timer_, 0)); }
    /// Fails the request in flight.
    void abort() { fail(sent_any() ? fault_after_sending() : gateway::attempt_fault::not_sent); }
    [[nodiscard]] const std::string& backend() const noexcept { return target_.backend; }
    [[nodiscard]] std::size_t unsent() const { return stream_ ? stream_->unsent() : 0; }
    /// Connections that the backend server accepts from all hosts together; 0: any number.
    [[nodiscard]] std::uint32_t limit() const noexcept { return target_.max_connections; }
    /// Whether the idle connection is open as far as this process can know.
    [[nodiscard]] bool usable() const { return stream_ && stream_->is_quiet(); }

private:
    void set_timer(millis after, std::function<void()> hook)
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
        hooks.connected = [this] {
            pool_.timers_.cancel(std::exchange(timer_, 0));
            const bool wanted = events_ == nullptr || events_->may_send();
            if (!wanted || !pool_.may_send_(target_.backend)) {
                fail(gateway::attempt_fault::withheld);
            }
        };
        hooks.bytes = [this](std::string_view bytes) { on_bytes(bytes); };
        hooks.ended = [this](net::stream_end end) { on_ended(end); };
        stream_->set_hooks(std::move(hooks));
    }

    void close()
    {
        if (stream_) {
            // Removes the hooks, so that late events never reach the next request, and drops unsent
            // bytes: a request that is reported as not sent must not be sent.
            stream_->abort();
        }
    }

    void on_bytes(std::string_view bytes)
    {
        if (events_ == nullptr) {
            close(); // unsolicited bytes
            pool_.remove(this);
            return;
        }
        if (received_bytes_ == 0 && reused_) {
            pool_.reuse_.answered(target_.backend);
        }
        received_bytes_ += bytes.size();
        raise_receive_buffer();
        parser_.push(bytes);
        advance();
    }

    void raise_receive_buffer()
    {
        const auto& budget = *pool_.settings_.answer_buffers;
        const std::size_t bytes = pool_.settings_.most_receive_buffer;
        if (raised_ || received_bytes_ < large_answer_bytes ||
            bytes <= pool_.settings_.receive_buffer || !budget.has_room(budget.limit() / 2)) {
            return;
        }
        raised_ = true;
        stream_->set_receive_buffer(bytes);
        answer_share_.set(2 * bytes); // the kernel doubles it
        raised_share_.set(2 * bytes);
    }

    void advance()
    {
        while (events_ != nullptr) {
            if (parser_.fault() != http1::parse_fault::none) {
                fail(gateway::attempt_fault::broken);
                return;
            }
            if (!parser_.head_done()) {
                return;
            }
            if (!head_delivered_ && !deliver_head()) {
                if (!skipping_) {
                    return;
                }
            }
            if (!deliver_body()) {
                return;
            }
        }
    }

    /// Passes the response head to `events_`. Returns false if the response is skipped or the
    /// request has been abandoned.
    bool deliver_head()
    {
        auto& head = parser_.head();
        if (head.status < min_final_status) {
            if (++interim_responses_ > pool_.settings_.max_interim_responses) {
                fail(gateway::attempt_fault::broken);
                return false;
            }
            skipping_ = true;
        } else {
            keep_alive_ = head.keep_alive && head.body != http1::framing::until_close;
            if (const auto timeout = keep_alive_timeout(head.fields)) {
                idle_timeout_ = millis{static_cast<std::int64_t>(
                    static_cast<double>(timeout->count()) * pool_.settings_.idle_timeout_fraction)};
            }
            head_delivered_ = true;
            skipping_ = !events_->on_head(head);
            if (skipping_) {
                head_delivered_ = false;
            }
        }
        return events_ != nullptr && !skipping_;
    }

    /// Passes the available body bytes to `events_`. Returns true if a skipped response has ended
    /// and the parser may hold the next one.
    bool deliver_body()
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
        // Unsent bytes mean that the backend server responded before it had read the whole request;
        // extra bytes belong to no response. Neither kind of connection can be reused.
        const bool reusable = keep_alive_ && !parser_.has_extra() && stream_ && stream_->open() &&
                              stream_->unsent() == 0 && pool_.reuse_.allows(target_.backend);
        if (reusable) {
            pool_.make_idle(this);
        } else {
            close();
            pool_.remove(this);
        }
        events->on_complete();
    }

    void fail(gateway::attempt_fault fault)
    {
        auto* const events = std::exchange(events_, nullptr);
        close();
        pool_.remove(this);
        if (events != nullptr) {
            events->on_fault(fault);
        }
    }

    void on_ended(net::stream_end end)
    {
        if (events_ == nullptr) {
            pool_.remove(this);
            return;
        }
        if (end == net::stream_end::finished && parser_.head_done() && head_delivered_) {
            parser_.finish();
            if (parser_.done()) {
                keep_alive_ = false;
                complete();
                return;
            }
        }
        const auto fault = fault_on_end();
        if (fault == gateway::attempt_fault::stale ||
            fault == gateway::attempt_fault::stale_unsent) {
            pool_.record_stale(target_.backend, begun_at_);
        }
        fail(fault);
    }

    /// Whether any byte of the request in flight may have left this process.
    [[nodiscard]] bool sent_any() const { return stream_ && stream_->sent_bytes() > sent_before_; }

    [[nodiscard]] gateway::attempt_fault fault_after_sending() const
    {
        return received_bytes_ > 0 ? gateway::attempt_fault::broken
                                   : gateway::attempt_fault::silent;
    }

    /// Fault of the request in flight if its connection has ended.
    [[nodiscard]] gateway::attempt_fault fault_on_end() const
    {
        const bool soon = pool_.now_() - begun_at_ <= pool_.settings_.stale_window;
        const bool stale = reused_ && soon && received_bytes_ == 0 && stream_->ended_by_peer();
        if (!sent_any()) {
            return stale ? gateway::attempt_fault::stale_unsent : gateway::attempt_fault::not_sent;
        }
        return stale ? gateway::attempt_fault::stale : fault_after_sending();
    }

    backend_pool& pool_;
    gateway::attempt_target target_;
    std::unique_ptr<net::tcp_stream> stream_;
    http1::response_parser parser_;
    gateway::attempt_events* events_ = nullptr;
    std::uint64_t timer_ = 0;
    millis idle_timeout_;
    gateway::buffer_share answer_share_;
    gateway::buffer_share raised_share_; ///< see `backend_pool_settings::raised_buffers`
    std::uint64_t received_bytes_ = 0;   ///< of the answer
    std::size_t interim_responses_ = 0;
    std::uint64_t sent_before_ = 0;   ///< bytes sent before the request in flight
    instant begun_at_;                ///< when the request in flight was given to the connection
    bool reused_ = false;             ///< has carried a request before
    bool identifies_answers_ = false; ///< see `attempt::identifies_answers`
    bool bodyless_ = false;
    bool head_delivered_ = false;
    bool skipping_ = false;
    bool raised_ = false; ///< the kernel's receive buffer
    bool keep_alive_ = false;

    friend class backend_pool::pooled_attempt;
};

/// The exchange's handle on a request in flight; destroying it cancels the request.
class backend_pool::pooled_attempt final : public gateway::attempt {
public:
    pooled_attempt(backend_pool& pool, connection* conn) : pool_{pool}, connection_{conn} {}
    ~pooled_attempt() override
    {
        if (const auto found = pool_.busy_.find(connection_);
            found != pool_.busy_.end() && active()) {
            connection_->cancel();
        }
    }
    pooled_attempt(const pooled_attempt&) = delete;
    pooled_attempt& operator=(const pooled_attempt&) = delete;

    void set_reading(bool on) override
    {
        if (pool_.busy_.contains(connection_) && active()) {
            connection_->set_reading(on);
        }
    }
    void note_identified_answer() override
    {
        if (pool_.busy_.contains(connection_) && active()) {
            connection_->identifies_answers_ = true;
        }
    }
    [[nodiscard]] bool identifies_answers() const override
    {
        return pool_.busy_.contains(connection_) && active() && connection_->identifies_answers_;
    }

private:
    [[nodiscard]] bool active() const { return connection_->events_ != nullptr; }

    backend_pool& pool_;
    connection* connection_;
};

/// Fails with `no_room`: the connection limit of the backend server is reached.
class backend_pool::rejected_attempt final : public gateway::attempt {
public:
    rejected_attempt(backend_pool& pool, gateway::attempt_events& events)
        : pool_{pool}, timer_{pool.timers_.add(pool.now_(), [this, &events] {
              timer_ = 0;
              events.on_fault(gateway::attempt_fault::no_room);
          })}
    {
    }
    ~rejected_attempt() override { pool_.timers_.cancel(timer_); }
    rejected_attempt(const rejected_attempt&) = delete;
    rejected_attempt& operator=(const rejected_attempt&) = delete;
    void set_reading(bool) override {}
    void note_identified_answer() override {}
    [[nodiscard]] bool identifies_answers() const override { return false; }

private:
    backend_pool& pool_;
    std::uint64_t timer_;
};

backend_pool::backend_pool(net::poller& poller, gateway::scheduler& timers, clock_fn now,
                           use_fn use, changed_fn changed, may_send_fn may_send,
                           backend_pool_settings settings)
    : poller_{poller}, timers_{timers}, now_{std::move(now)}, use_{std::move(use)},
      changed_{std::move(changed)}, may_send_{std::move(may_send)}, settings_{std::move(settings)},
      share_{settings_.share}, reuse_{settings_.reuse, now_}
{
}

void backend_pool::count_open(const std::string& backend, int change)
{
    const auto count = open_count_.try_emplace(backend, 0).first;
    count->second += static_cast<std::size_t>(change);
    const std::size_t open = count->second;
    if (open == 0) {
        open_count_.erase(count);
    }
    if (changed_) {
        changed_(backend, open);
    }
}

gateway::connection_use backend_pool::use_of(const std::string& backend) const
{
    gateway::connection_use out = use_(backend);
    const auto count = open_count_.find(backend);
    out.own = count == open_count_.end() ? 0 : count->second;
    return out;
}

bool backend_pool::has_capacity(const gateway::attempt_target& target) const
{
    if (target.max_connections == 0) {
        return true;
    }
    const auto use = use_of(target.backend);
    return static_cast<double>(use.own) < share_.allowed(target.max_connections, use);
}

void backend_pool::close_idle_where_scarce()
{
    for (auto& [backend, list] : idle_) {
        const double limit = list.empty() ? 0 : list.front()->limit();
        auto use = use_of(backend);
        while (limit > 0 && !list.empty() && share_.is_scarce(limit, use) &&
               static_cast<double>(use.own) > share_.reserved(limit, use)) {
            list.front()->cancel_idle_timer();
            list.pop_front();
            use = use_of(backend);
        }
    }
    std::erase_if(idle_, [](const auto& it) { return it.second.empty(); });
}

backend_pool::~backend_pool()
{
    changed_ = nullptr;
    timers_.cancel(closed_timer_);
}

std::unique_ptr<backend_pool::connection> backend_pool::take_idle(const std::string& backend)
{
    const auto found = idle_.find(backend);
    while (found != idle_.end() && !found->second.empty()) {
        auto conn = std::move(found->second.back());
        found->second.pop_back();
        conn->cancel_idle_timer();
        if (conn->usable()) {
            return conn;
        }
    }
    return nullptr;
}

bool backend_pool::close_oldest_idle(const std::string& backend)
{
    const auto found = idle_.find(backend);
    if (found == idle_.end() || found->second.empty()) {
        return false;
    }
    found->second.front()->cancel_idle_timer();
    found->second.pop_front();
    return true;
}

std::unique_ptr<gateway::attempt> backend_pool::start(const gateway::attempt_target& target,
                                                      std::string head, std::string_view body,
                                                      bool bodyless,
                                                      gateway::attempt_events& events)
{
    auto conn = target.new_connection ? nullptr : take_idle(target.backend);
    while (!conn && !has_capacity(target) && close_oldest_idle(target.backend)) {
    }
    if (!conn && !has_capacity(target)) {
        return std::make_unique<rejected_attempt>(*this, events);
    }
    if (!conn) {
        conn = std::make_unique<connection>(*this, target);
        conn->open();
    }
    connection* const started = conn.get();
    busy_.emplace(started, std::move(conn));
    started->begin(head, body, bodyless, events);
    return std::make_unique<pooled_attempt>(*this, started);
}

void backend_pool::record_stale(const std::string& backend, instant sent)
{
    ++stale_;
    reuse_.stale(backend, sent);
    if (!reuse_.allows(backend)) {
        close_idle(backend);
    }
}

void backend_pool::make_idle(connection* conn)
{
    const auto found = busy_.find(conn);
    auto owned = std::move(found->second);
    busy_.erase(found);
    owned->on_idle();
    idle_[owned->backend()].push_back(std::move(owned));
}

void backend_pool::remove(connection* conn)
{
    std::unique_ptr<connection> owned;
    if (const auto found = busy_.find(conn); found != busy_.end()) {
        owned = std::move(found->second);
        busy_.erase(found);
    } else if (const auto list = idle_.find(conn->backend()); list != idle_.end()) {
        const auto at = std::find_if(list->second.begin(), list->second.end(),
                                     [&](const auto& known) { return known.get() == conn; });
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
    owned->cancel_idle_timer();
    // Destroyed later, because this call may come from one of the connection's own methods.
    closed_.push_back(std::move(owned));
    if (closed_timer_ == 0) {
        closed_timer_ = timers_.add(now_(), [this] {
            closed_timer_ = 0;
            closed_.clear();
        });
    }
}

void backend_pool::close_idle(const std::string& backend)
{
    const auto found = idle_.find(backend);
    if (found == idle_.end()) {
        return;
    }
    auto list = std::move(found->second);
    idle_.erase(found);
    for (auto& conn : list) {
        conn->cancel_idle_timer();
        closed_.push_back(std::move(conn));
    }
    if (closed_timer_ == 0) {
        closed_timer_ = timers_.add(now_(), [this] {
            closed_timer_ = 0;
            closed_.clear();
        });
    }
}

void backend_pool::close_all(const std::string& backend)
{
    close_idle(backend);
    std::vector<connection*> open;
    for (const auto& [conn, owned] : busy_) {
        if (conn->backend() == backend) {
            open.push_back(conn);
        }
    }
    for (auto* const conn : open) {
        if (busy_.contains(conn)) { // failing one request may cancel others
            conn->abort();
        }
    }
}

std::size_t backend_pool::unsent_bytes() const
{
    std::size_t out = 0;
    for (const auto& [conn, owned] : busy_) {
        out += conn->unsent();
    }
    return out;
}

std::size_t backend_pool::idle_connections() const noexcept
{
    std::size_t out = 0;
    for (const auto& [backend, list] : idle_) {
        out += list.size();
    }
    return out;
}

} // namespace hickorypost
